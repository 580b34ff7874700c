"""Faults, steps and promises of the fault matrix."""
