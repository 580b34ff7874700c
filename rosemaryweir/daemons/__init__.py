"""The long-running programs."""
