"""Detection of failed primaries, promotion and write grants."""
