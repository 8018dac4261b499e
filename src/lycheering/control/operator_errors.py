"""Why an operator's call was not done, and how that is answered."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import blacksheep
import msgspec
import pydantic

from lycheering.control import failures
from lycheering.control import operator_rows
from lycheering.operator import answers
from lycheering.replication import errors

if TYPE_CHECKING:
    from lycheering.control import commands

JSON_TYPE = b"application/json"


class OperatorError(Exception):
    """A call that was not done, or may not have been.

    Attributes:
        status: The HTTP status.
        detail: What the operator is told.
    """

    def __init__(
        self,
        code: int,
        reason: str,
        message: str,
        *,
        findings: list[str] | None = None,
        retry_after_ms: float = 0.0,
        winner: commands.Winner | None = None,
    ) -> None:
        super().__init__(message)
        self.status = code
        self.detail = answers.ErrorBody(
            code,
            reason,
            message,
            tuple(findings or ()),
            retry_after_ms,
            operator_rows.winner(winner) if winner else None,
        )


def bad_request(findings: list[str]) -> OperatorError:
    """Returns the error for a call that is wrong in itself."""
    return OperatorError(
        400, "bad_request", f"{len(findings)} findings", findings=findings
    )


def invalid_body(error: pydantic.ValidationError) -> OperatorError:
    """Returns the error for a body that does not fit its model."""
    findings = []
    for item in error.errors():
        place = ".".join(str(part) for part in item["loc"])
        findings.append(f"{place}: {item['msg']}" if place else item["msg"])
    return bad_request(findings)


def not_found(what: str) -> OperatorError:
    """Returns the error for something that does not exist."""
    return OperatorError(404, "not_found", what)


def wrong_state(message: str) -> OperatorError:
    """Returns the error for something whose state does not allow a call."""
    return OperatorError(409, "wrong_state", message)


def of_replication(error: Exception) -> OperatorError:
    """Returns the error for a call that the replicated log did not do."""
    match error:
        case errors.MemberChangeError():
            return wrong_state(str(error))
        case errors.OutcomeUnknownError() | TimeoutError():
            return OperatorError(
                503,
                "unknown_outcome",
                "may have been done; sending it again unchanged is safe",
                retry_after_ms=failures.NO_QUORUM_RETRY_MS,
            )
    return OperatorError(
        503,
        "no_quorum",
        f"not done: {error}",
        retry_after_ms=failures.NO_QUORUM_RETRY_MS,
    )


def json_response(
    answer: msgspec.Struct, status: int = 200
) -> blacksheep.Response:
    """Returns a response with a JSON body."""
    content = blacksheep.Content(JSON_TYPE, msgspec.json.encode(answer))
    return blacksheep.Response(status, None, content)


def error_response(error: OperatorError) -> blacksheep.Response:
    """Returns the response that tells an error."""
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
    "of_replication",
    "wrong_state",
]
