"""Long-running programs: entry, leaf, agent and the load generator."""
