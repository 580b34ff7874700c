"""Faults, steps and promise checks of the fault matrix."""
