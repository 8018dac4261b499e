"""The entry that forwards requests directly to targets, without agents."""
