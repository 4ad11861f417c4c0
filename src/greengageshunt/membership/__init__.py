"""Members, owners of targets, account shares, and confirmation of the configuration."""
