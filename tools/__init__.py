"""Development tools; nothing here runs in production."""
