"""The choice of a target for each request."""
