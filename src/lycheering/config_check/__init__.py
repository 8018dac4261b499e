"""Checks a configuration before it is sent to a control instance."""
