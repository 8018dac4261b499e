"""The endpoint for callers."""
