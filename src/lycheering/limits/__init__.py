"""Bounded queues, fair shares and refusals at once."""
