"""Versions of the operators' configuration, and keys."""
