"""Life cycle of a process: starting, draining and stopping its parts."""
