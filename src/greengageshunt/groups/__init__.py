"""Groups of targets: their records and the statuses of their targets."""
