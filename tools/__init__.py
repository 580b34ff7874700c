"""Development tools, not used in production."""
