"""Checks on many inputs, the same ones at each run."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

MOST_EXAMPLES = 400


def check_any(*inputs):
    """Runs a check on many inputs, the same ones at each run."""

    def run(check):
        hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=MOST_EXAMPLES,
        )(hypothesis.given(*inputs)(check))()

    return run


def damaged(sound, most=4):
    """Returns inputs that differ from a sound one in a run of bytes."""
    return strategies.tuples(
        strategies.integers(0, len(sound)),
        strategies.binary(max_size=most),
        strategies.integers(0, most),
    ).map(lambda cut: sound[: cut[0]] + cut[1] + sound[cut[0] + cut[2] :])


__all__ = ["check_any", "damaged"]
