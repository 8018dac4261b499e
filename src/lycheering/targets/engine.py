"""A driver for model engines."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar
import urllib.parse

import msgspec

from lycheering import counts
from lycheering.cache import api as cache_api
from lycheering.targets import api
from lycheering.targets import events
from lycheering.targets import exchange as exchanges
from lycheering.web import client
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from lycheering.settings import model

T = TypeVar("T")

EVENT_STREAM = "text/event-stream"
ORDER_TIMEOUT_MS = 60_000


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
    """A completion read event by event."""

    resumable = True

    def __init__(self, exchange: client.Exchange, first_seq: int) -> None:
        self._exchange = exchange
        self._reader = events.EventReader(first_seq)
        self._streamed = False

    async def head(self, silence_ms: float) -> api.AnswerHead:
        """Returns the start of the answer."""
        head = await exchanges.read_head(self._exchange, silence_ms)
        content_type = head.header("content-type", "application/json")
        self._streamed = content_type.startswith(EVENT_STREAM)
        return api.AnswerHead(
            head.status,
            content_type,
            head.header("x-engine-incarnation"),
            head.header("x-weights-version"),
            _count(head.header("x-prompt-pieces")),
            _count(head.header("x-cached-pieces")),
        )

    async def batches(
        self, silence_ms: float
    ) -> AsyncIterator[tuple[bytes, ...]]:
        """Yields events until the last one and the end mark were read."""
        async for part in exchanges.read_parts(self._exchange, silence_ms):
            if not self._streamed:
                yield (part,)
                continue
            items = self._reader.feed(part)
            if items:
                yield items
            if self._reader.whole:
                return
        if self._streamed:
            raise api.BrokenAnswerError("stream ended before its last event")

    def close(self) -> None:
        """Closes the connection."""
        self._exchange.close()


def _count(text: str) -> int:
    return counts.read_count(text) or 0


class EngineDriver(api.TargetDriver, cache_api.EventSource):
    """Speaks the completion API and the engine's own endpoints."""

    def __init__(
        self, settings: model.AgentSettings, wire: model.WireSettings
    ) -> None:
        self._origin = client.Origin.parse(settings.url)
        self._wire = wire

    async def send(
        self, call: api.TargetCall, before_send: Callable[[], None]
    ) -> api.Answer:
        """Sends a request once, on a connection of its own."""
        exchange = await exchanges.send(self._origin, call, before_send)
        return EngineAnswer(exchange, call.first_seq)

    async def resume(self, request_id: str, from_seq: int) -> api.Answer:
        """Picks an answer up from the engine that generates it."""
        path = f"{_stream_path(request_id)}?from_seq={from_seq}"
        request = api.TargetCall(
            request_id, "GET", path, b"", "application/json"
        )
        exchange = await exchanges.send(self._origin, request, _nothing)
        return EngineAnswer(exchange, from_seq)

    async def cancel(self, request_id: str) -> None:
        """Ends a request at the engine."""
        try:
            await self._fetch("DELETE", _stream_path(request_id))
        except api.TargetError:
            return

    async def healthy(self) -> bool:
        """Returns whether the engine answers on a new connection."""
        return await exchanges.is_healthy(self._origin, self._wire)

    async def load(self) -> api.TargetLoad:
        """Returns what the engine reports of itself."""
        reply = await self._fetch("GET", "/load")
        return _decode(reply.body, api.TargetLoad)

    async def give_order(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        """Hands a target order to the engine."""
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
                False, order.fence, f"engine answered {status}"
            )
        answer = _decode(reply.body, _OrderAnswer)
        highest = max(order.fence, answer.highest_fence)
        detail = "" if status == 200 else "engine refused the fencing number"
        return messages.TargetOrderReply(answer.done, highest, detail)

    async def list_blocks(self) -> cache_api.BlockListing:
        """Returns what is cached now."""
        reply = await self._fetch("GET", "/cache/blocks")
        return _decode(reply.body, cache_api.BlockListing)

    async def cache_events(
        self, from_seq: int
    ) -> AsyncIterator[cache_api.CacheEvent]:
        """Yields cache events for ever, from a number on."""
        path = f"/cache/events?from_seq={from_seq}"
        request = api.TargetCall("cache", "GET", path, b"", "application/json")
        exchange = await exchanges.send(self._origin, request, _nothing)
        silence_ms = self._wire.silence_ms
        rest = b""
        try:
            await exchanges.read_head(exchange, silence_ms)
            async for part in exchanges.read_parts(exchange, silence_ms):
                *lines, rest = (rest + part).split(b"\n")
                for line in lines:
                    if line:
                        yield _decode(line, cache_api.CacheEvent)
        finally:
            exchange.close()
        raise api.BrokenAnswerError("event stream ended")

    async def _fetch(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_ms: float = 0.0,
    ) -> client.Reply:
        return await exchanges.fetch(
            self._origin,
            self._wire,
            method,
            path,
            body=body,
            timeout_ms=timeout_ms,
        )


def _nothing() -> None:
    """Checks nothing before a request that may be repeated."""


def _stream_path(request_id: str) -> str:
    return f"/v1/streams/{urllib.parse.quote(request_id, safe='')}"


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise api.BrokenAnswerError(f"malformed answer: {error}") from error


__all__ = ["EVENT_STREAM", "EngineAnswer", "EngineDriver"]
