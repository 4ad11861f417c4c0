"""Database proxy with session consistency for fleets of diskless entry VMs."""

__version__ = "0.1.0"
