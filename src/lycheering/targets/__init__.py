"""Drivers for what stands behind an agent."""
