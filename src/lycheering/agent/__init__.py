"""The agent: a process beside each target that all its requests pass."""
