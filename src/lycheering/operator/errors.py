"""Errors of the calls to control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.operator import answers


class OperatorError(Exception):
    """The base of all errors of a call."""


class UnreachableError(OperatorError):
    """No endpoint received the call, so it was not carried out."""


class OutcomeUnknownError(OperatorError):
    """The call may have been carried out, but its response was lost."""


class MalformedAnswerError(OperatorError):
    """A response doesn't match the HTTP API."""


class RefusedError(OperatorError):
    """A control instance refused the call, so it was not carried out.

    Attributes:
        body: The error in the response.
    """

    def __init__(self, body: answers.ErrorBody) -> None:
        super().__init__(format_refusal(body))
        self.body = body


def format_refusal(body: answers.ErrorBody) -> str:
    """Returns the text that shows a refusal to an operator."""
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
    "format_refusal",
]
