"""Logs of key=value pairs and counters sent by statsd."""
