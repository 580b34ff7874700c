"""Requests sent straight from the VM that took them to their targets."""
