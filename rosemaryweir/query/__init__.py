"""Queries over all shards of a service: admission, hedges, retries, merge."""
