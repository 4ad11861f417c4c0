"""Clients of the platform's store."""
