"""Routes: which service a request goes to and how it may be handled."""
