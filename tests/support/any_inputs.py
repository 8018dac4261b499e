"""Runs checks on many generated inputs, the same ones in each run."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

MAX_EXAMPLES = 400


def check_generated(*inputs):
    """Returns a function that runs a check on many generated inputs."""

    def run(check):
        hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=MAX_EXAMPLES,
        )(hypothesis.given(*inputs)(check))()

    return run


def corrupted_inputs(original, max_bytes=4):
    """Returns inputs in which a run of bytes of a valid input is replaced."""
    return strategies.tuples(
        strategies.integers(0, len(original)),
        strategies.binary(max_size=max_bytes),
        strategies.integers(0, max_bytes),
    ).map(
        lambda change: (
            original[: change[0]]
            + change[1]
            + original[change[0] + change[2] :]
        )
    )


__all__ = ["check_generated", "corrupted_inputs"]
