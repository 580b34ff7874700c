"""Which VMs there are: heartbeats between them, by datagram."""
