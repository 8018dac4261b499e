"""Durable storage of one instance: log, term and vote, snapshots, disk id."""
