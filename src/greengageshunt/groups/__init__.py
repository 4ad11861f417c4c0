"""Groups of targets and their status."""
