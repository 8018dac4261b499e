"""HTTP: serving callers and operators, and speaking to outside systems."""
