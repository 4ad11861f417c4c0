"""Coordination of entry VMs through the store: members, targets and primaries."""
