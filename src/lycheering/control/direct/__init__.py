"""Targets that entries reach by themselves: the list, orders, weights."""
