"""Helpers that steps share."""
