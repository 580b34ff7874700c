"""HTTP and zmq drivers of the ports."""
