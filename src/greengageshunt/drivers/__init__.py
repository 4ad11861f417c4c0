"""Drivers for connections to targets."""
