"""Client sessions on pooled connections to targets."""
