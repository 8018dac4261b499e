"""A TCP proxy that cuts, delays, trickles, silences, refuses and closes."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import threading

HOST = "127.0.0.1"
READ_BYTES = 65_536
RECHECK_S = 0.05  # so soon a shorter delay counts for bytes held back
QUEUED_READS = 256
TRICKLE_PAUSE_S = 0.02
START_TIMEOUT_S = 10
CALL_TIMEOUT_S = 10


class Direction(enum.Enum):
    """The way that bytes take through the proxy."""

    TO_TARGET = "to target"
    TO_CALLER = "to caller"


BOTH = (Direction.TO_TARGET, Direction.TO_CALLER)


@dataclasses.dataclass(frozen=True)
class Delayed:
    """Bytes and the time at which they came; none mean the end."""

    data: bytes
    came_s: float


class Connection:
    """One proxied connection.

    Attributes:
        is_silent: Whether all bytes are swallowed for good.
        swallowed_bytes: Number of bytes swallowed.
        held_bytes: Number of bytes that a cut or a delay holds back.
        writers: The open ends.
    """

    def __init__(self, caller: asyncio.StreamWriter) -> None:
        self.is_silent = False
        self.swallowed_bytes = 0
        self.held_bytes = 0
        self.writers = [caller]

    def abort(self) -> None:
        """Resets both ends."""
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """A proxy before one target, with faults that can change at any time.

    It runs on an event loop in a thread of its own, so that blocking test
    steps and event loops of the code under test leave it alone. A cut holds
    bytes back as a network partition does and hands them on when it is
    healed; a silence swallows them for good. Neither closes anything.

    Attributes:
        target_port: Port of the target, for connections from now on.
        port: Port that the proxy listens on.
    """

    def __init__(self, target_port: int, target_host: str = HOST) -> None:
        self.target_host = target_host
        self.target_port = target_port
        self.port = 0
        self._refuses = False
        self._delay_s = dict.fromkeys(Direction, 0.0)
        self._trickled_bytes = 0
        self._open_by_direction: dict[Direction, asyncio.Event] = {}
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> FaultProxy:
        self._thread.start()
        self._on_loop(self._listen())
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._on_loop(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)

    def cut(self, *directions: Direction) -> None:
        """Holds back all bytes of the directions; of both by default."""
        self._call(self._set_cut, directions or BOTH, True)

    def heal(self, *directions: Direction) -> None:
        """Ends a cut and hands on what was held back."""
        self._call(self._set_cut, directions or BOTH, False)

    def delay(self, delay_ms: float, *directions: Direction) -> None:
        """Delays all bytes of the directions, also those held back now."""
        for direction in directions or BOTH:
            self._delay_s[direction] = delay_ms / 1_000

    def trickle(self, size: int) -> None:
        """Hands on so many bytes at a time, with pauses; all for 0."""
        self._trickled_bytes = size

    def silence_open(self) -> int:
        """Swallows all bytes of the connections that are open now.

        Returns:
            Number of connections silenced.
        """
        return self._call(self._silence)

    def refuse_new(self, refuses: bool = True) -> None:
        """Resets every new connection at once, or stops doing so."""
        self._refuses = refuses

    def close_all(self) -> int:
        """Resets every open connection.

        Returns:
            Number of connections reset.
        """
        return self._call(self._abort_all)

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def swallowed_bytes(self) -> int:
        """Number of bytes swallowed on the open connections."""
        return sum(c.swallowed_bytes for c in list(self._connections))

    @property
    def held_bytes(self) -> int:
        """Number of bytes that cuts and delays hold back."""
        return sum(c.held_bytes for c in list(self._connections))

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        self._loop.close()

    def _on_loop(self, work):
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(CALL_TIMEOUT_S)

    def _call(self, function, *args):
        async def call():
            return function(*args)

        return self._on_loop(call())

    async def _listen(self) -> None:
        for direction in Direction:
            self._open_by_direction[direction] = asyncio.Event()
            self._open_by_direction[direction].set()
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _close(self) -> None:
        self._server.close()
        self._abort_all()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _set_cut(self, directions, is_cut: bool) -> None:
        for direction in directions:
            if is_cut:
                self._open_by_direction[direction].clear()
            else:
                self._open_by_direction[direction].set()

    def _silence(self) -> int:
        for connection in self._connections:
            connection.is_silent = True
        return len(self._connections)

    def _abort_all(self) -> int:
        count = len(self._connections)
        for connection in self._connections:
            connection.abort()
        return count

    async def _serve(self, caller_reader, caller_writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        connection = Connection(caller_writer)
        self._connections.add(connection)
        try:
            if not self._refuses:
                await self._forward(connection, caller_reader, caller_writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            connection.abort()
            self._connections.discard(connection)
            self._tasks.discard(task)

    async def _forward(self, connection, reader, writer) -> None:
        await self._open_by_direction[Direction.TO_TARGET].wait()
        target_reader, target_writer = await asyncio.open_connection(
            self.target_host, self.target_port
        )
        connection.writers.append(target_writer)
        async with asyncio.TaskGroup() as group:
            for direction, source, sink in (
                (Direction.TO_TARGET, reader, target_writer),
                (Direction.TO_CALLER, target_reader, writer),
            ):
                queue = asyncio.Queue(QUEUED_READS)
                group.create_task(
                    self._read(connection, direction, source, queue)
                )
                group.create_task(
                    self._write(connection, direction, queue, sink)
                )

    async def _read(self, connection, direction, source, queue) -> None:
        data = b"-"
        while data:
            try:
                data = await source.read(READ_BYTES)
            except OSError:
                data = b""
            connection.held_bytes += len(data)
            await queue.put(Delayed(data, self._loop.time()))

    async def _wait_due(self, direction, delayed) -> None:
        while True:
            due_s = delayed.came_s + self._delay_s[direction]
            left_s = due_s - self._loop.time()
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, RECHECK_S))

    async def _write(self, connection, direction, queue, sink) -> None:
        while True:
            delayed = await queue.get()
            await self._wait_due(direction, delayed)
            await self._open_by_direction[direction].wait()
            connection.held_bytes -= len(delayed.data)
            if connection.is_silent:
                connection.swallowed_bytes += len(delayed.data)
                if not delayed.data:
                    await asyncio.Event().wait()
                continue
            with contextlib.suppress(OSError):
                if not delayed.data:
                    sink.write_eof()
                    return
                await self._hand_on(delayed.data, sink)

    async def _hand_on(self, data, sink) -> None:
        while data:
            size = self._trickled_bytes or len(data)
            sink.write(data[:size])
            await sink.drain()
            data = data[size:]
            if data:
                await asyncio.sleep(TRICKLE_PAUSE_S)


__all__ = ["BOTH", "Direction", "FaultProxy"]
