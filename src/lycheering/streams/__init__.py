"""What a stream consists of, and which software version it belongs to."""
