"""Members, ownership and confirmation."""
