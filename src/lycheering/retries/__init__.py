"""Limits on how often work is tried again."""
