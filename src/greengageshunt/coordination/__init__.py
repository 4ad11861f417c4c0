"""What entry VMs agree on through the store: members, targets and primaries."""
