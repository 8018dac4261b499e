"""Drivers for the targets that agents send requests to."""
