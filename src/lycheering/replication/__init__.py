"""The replicated log of the control instances."""
