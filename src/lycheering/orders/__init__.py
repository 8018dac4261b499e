"""Ledger of orders, which run at most once, and inquiries about them."""
