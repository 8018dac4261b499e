"""Callers in a thread of their own, who resend as patient callers do."""

from __future__ import annotations

import asyncio
import dataclasses
import threading
import urllib.parse

import msgspec

from bench.load import client
from bench.load import driver
from bench.traces import calls

IDLE_S = 6.0
POLL_S = 0.005
PAUSE_MS = 100
JOIN_S = 60
DEADLINE_MS = 25_000


@dataclasses.dataclass(frozen=True)
class FixedCall(calls.Call):
    """A call whose answer is the same in every run."""

    def body(self):
        body = msgspec.json.decode(super().body()) | {"temperature": 0}
        return msgspec.json.encode(body)


def fixed(call):
    """Returns the same call with an answer that is the same in every run."""
    names = [field.name for field in dataclasses.fields(call)]
    return FixedCall(**{name: getattr(call, name) for name in names})


class HalfWriter:
    """Sends half of the first request, and the rest once a gate opens."""

    def __init__(self, writer, gate, count_half):
        self._writer = writer
        self._gate = gate
        self._count_half = count_half
        self._rest = b""

    def __getattr__(self, name):
        return getattr(self._writer, name)

    def write(self, data):
        middle = len(data) // 2
        self._writer.write(data[:middle])
        self._rest = data[middle:]

    async def drain(self):
        await self._writer.drain()
        self._count_half()
        while not self._gate.is_set():
            await asyncio.sleep(POLL_S)
        self._writer.write(self._rest)
        await self._writer.drain()


class IdleReader:
    """Takes a connection on which nothing comes for reset."""

    def __init__(self, reader):
        self._reader = reader

    def at_eof(self):
        return self._reader.at_eof()

    async def read(self, count):
        try:
            async with asyncio.timeout(IDLE_S):
                return await self._reader.read(count)
        except TimeoutError as error:
            raise ConnectionResetError("nothing came") from error


class IdleClient(client.Client):
    """Gives up connections that are silent."""

    def __init__(self, gate, count_half):
        super().__init__()
        self._gate = gate
        self._count_half = count_half

    async def _connect(self, address):
        connection = await super()._connect(address)
        writer = connection.writer
        if self._gate is not None and not self._gate.is_set():
            writer = HalfWriter(writer, self._gate, self._count_half)
        return client.Connection(IdleReader(connection.reader), writer)


class PatientDriver(driver.Driver):
    """Resends to the next entry until an answer comes or time is up."""

    def __init__(self, entries, key_by_team, held_client):
        super().__init__(entries, key_by_team)
        self.client = held_client

    async def _send_until_answered(self, record):
        first = self._calls
        self._calls += 1
        while True:
            number = len(record.attempts)
            attempt = driver.Attempt(f"{record.call.call_id}-{number}")
            record.attempts.append(attempt)
            entry = self.entries[(first + number) % len(self.entries)]
            try:
                await self._send(record, attempt, entry)
            except OSError as error:
                attempt.failure = str(error) or type(error).__name__
            except msgspec.DecodeError as error:
                attempt.failure = f"unreadable answer: {error}"
                return
            if attempt.error is None and not attempt.failure:
                return
            if not record.call.is_repeatable and not may_resend(attempt):
                return
            pause_ms = attempt.error and attempt.error.retry_after_ms
            await self.clock.sleep(max(PAUSE_MS, pause_ms or 0))


def may_resend(attempt):
    """Returns whether an order's caller learns more by sending it again."""
    error = attempt.error
    return bool(attempt.failure) or error.not_run or bool(error.retry_after_ms)


class Callers:
    """The callers of one trace.

    Attributes:
        records: What they saw, once they have ended.
        ids: The ids of their calls.
        halves: Number of requests of which half was sent.
    """

    def __init__(self, fleet, trace, gate=None):
        self.trace = trace
        self.records = []
        self.halves = 0
        self.ids = {call.call_id for call in trace}
        self._fleet = fleet
        self._gate = gate
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()
        return self

    @property
    def running(self):
        return self._thread.is_alive()

    def finish(self):
        """Returns what the callers saw once all have ended."""
        self._thread.join(JOIN_S)
        assert not self.running, "callers still wait"
        return self.records

    def _count_half(self):
        self.halves += 1

    def _run(self):
        entries = []
        for url in self._fleet.entry_urls:
            parts = urllib.parse.urlsplit(url)
            entries.append(client.Address(parts.hostname, parts.port))
        held_client = IdleClient(self._gate, self._count_half)
        callers = PatientDriver(entries, self._fleet.key_by_team, held_client)
        self.records = asyncio.run(callers.run(self.trace))


def completions(name, count, teams, tokens, pieces, level=""):
    """Returns calls that are due at once; every other may be continued."""
    return [
        (FixedCall if number % 2 else calls.Call)(
            call_id=f"{name}-{number}",
            at_ms=0,
            team=teams[number % len(teams)],
            priority_class="check",
            deadline_ms=DEADLINE_MS,
            model="drafting",
            levels=(calls.Level(level or f"{name}-{number}", pieces),),
            tail=f"{name} {number}",
            is_chat=number % 3 == 0,
            max_tokens=tokens,
        )
        for number in range(count)
    ]


def orders(name, count, teams, service):
    """Returns calls of a service that may run at most once."""
    return [
        calls.Call(
            call_id=f"{name}-{number}",
            at_ms=0,
            team=teams[number % len(teams)],
            priority_class="check",
            deadline_ms=DEADLINE_MS,
            tail=f"{name} {number}",
            service=service,
            service_path="/orders",
            is_repeatable=False,
        )
        for number in range(count)
    ]


__all__ = ["Callers", "completions", "fixed", "orders"]
