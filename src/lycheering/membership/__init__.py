"""Which targets are live, leaving or gone."""
