"""Stand-in servers for the platform's store and for targets."""
