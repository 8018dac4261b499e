"""A stand-in for a model engine that batches and caches prompt prefixes."""
