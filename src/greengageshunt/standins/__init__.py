"""Stand-ins for the platform and for targets, for development and tests."""
