"""What a VM believes of the store's objects, and from whom."""
