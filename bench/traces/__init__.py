"""Seeded request traces of the two users."""
