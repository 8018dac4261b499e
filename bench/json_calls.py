"""Single HTTP calls that carry JSON."""

from __future__ import annotations

import json
import urllib.error
import urllib.request

HTTP_TIMEOUT_S = 10.0


class OperatorError(Exception):
    """The operator endpoint refused.

    Attributes:
        status: The HTTP status.
        body: What it answered.
    """

    def __init__(self, status: int, body: str) -> None:
        super().__init__(f"{status}: {body}")
        self.status = status
        self.body = body


def call_json(
    url: str,
    method: str = "GET",
    body: object = None,
    timeout_s: float = HTTP_TIMEOUT_S,
) -> object:
    """Does one exchange in JSON.

    Raises:
        OperatorError: If the answer is an error.
        OSError: If there is no answer.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as reply:
            text = reply.read()
    except urllib.error.HTTPError as error:
        raise OperatorError(error.code, error.read().decode()) from error
    return json.loads(text) if text else None


def answers(url: str) -> bool:
    """Returns whether a URL answers with success."""
    try:
        with urllib.request.urlopen(url, timeout=2):
            return True
    except OSError:
        return False


__all__ = ["OperatorError", "answers", "call_json"]
