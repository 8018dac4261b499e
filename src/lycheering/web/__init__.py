"""HTTP servers for callers and operators, and HTTP clients."""
