"""Orders that run at most once: their ledger and its rules."""
