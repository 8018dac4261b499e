"""Whole numbers in what others wrote."""

from __future__ import annotations

# fewer than `int` reads at all
MOST_DIGITS = 4_000


def read_count(text: str, most_digits: int = MOST_DIGITS) -> int | None:
    """Returns a whole number that is not below 0; None if it is none.

    `str.isdigit` alone takes digits of other scripts, of which `int` does
    not read all.

    Args:
        text: The text, without space around it.
        most_digits: Longer ones are none.
    """
    if not text.isascii() or not text.isdigit() or len(text) > most_digits:
        return None
    return int(text)


__all__ = ["MOST_DIGITS", "read_count"]
