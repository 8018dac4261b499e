"""Runs the command line with `python -m lycheering`."""

from __future__ import annotations

from lycheering import run

if __name__ == "__main__":
    run.main()
