"""Direct targets, which entries call without an agent in between."""
