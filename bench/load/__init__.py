"""A load tool that drives callers with seeded arrivals."""
