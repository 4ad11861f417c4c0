"""Front ends towards callers."""
