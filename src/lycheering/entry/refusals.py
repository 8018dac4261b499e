"""Error responses to callers."""

from __future__ import annotations

import dataclasses
import http
import json
import math

from lycheering.wire import messages

DEFAULT_RETRY_AFTER_MS = 1_000.0

_STATUS_BY_REASON = {
    messages.Reason.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
    messages.Reason.UNAUTHORIZED: http.HTTPStatus.UNAUTHORIZED,
    messages.Reason.NOT_FOUND: http.HTTPStatus.NOT_FOUND,
    messages.Reason.WRONG_MODEL: http.HTTPStatus.NOT_FOUND,
    messages.Reason.KEY_REUSED: http.HTTPStatus.CONFLICT,
    messages.Reason.IN_PROGRESS: http.HTTPStatus.CONFLICT,
    messages.Reason.TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    messages.Reason.TEAM_LIMIT: http.HTTPStatus.TOO_MANY_REQUESTS,
    messages.Reason.DEADLINE: http.HTTPStatus.GATEWAY_TIMEOUT,
    messages.Reason.EXPIRED: http.HTTPStatus.GATEWAY_TIMEOUT,
    messages.Reason.TARGET_FAILED: http.HTTPStatus.BAD_GATEWAY,
    messages.Reason.SILENT: http.HTTPStatus.BAD_GATEWAY,
    messages.Reason.UNREACHABLE: http.HTTPStatus.BAD_GATEWAY,
    messages.Reason.UNKNOWN_OUTCOME: http.HTTPStatus.BAD_GATEWAY,
    messages.Reason.INTERNAL: http.HTTPStatus.INTERNAL_SERVER_ERROR,
}
_NOT_RETRYABLE = frozenset(
    {
        messages.Reason.BAD_REQUEST,
        messages.Reason.UNAUTHORIZED,
        messages.Reason.NOT_FOUND,
        messages.Reason.KEY_REUSED,
        messages.Reason.TOO_LARGE,
        messages.Reason.UNKNOWN_OUTCOME,
    }
)


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete HTTP response to a caller.

    Attributes:
        status: The HTTP status.
        content_type: The body's content type.
        body: The body.
        header_by_name: Additional headers.
    """

    status: int
    content_type: str
    body: bytes
    header_by_name: dict[str, str] = dataclasses.field(default_factory=dict)


class RefusalError(Exception):
    """The request is answered with an error.

    Attributes:
        reason: The machine-readable reason.
        message: A message for people.
        not_run: True only if no target has run or will run the request.
        retry_after_ms: Time in ms after which to retry; 0 if a retry is
            useless.
        is_order_not_run: Whether `not_run` holds for every call under the
            same idempotency key, not only for this one.
    """

    def __init__(
        self,
        reason: messages.Reason,
        message: str,
        *,
        not_run: bool,
        retry_after_ms: float = 0.0,
        is_order_not_run: bool = False,
    ) -> None:
        super().__init__(f"{reason}: {message}")
        self.reason = reason
        self.message = message
        self.not_run = not_run
        self.is_order_not_run = is_order_not_run
        if not retry_after_ms and reason not in _NOT_RETRYABLE:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
        self.retry_after_ms = retry_after_ms

    @property
    def status(self) -> int:
        """The HTTP status for the reason."""
        default_status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if self.reason is messages.Reason.UNREACHABLE and self.not_run:
            return int(default_status)
        return int(_STATUS_BY_REASON.get(self.reason, default_status))

    @property
    def code(self) -> str:
        """The kind of error: invalid request, refusal or failure."""
        if self.status < 500 and self.reason in _NOT_RETRYABLE:
            return "invalid_request"
        return "refused" if self.not_run else "failed"

    def body(self) -> bytes:
        """Returns the error as a JSON body."""
        error = {
            "code": self.code,
            "reason": self.reason.value,
            "not_run": self.not_run,
            "retry_after_ms": round(self.retry_after_ms),
            "message": self.message,
        }
        return json.dumps({"error": error}).encode()

    def answer(self) -> Answer:
        """Returns the error as an HTTP response."""
        header_by_name = {}
        if self.retry_after_ms:
            seconds = max(1, math.ceil(self.retry_after_ms / 1_000))
            header_by_name["Retry-After"] = str(seconds)
        return Answer(
            self.status, "application/json", self.body(), header_by_name
        )


def bad_request(message: str) -> RefusalError:
    """Returns the refusal of an invalid request."""
    # an earlier copy of the same request was refused for the same reason
    return RefusalError(
        messages.Reason.BAD_REQUEST,
        message,
        not_run=True,
        is_order_not_run=True,
    )


__all__ = ["DEFAULT_RETRY_AFTER_MS", "Answer", "RefusalError", "bad_request"]
