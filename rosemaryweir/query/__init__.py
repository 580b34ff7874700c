"""Queries: snapshot, coverage, tail, admission."""
