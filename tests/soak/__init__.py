"""Randomised runs of entry VMs as real processes, with faults injected from outside."""
