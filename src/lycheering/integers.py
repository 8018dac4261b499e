"""Parses non-negative integers in external input."""

from __future__ import annotations

# Below the limit of digits at which `int` raises an error.
MAX_DIGITS = 4_000


def parse_non_negative(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """Returns the non-negative integer in a text, or None if it is invalid.

    Only ASCII digits are accepted: `str.isdigit` alone also accepts digits that
    `int` cannot parse.

    Args:
        text: The text, without surrounding white space.
        max_digits: Maximum number of digits; a longer text is invalid.
    """
    if not text.isascii() or not text.isdigit() or len(text) > max_digits:
        return None
    return int(text)


__all__ = ["MAX_DIGITS", "parse_non_negative"]
