"""Entries that hand requests straight to targets, by a route table."""
