"""Load tool, checker, demo and measurements."""
