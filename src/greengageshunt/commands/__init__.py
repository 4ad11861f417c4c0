"""Subcommands of greengageshuntctl."""
