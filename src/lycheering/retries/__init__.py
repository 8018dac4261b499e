"""Limits on retries, and circuit breakers for failing targets."""
