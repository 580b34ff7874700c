"""Membership: heartbeats, views, leases, directory."""
