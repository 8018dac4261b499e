"""Server connections with strict framing and limits on what clients send."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import Any

import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from lycheering.telemetry import logs
from lycheering.web import close_delimited
from lycheering.web import held_bytes

# For this long after accepting, a connection counts as one whose first request
# is arriving.
FIRST_REQUEST_GRACE_MS = 500.0

# Requests of one connection that are begun before the first of them is
# answered. Further ones stay unparsed, as a parsed request takes far more
# memory than its bytes.
MAX_OPEN_REQUESTS = 4
# Reading pauses while more than this is unparsed.
MAX_UNPARSED_BYTES = 65_536
# The parser is given so many bytes of chunks at least: its calls cost time, and
# chunks may consist of empty lines.
MIN_CHUNKS_BYTES = 512
# headers of this many times the limit are refused before they are parsed
OVERSIZE_FACTOR = 4
# Memory that a request takes besides its bytes, and a header besides its own.
REQUEST_COST_BYTES = 4_096
HEADER_COST_BYTES = 320
# a body is held once as received and once as sent to a target
BODY_COPIES = 2
# A client that reads nothing for so long may be ended for others.
MIN_UNREAD_S = 1.0
WRITE_HIGH_WATER_BYTES = 16_384

_ERROR_RESPONSE = (
    b"HTTP/1.1 %d %s\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)

_LOG = logs.get("web")

# Key of the request target, as received, in the extensions of an ASGI scope.
TARGET_EXTENSION = "lycheering.target"


@dataclasses.dataclass
class HeadLimits:
    """Limits of a server; may be changed while it runs.

    Attributes:
        max_header_bytes: Maximum size of the headers of a request.
        header_timeout_ms: Maximum time for receiving them.
        idle_timeout_ms: Time after which an idle connection is closed.
        max_body_bytes: Maximum size of a body; 0 if the application limits
            it.
    """

    max_header_bytes: int = 65_536
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 15_000.0
    max_body_bytes: int = 0


class _HoldableFlow(flow_control.FlowControl):
    """Flow control that does not resume reading while it is held.

    Attributes:
        is_held: Whether reading stays paused.
    """

    is_held = False

    def resume_reading(self) -> None:
        """Resumes reading, unless it is held."""
        if not self.is_held:
            super().resume_reading()


class HeadLimitProtocol(
    httptools_impl.HttpToolsProtocol, held_bytes.HeldConnection
):
    """A server connection with limits on what its client sends.

    Besides the limits on headers, only a few requests are begun before the
    first of them is answered. What they take counts against the bounds of the
    process.

    An offer to upgrade the connection is ignored, as a server may, and a
    request that would end HTTP on the connection is refused. After an error in
    the framing, nothing more is read from the connection.

    Attributes:
        limits: The limits; a subclass for each server overrides them.
        held: The bounds of the process; the same.
    """

    limits = HeadLimits()
    held = held_bytes.HeldBytes()

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._head_bytes = 0
        self._is_in_head = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._connected_s = 0.0
        self._has_ended = False
        # received bytes that are not parsed yet, and where they start
        self._unparsed = b""
        self._unparsed_start = 0
        self._is_resuming = False
        self._is_parsing = False
        # of the body that is arriving; None if it has no length
        self._body_bytes_left: int | None = 0
        self._body_bytes = 0
        self._header_cost = 0
        self._cost_by_cycle: dict[httptools_impl.RequestResponseCycle, int] = {}
        self._open_cost = 0
        self._unread_since_s: float | None = None
        self._refusal: tuple[int, bytes] | None = None
        # of requests that are not answered yet, the oldest first
        self._open_cycles: collections.deque[
            httptools_impl.RequestResponseCycle
        ] = collections.deque()

    @property
    def is_request_arriving(self) -> bool:
        """Whether a request is being received, or probably about to be."""
        if self._is_in_head or self._unparsed:
            return True
        if self.cycle is not None:
            return False
        return (
            self.loop.time() - self._connected_s
            < FIRST_REQUEST_GRACE_MS / 1_000
        )

    @property
    def open_requests(self) -> int:
        """Number of requests that are begun and not answered."""
        return len(self._open_cycles)

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Starts the idle timeout for the first request."""
        super().connection_made(transport)
        self.flow = _HoldableFlow(transport)
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._connected_s = self.loop.time()
        self.since_s = self._connected_s
        self.held.add(self, self._connected_s)
        idle_s = self.limits.idle_timeout_ms / 1_000
        self.timeout_keep_alive_task = self.loop.call_later(
            idle_s, self.timeout_keep_alive_handler
        )

    def data_received(self, data: bytes) -> None:
        """Parses received bytes as far as they are to be served now."""
        if self._has_ended:
            return
        self.timeout_keep_alive = self.limits.idle_timeout_ms / 1_000  # type: ignore[assignment]
        self._unset_keepalive_if_required()
        if self._unparsed:
            data = self._unparsed[self._unparsed_start :] + data
            self._unparsed_start = 0
        self._parse_some(data, 0)

    def _parse_some(self, data: bytes, start: int) -> None:
        """Parses bytes until enough requests are open; keeps the others."""
        while start < len(data) and not self._is_open_enough():
            end = self._next_end(data, start)
            try:
                self._is_parsing = True
                self._parse(data[start:end])
            except httptools.HttpParserError:
                self._reject(400, b"Bad Request")
            else:
                self._check_limits(end - start)
            finally:
                self._is_parsing = False
            if self._has_ended:
                return
            start = end
        self._keep_unparsed(data, start)
        self._count_held()
        self.held.make_room(self.loop.time())
        if not self._has_ended:
            self._start_idle_timeout()

    def _is_open_enough(self) -> bool:
        """Returns whether the next request has to wait for an answer."""
        return (
            len(self._open_cycles) >= MAX_OPEN_REQUESTS
            and not self._open_cycles[-1].more_body
        )

    def _next_end(self, data: bytes, start: int) -> int:
        """Returns up to where bytes are parsed at once.

        At most about one request ends there, so that no more are begun than
        may be open.
        """
        if self._body_bytes_left:
            return min(len(data), start + self._body_bytes_left)
        if self._body_bytes_left is None:
            least = start + MIN_CHUNKS_BYTES
            end = data.find(b"\n\r\n", least)
            return len(data) if end < 0 else end + 3
        end = data.find(b"\n\r\n", start)
        end = len(data) if end < 0 else end + 3
        max_bytes = self.limits.max_header_bytes
        if end == len(data) or end - start > OVERSIZE_FACTOR * max_bytes:
            # an incomplete head is refused beyond this
            left_bytes = max_bytes - self._head_bytes
            return min(end, start + max(left_bytes, 0) + 1)
        return end

    def _check_limits(self, parsed_bytes: int) -> None:
        """Refuses what exceeds a limit after more bytes were parsed."""
        if self._has_ended:
            return
        if self._refusal is not None:
            self._reject(*self._refusal)
            return
        if not self._is_in_head:
            return
        self._head_bytes += parsed_bytes
        if self._head_bytes > self.limits.max_header_bytes:
            self._reject(431, b"Request Header Fields Too Large")

    def _keep_unparsed(self, data: bytes, start: int) -> None:
        is_empty = start >= len(data)
        self._unparsed = b"" if is_empty else data
        self._unparsed_start = 0 if is_empty else start
        if len(self._unparsed) - self._unparsed_start > MAX_UNPARSED_BYTES:
            self.flow.pause_reading()
            self.flow.is_held = True  # type: ignore[attr-defined]
        elif self.flow.is_held:  # type: ignore[attr-defined]
            self.flow.is_held = False  # type: ignore[attr-defined]
            self.flow.resume_reading()

    def _parse_kept(self) -> None:
        """Goes on with bytes that waited for an answer."""
        self._is_resuming = False
        if self._has_ended or self.transport.is_closing():
            return
        if self._unparsed:
            self._unset_keepalive_if_required()
            self._parse_some(self._unparsed, self._unparsed_start)

    def _start_idle_timeout(self) -> None:
        """Starts the timeout of a connection on which nothing happens.

        The bytes of a body whose request is answered already do not keep it
        open either.
        """
        if self._open_cycles or self._is_in_head or self._unparsed:
            return
        if self.timeout_keep_alive_task is None:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.limits.idle_timeout_ms / 1_000,
                self.timeout_keep_alive_handler,
            )

    def _parse(self, data: bytes) -> None:
        """Parses received bytes, ignoring offers to upgrade.

        The parser ends a request with such an offer at its headers, whatever
        its body. So the headers are parsed again without the offer.
        """
        while True:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                if self.parser.get_method() == b"CONNECT":
                    self._reject(501, b"Not Implemented")
                    return
                (parsed_bytes,) = upgrade.args
                data = self._head_without_upgrade() + data[parsed_bytes:]
                self.parser = httptools.HttpRequestParser(self)
                self.parser.set_dangerous_leniencies(
                    lenient_data_after_close=True
                )
            else:
                return

    def _head_without_upgrade(self) -> bytes:
        version = self.parser.get_http_version().encode()
        lines = [
            b"%s %s HTTP/%s" % (self.parser.get_method(), self.url, version)
        ]
        lines += [
            b"%s: %s" % header
            for header in self.headers
            if header[0] != b"upgrade"
        ]
        return b"\r\n".join([*lines, b"", b""])

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the header timeout."""
        self._end_head()
        self._has_ended = True
        self._unparsed = b""
        super().connection_lost(exc)
        for cycle in self._open_cycles:
            cycle.disconnected = True
            cycle.message_event.set()
        # what its requests hold counts until their tasks have ended
        for cycle, _ in self.pipeline:
            self._release(cycle)
        self.pipeline.clear()
        self._unread_since_s = None
        self._count_held()
        if not self._cost_by_cycle:
            self.held.remove(self)

    def on_message_begin(self) -> None:
        """Starts the size limit and the timeout for the next headers."""
        super().on_message_begin()
        self._is_in_head = True
        self._head_bytes = 0
        self._header_cost = 0
        if not self._open_cycles:
            self.since_s = self.loop.time()
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.limits.header_timeout_ms / 1_000, self._on_head_timeout
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; fields after the body are dropped."""
        if self._is_in_head:
            super().on_header(name, value)
            self._header_cost += HEADER_COST_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Cancels the header timeout and starts handling the request."""
        if self.parser.should_upgrade():
            return
        self._end_head()
        self._body_bytes = 0
        self._body_bytes_left = _body_length(self.headers)
        # a request that was the only one until now is not any more
        self._count_held()
        self.held.make_room(self.loop.time())
        if self.held.is_full and self._open_cost < self.held.total_bytes:
            self._refusal = (503, b"Service Unavailable")
            return
        self.scope["extensions"] = {TARGET_EXTENSION: {"target": self.url}}
        super().on_headers_complete()
        self.scope["extensions"][close_delimited.EXTENSION] = {
            "body": close_delimited.CloseDelimitedBody(self.cycle)
        }
        self._open_cycles.append(self.cycle)
        self._cost_by_cycle[self.cycle] = 0
        self._add_cost(self.cycle, REQUEST_COST_BYTES + self._header_cost)
        self._header_cost = 0

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        if self._body_bytes_left:
            self._body_bytes_left -= len(body)
        if self._refusal is not None or self.cycle.response_complete:
            return
        super().on_body(body)
        self._body_bytes += len(body)
        self._add_cost(self.cycle, BODY_COPIES * len(body))
        max_bytes = self.limits.max_body_bytes
        if max_bytes and self._body_bytes > max_bytes:
            self._refusal = (413, b"Content Too Large")

    def on_message_complete(self) -> None:
        """Ends the body of the request."""
        if self.parser.should_upgrade():
            return
        self._body_bytes_left = 0
        if self._refusal is None:
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Starts the next request that was received meanwhile."""
        if self._open_cycles:
            self._open_cycles.popleft()
        self.has_finished_request = True
        self.since_s = self.loop.time()
        super().on_response_complete()
        if self._unparsed and not self._is_resuming:
            self._is_resuming = True
            self._unset_keepalive_if_required()
            self.loop.call_soon(self._parse_kept)

    def _start_asgi_task(
        self,
        cycle: httptools_impl.RequestResponseCycle,
        app: Any,
    ) -> None:
        """Runs the application; what it holds counts until it has ended."""

        async def run(*arguments: Any) -> None:
            try:
                await app(*arguments)
            finally:
                self._release(cycle)

        super()._start_asgi_task(cycle, run)

    def _add_cost(
        self, cycle: httptools_impl.RequestResponseCycle, cost: int
    ) -> None:
        if cycle in self._cost_by_cycle:
            self._cost_by_cycle[cycle] += cost
            self._open_cost += cost

    def _release(self, cycle: httptools_impl.RequestResponseCycle) -> None:
        """Lets go of what a request holds, and stops counting it."""
        self._open_cost -= self._cost_by_cycle.pop(cycle, 0)
        cycle.body = bytearray()
        if self.scope is cycle.scope:
            self.headers = []
            self.scope = {}  # type: ignore[typeddict-item]
        # the server needs nothing else of it
        cycle.scope = {"method": cycle.scope["method"]}  # type: ignore[typeddict-item]
        self._count_held()
        if not self._cost_by_cycle and self.parser is None:
            self.held.remove(self)

    def _count_held(self) -> None:
        held = self._open_cost + self._header_cost
        held += len(self._unparsed)
        if self._is_in_head:
            held += self._head_bytes
        if self._unread_since_s is not None:
            held += self.transport.get_write_buffer_size()
        self.held.set_held(self, held)

    def pause_writing(self) -> None:
        """Counts the bytes that the client does not read."""
        super().pause_writing()
        if self._unread_since_s is None:
            self._unread_since_s = self.loop.time()
        self._count_held()
        self.loop.call_soon(lambda: self.held.make_room(self.loop.time()))

    def resume_writing(self) -> None:
        """Ends what `pause_writing` began."""
        super().resume_writing()
        self._unread_since_s = None
        self._count_held()

    def may_end(self) -> bool:
        """Returns whether nothing would be lost that is being served."""
        if self._is_parsing:
            return False
        if self._is_stalled():
            # an answer that nobody reads keeps it open
            return True
        if self._has_ended or self.transport.is_closing():
            return False
        return not self._open_cycles or self._is_last_incomplete()

    def may_drop(self) -> bool:
        """Returns whether it holds something that is not being served."""
        if self.may_end():
            return True
        return bool(self._unparsed) and not (
            self._is_parsing or self._has_ended
        )

    def _is_stalled(self) -> bool:
        since_s = self._unread_since_s
        return since_s is not None and self.loop.time() - since_s > MIN_UNREAD_S

    def _is_last_incomplete(self) -> bool:
        """Returns whether its only request was not run so far."""
        cycle = self._open_cycles[-1]
        return (
            len(self._open_cycles) == 1
            and (cycle.more_body or bool(cycle.body))
            and not cycle.response_started
        )

    def end_for_room(self) -> None:
        """Ends the connection, or what is received after a served request."""
        if self._is_stalled():
            self._has_ended = True
            self._unparsed = b""
            self.transport.abort()
            return
        is_unused = not self._open_cycles and not self._is_in_head
        self._unparsed = b""
        if is_unused:
            self._has_ended = True
            self.transport.close()
        else:
            self._reject(503, b"Service Unavailable", takes_whole=True)
            if not self._open_cycles:
                # its client may not read the answer either
                self.transport.set_write_buffer_limits(high=0)
        self._count_held()

    def _end_head(self) -> None:
        self._is_in_head = False
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self._is_in_head:
            self._reject(408, b"Request Timeout")

    def _reject(
        self, status: int, reason: bytes, *, takes_whole: bool = False
    ) -> None:
        """Ends a connection whose next bytes are no request to serve.

        The whole requests before them still get their answers.

        Args:
            status: The status of the answer.
            reason: Its reason phrase.
            takes_whole: Whether a whole request counts as incomplete too, if
                its application has not read its body.
        """
        self._end_head()
        self._has_ended = True
        self._unparsed = b""
        self._header_cost = 0
        self._count_held()
        if self.transport.is_closing():
            return
        has_begun_answer = self._drop_incomplete_request(
            takes_whole=takes_whole
        )
        if not takes_whole:
            _LOG.event(
                "head_rejected",
                status=status,
                bytes=self._head_bytes,
                open_requests=len(self._open_cycles),
            )
        if self._open_cycles:
            # closes the connection after the last answer
            self._open_cycles[-1].keep_alive = False
            return
        if not has_begun_answer:
            self.transport.write(_ERROR_RESPONSE % (status, reason))
        self.transport.close()

    def _drop_incomplete_request(self, *, takes_whole: bool) -> bool:
        """Takes back a request whose body is not read to its end.

        Returns:
            Whether a response to it has begun.
        """
        if not self._open_cycles:
            return False
        cycle = self._open_cycles[-1]
        if not cycle.more_body and not (takes_whole and cycle.body):
            return False
        self._open_cycles.pop()
        if self.pipeline and self.pipeline[0][0] is cycle:
            self.pipeline.popleft()
            self._release(cycle)
        cycle.disconnected = True
        cycle.message_event.set()
        return bool(cycle.response_started)


def _body_length(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Returns the length of a body, None if it comes in chunks."""
    length = 0
    for name, value in headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length" and value.isdigit():
            length = int(value)
    return length


def protocol_with_limits(
    limits: HeadLimits, held: held_bytes.HeldBytes
) -> type[HeadLimitProtocol]:
    """Returns a protocol class for a server with these limits."""
    return type(
        "BoundProtocol",
        (HeadLimitProtocol,),
        {"limits": limits, "held": held},
    )


__all__ = [
    "TARGET_EXTENSION",
    "HeadLimitProtocol",
    "HeadLimits",
    "protocol_with_limits",
]
