"""Which VMs are alive, from heartbeats that they exchange by UDP."""
