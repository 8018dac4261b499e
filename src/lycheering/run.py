"""The command line's entry point."""

from __future__ import annotations


def main() -> None:
    """Runs the command named on the command line."""


__all__ = ["main"]
