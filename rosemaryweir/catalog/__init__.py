"""Copies of the store's objects on a VM, and their exchange between VMs."""
