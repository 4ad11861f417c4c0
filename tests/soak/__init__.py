"""Randomised runs of the platform's program, as real processes, under faults from outside."""
