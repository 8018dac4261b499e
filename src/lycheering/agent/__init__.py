"""The process beside each target, and the only way to it."""
