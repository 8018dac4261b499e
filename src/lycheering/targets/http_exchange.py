"""HTTP helpers that the target drivers share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.targets import api
from lycheering.web import client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from lycheering.settings import model

MAX_REPLY_BYTES = 1_048_576
HEALTH_TIMEOUT_MS = 1_000
RATE_LIMIT_HEADER = "x-rate-limit"


async def send(
    origin: client.Origin,
    call: api.TargetCall,
    before_send: Callable[[], None],
) -> client.Exchange:
    """Sends a request once, on a new connection.

    Args:
        origin: The target's origin.
        call: The request.
        before_send: Called directly before the first byte is sent; if it
            raises, nothing is sent.

    Returns:
        The exchange, whose response has not been read yet.

    Raises:
        NotSentError: If the connection fails.
    """
    header_by_name = {
        "Content-Type": call.content_type,
        "X-Request-Id": call.request_id,
    }
    if call.order_id:
        header_by_name["Idempotency-Key"] = call.order_id
        header_by_name["X-Fence"] = str(call.fence)
    try:
        exchange = await client.Exchange.connect(origin)
    except client.ConnectFailedError as error:
        raise api.NotSentError(str(error)) from error
    try:
        before_send()
        exchange.send(call.method, call.path, header_by_name, call.body)
    except BaseException:
        exchange.close()
        raise
    return exchange


async def read_head(
    exchange: client.Exchange, silence_ms: float
) -> client.ResponseHead:
    """Returns the status and headers of a response.

    Args:
        exchange: The exchange.
        silence_ms: The longest time without a byte.

    Raises:
        SilentTargetError: If no byte arrives in that time.
        BrokenAnswerError: If the response ends within its head.
    """
    try:
        return await exchange.head(silence_ms)
    except client.SilenceError as error:
        raise api.SilentTargetError(str(error)) from error
    except client.ExchangeBrokenError as error:
        raise _broken_answer_error(error) from error


async def read_parts(
    exchange: client.Exchange, silence_ms: float
) -> AsyncIterator[bytes]:
    """Yields the parts of a response's body until it is complete.

    Args:
        exchange: The exchange.
        silence_ms: The longest time without a byte.

    Raises:
        SilentTargetError: If no byte arrives in that time.
        BrokenAnswerError: If the body ends before it is complete.
    """
    try:
        async for part in exchange.body_parts(silence_ms):
            yield part
    except client.SilenceError as error:
        raise api.SilentTargetError(str(error)) from error
    except client.ExchangeBrokenError as error:
        raise _broken_answer_error(error) from error


async def fetch(
    origin: client.Origin,
    settings: model.WireSettings,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    timeout_ms: float = 0.0,
    max_bytes: int = MAX_REPLY_BYTES,
) -> client.Response:
    """Sends a request on a new connection and returns the whole reply.

    Args:
        origin: The origin to send the request to.
        settings: The wire settings.
        method: The HTTP method.
        path: The path.
        body: The JSON body; empty for none.
        timeout_ms: The timeout; 0 for `silence_ms` of the settings.
        max_bytes: The largest body of the reply.

    Raises:
        NotSentError: If the request was not sent.
        BrokenAnswerError: If the request may have been received.
    """
    header_by_name = {"Content-Type": "application/json"} if body else {}
    try:
        return await client.fetch(
            origin,
            method,
            path,
            header_by_name=header_by_name,
            body=body,
            timeout_ms=timeout_ms or settings.silence_ms,
            max_bytes=max_bytes,
        )
    except client.ConnectFailedError as error:
        raise api.NotSentError(str(error)) from error
    except client.SilenceError as error:
        raise api.SilentTargetError(str(error)) from error
    except client.ExchangeBrokenError as error:
        raise _broken_answer_error(error) from error


def _broken_answer_error(
    error: client.ExchangeBrokenError,
) -> api.BrokenAnswerError:
    if isinstance(error, client.InvalidResponseError):
        return api.InvalidAnswerError(str(error))
    return api.BrokenAnswerError(str(error))


async def is_healthy(
    origin: client.Origin, settings: model.WireSettings
) -> bool:
    """Returns whether a health check on a new connection succeeds."""
    try:
        reply = await fetch(
            origin,
            settings,
            "GET",
            "/health",
            timeout_ms=HEALTH_TIMEOUT_MS,
        )
    except api.TargetError:
        return False
    return reply.head.status == 200


class BodyAnswer(api.Answer):
    """An answer whose chunks are the parts of an HTTP body."""

    def __init__(self, exchange: client.Exchange) -> None:
        self._exchange = exchange

    async def read_head(self, silence_ms: float) -> api.AnswerHead:
        """Returns the status and headers of the answer."""
        head = await read_head(self._exchange, silence_ms)
        content_type = head.header("content-type", "application/octet-stream")
        return api.AnswerHead(
            head.status,
            content_type,
            rate_limit=head.header(RATE_LIMIT_HEADER),
        )

    async def read_chunks(
        self, silence_ms: float
    ) -> AsyncIterator[tuple[bytes, ...]]:
        """Yields the body's parts until it is complete."""
        async for part in read_parts(self._exchange, silence_ms):
            yield (part,)

    def close(self) -> None:
        """Closes the connection."""
        self._exchange.close()


__all__ = [
    "HEALTH_TIMEOUT_MS",
    "MAX_REPLY_BYTES",
    "RATE_LIMIT_HEADER",
    "BodyAnswer",
    "fetch",
    "is_healthy",
    "read_head",
    "read_parts",
    "send",
]
