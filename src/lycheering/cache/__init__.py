"""The index of what one engine's KV cache contains."""
