"""Stand-ins of the platform's store and of targets."""
