"""The control instance: the replicated configuration and its tasks."""
