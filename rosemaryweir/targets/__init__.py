"""Targets: limits, warmth, connections, ownership."""
