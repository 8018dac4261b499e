"""Errors of operators' calls, and the responses for them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import blacksheep
import msgspec
import pydantic

from lycheering.control import failures
from lycheering.control import operator_items
from lycheering.operator import answers
from lycheering.replication import errors

if TYPE_CHECKING:
    from lycheering.control import commands

JSON_TYPE = b"application/json"


class OperatorError(Exception):
    """A call that failed, or whose outcome is unknown.

    Attributes:
        status: The HTTP status.
        detail: The error in the response body.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        message: str,
        *,
        findings: list[str] | None = None,
        retry_after_ms: float = 0.0,
        winner: commands.Winner | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.detail = answers.ErrorBody(
            status,
            reason,
            message,
            tuple(findings or ()),
            retry_after_ms,
            operator_items.winner(winner) if winner else None,
        )


def bad_request(findings: list[str]) -> OperatorError:
    """Returns the error for an invalid call."""
    return OperatorError(
        400, "bad_request", f"{len(findings)} findings", findings=findings
    )


def invalid_body(error: pydantic.ValidationError) -> OperatorError:
    """Returns the error for a body that does not match its model."""
    findings = []
    for item in error.errors():
        location = ".".join(str(part) for part in item["loc"])
        findings.append(
            f"{location}: {item['msg']}" if location else item["msg"]
        )
    return bad_request(findings)


def not_found(message: str) -> OperatorError:
    """Returns the error for something that does not exist."""
    return OperatorError(404, "not_found", message)


def wrong_state(message: str) -> OperatorError:
    """Returns the error for a call that the current state does not allow."""
    return OperatorError(409, "wrong_state", message)


def replication_error(error: Exception) -> OperatorError:
    """Returns the error for a failure of the replicated log."""
    match error:
        case errors.MemberChangeError():
            return wrong_state(str(error))
        case errors.OutcomeUnknownError() | TimeoutError():
            return OperatorError(
                503,
                "unknown_outcome",
                "the outcome is unknown; resending the same call is safe",
                retry_after_ms=failures.NO_QUORUM_RETRY_MS,
            )
    return OperatorError(
        503,
        "no_quorum",
        f"the call had no effect: {error}",
        retry_after_ms=failures.NO_QUORUM_RETRY_MS,
    )


def json_response(
    answer: msgspec.Struct, status: int = 200
) -> blacksheep.Response:
    """Returns a response with a JSON body."""
    content = blacksheep.Content(JSON_TYPE, msgspec.json.encode(answer))
    return blacksheep.Response(status, None, content)


def error_response(error: OperatorError) -> blacksheep.Response:
    """Returns the response for an error."""
    detail = error.detail
    answer = answers.ErrorAnswer(detail)
    response = json_response(answer, error.status)
    if detail.retry_after_ms:
        seconds = math.ceil(detail.retry_after_ms / 1_000)
        response.add_header(b"Retry-After", str(seconds).encode())
    return response


__all__ = [
    "OperatorError",
    "bad_request",
    "error_response",
    "invalid_body",
    "json_response",
    "not_found",
    "replication_error",
    "wrong_state",
]
