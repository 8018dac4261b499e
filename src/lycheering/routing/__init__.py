"""Selection of a target for each request."""
