"""The driver for inference engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar
import urllib.parse

import msgspec

from lycheering import clock
from lycheering import integers
from lycheering import json_input
from lycheering.cache import api as cache_api
from lycheering.targets import api
from lycheering.targets import completion_events
from lycheering.targets import http_exchange
from lycheering.web import client
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from lycheering.settings import model

T = TypeVar("T")

ORDER_TIMEOUT_MS = 60_000
# an engine lists all blocks in one answer
MAX_LISTING_BYTES = 33_554_432
MAX_EVENT_BYTES = 65_536


class _EngineOrder(msgspec.Struct):
    fence: int
    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class _OrderAnswer(msgspec.Struct):
    done: bool = False
    highest_fence: int = 0


class EngineAnswer(api.Answer):
    """A completion, read as server-sent events if it is streamed."""

    is_resumable = True

    def __init__(self, exchange: client.Exchange, first_seq: int) -> None:
        self._exchange = exchange
        self._parser = completion_events.CompletionEventParser(first_seq)
        self._is_streamed = False

    async def read_head(self, silence_ms: float) -> api.AnswerHead:
        """Returns the status and headers of the answer."""
        head = await http_exchange.read_head(self._exchange, silence_ms)
        answer_head = api.AnswerHead(
            head.status,
            head.header("content-type", "application/json"),
            head.header("x-engine-incarnation"),
            head.header("x-weights-version"),
            _header_count(head.header("x-prompt-pieces")),
            _header_count(head.header("x-cached-pieces")),
            head.header(http_exchange.RATE_LIMIT_HEADER),
        )
        self._is_streamed = answer_head.is_event_stream
        self.is_resumable = self._is_streamed
        return answer_head

    async def read_chunks(
        self, silence_ms: float
    ) -> AsyncIterator[tuple[bytes, ...]]:
        """Yields chunks until the final chunk and the end mark were read."""
        async for part in http_exchange.read_parts(self._exchange, silence_ms):
            if not self._is_streamed:
                yield (part,)
                continue
            chunks = self._parser.feed(part)
            if chunks:
                yield chunks
            if self._parser.violation:
                raise api.InvalidAnswerError(self._parser.violation)
            if self._parser.is_complete:
                return
        if self._is_streamed:
            raise api.BrokenAnswerError(
                "the stream ended before its final chunk and end mark"
            )

    def close(self) -> None:
        """Closes the connection."""
        self._exchange.close()


def _header_count(text: str) -> int:
    return integers.parse_non_negative(text) or 0


class EngineDriver(api.TargetDriver, cache_api.EventSource):
    """Calls the engine's completion API and its cache and order endpoints."""

    def __init__(
        self, settings: model.AgentSettings, wire: model.WireSettings
    ) -> None:
        self._origin = client.Origin.parse(settings.url)
        self._wire = wire

    async def send(
        self, call: api.TargetCall, before_send: Callable[[], None]
    ) -> api.Answer:
        """Sends a request once, on a new connection."""
        exchange = await http_exchange.send(self._origin, call, before_send)
        return EngineAnswer(exchange, call.first_seq)

    async def resume(self, request_id: str, from_seq: int) -> api.Answer:
        """Resumes an answer at the engine that generates it."""
        path = f"{_stream_path(request_id)}?from_seq={from_seq}"
        request = api.TargetCall(
            request_id, "GET", path, b"", "application/json"
        )
        exchange = await http_exchange.send(self._origin, request, _no_check)
        return EngineAnswer(exchange, from_seq)

    async def cancel(self, request_id: str) -> None:
        """Cancels a request at the engine; failures are ignored."""
        try:
            await self._fetch("DELETE", _stream_path(request_id))
        except api.TargetError:
            return

    async def is_healthy(self) -> bool:
        """Returns whether a health check on a new connection succeeds."""
        return await http_exchange.is_healthy(self._origin, self._wire)

    async def fetch_load(self) -> api.EngineLoadReport:
        """Returns the engine's load report."""
        reply = await self._fetch("GET", "/load")
        _check_status(reply.head)
        report = _decode(reply.body, api.EngineLoadReport)
        if not report.incarnation:
            raise api.BrokenAnswerError("a load report without incarnation")
        return report

    async def send_order(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        """Sends a target order to the engine."""
        body = _EngineOrder(
            order.fence,
            order.kind.value,
            order.model,
            order.version,
            order.adapter,
            order.role,
        )
        reply = await self._fetch(
            "POST",
            "/orders",
            msgspec.json.encode(body),
            timeout_ms=ORDER_TIMEOUT_MS,
        )
        status = reply.head.status
        if status not in (200, 409):
            return messages.TargetOrderReply(
                False, order.fence, f"the engine answered with status {status}"
            )
        answer = _decode(reply.body, _OrderAnswer)
        highest_fence = max(order.fence, answer.highest_fence)
        detail = (
            "" if status == 200 else "the engine rejected the fencing number"
        )
        return messages.TargetOrderReply(answer.done, highest_fence, detail)

    async def list_blocks(self) -> cache_api.BlockListing:
        """Returns the blocks that are cached now."""
        reply = await self._fetch(
            "GET", "/cache/blocks", max_bytes=MAX_LISTING_BYTES
        )
        _check_status(reply.head)
        return _decode(reply.body, cache_api.BlockListing)

    async def cache_events(
        self, from_seq: int
    ) -> AsyncIterator[cache_api.CacheEvent]:
        """Yields cache events until the stream fails."""
        path = f"/cache/events?from_seq={from_seq}"
        request = api.TargetCall("cache", "GET", path, b"", "application/json")
        exchange = await http_exchange.send(self._origin, request, _no_check)
        silence_ms = self._wire.silence_ms
        partial_line = b""
        try:
            await self._read_event_head(exchange, silence_ms)
            async for part in http_exchange.read_parts(exchange, silence_ms):
                *lines, partial_line = (partial_line + part).split(b"\n")
                for line in lines:
                    if line:
                        yield _decode(line, cache_api.CacheEvent)
                if len(partial_line) > MAX_EVENT_BYTES:
                    raise api.BrokenAnswerError(
                        f"an event is larger than {MAX_EVENT_BYTES} bytes"
                    )
        finally:
            exchange.close()
        raise api.BrokenAnswerError("the event stream ended")

    async def _read_event_head(
        self, exchange: client.Exchange, silence_ms: float
    ) -> None:
        """Reads a head that must be complete, not only continue, in time."""
        try:
            async with asyncio.timeout(silence_ms / clock.MS_PER_S):
                head = await http_exchange.read_head(exchange, silence_ms)
        except TimeoutError as error:
            raise api.SilentTargetError("no complete head in time") from error
        _check_status(head)

    async def _fetch(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_ms: float = 0.0,
        max_bytes: int = http_exchange.MAX_REPLY_BYTES,
    ) -> client.Response:
        return await http_exchange.fetch(
            self._origin,
            self._wire,
            method,
            path,
            body=body,
            timeout_ms=timeout_ms,
            max_bytes=max_bytes,
        )


def _no_check() -> None:
    """The `before_send` of requests that may be repeated."""


def _stream_path(request_id: str) -> str:
    return f"/v1/streams/{urllib.parse.quote(request_id, safe='')}"


def _check_status(head: client.ResponseHead) -> None:
    if head.status != 200:
        raise api.BrokenAnswerError(f"status {head.status}")


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return json_input.decode(data, kind)
    except msgspec.DecodeError as error:
        raise api.BrokenAnswerError(f"malformed answer: {error}") from error


__all__ = ["EngineAnswer", "EngineDriver"]
