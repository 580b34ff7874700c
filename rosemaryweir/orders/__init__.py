"""Orders: at most once."""
