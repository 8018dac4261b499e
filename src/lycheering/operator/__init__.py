"""Client of the HTTP API for operators."""
