"""Runs lycheering as a module."""

from __future__ import annotations

from lycheering import run

if __name__ == "__main__":
    run.main()
