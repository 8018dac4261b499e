"""The control daemon: what its replicated log decides and tells."""
