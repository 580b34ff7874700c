"""Routing of callers' requests from the receiving VM straight to targets."""
