"""What can go wrong between an operator and the control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.operator import answers


class OperatorError(Exception):
    """The base of all failed calls."""


class UnreachableError(OperatorError):
    """No endpoint took the call, so nothing was done."""


class OutcomeUnknownError(OperatorError):
    """The call may have been acted on, and its answer is not known."""


class MalformedAnswerError(OperatorError):
    """An answer has another shape than the interface describes."""


class RefusedError(OperatorError):
    """The call was answered and refused, so nothing was done.

    Attributes:
        body: What was answered.
    """

    def __init__(self, body: answers.ErrorBody) -> None:
        super().__init__(describe(body))
        self.body = body


def describe(body: answers.ErrorBody) -> str:
    """Returns a refusal as lines for an operator."""
    lines = [f"{body.reason}: {body.message}".rstrip(": ")]
    lines += list(body.findings)
    if body.winner is not None:
        winner = body.winner
        lines.append(
            f"accepted instead: revision {winner.revision}"
            f" by {winner.operator} (change {winner.change_id})"
        )
    if body.retry_after_ms > 0:
        lines.append(f"try again in {body.retry_after_ms:.0f} ms")
    return "\n".join(lines)


__all__ = [
    "MalformedAnswerError",
    "OperatorError",
    "OutcomeUnknownError",
    "RefusedError",
    "UnreachableError",
    "describe",
]
