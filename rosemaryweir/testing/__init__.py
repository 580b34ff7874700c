"""A virtual-time driver and fakes of the four ports."""
