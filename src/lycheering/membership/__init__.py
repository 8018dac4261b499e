"""Detection of targets that are live, leaving or gone."""
