"""Stand-ins of the users' platform: its store, its targets, its callers."""
