"""Drivers towards targets."""
