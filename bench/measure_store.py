"""Compares own records with sqlite3 under group commit."""

from __future__ import annotations

import asyncio
import concurrent.futures
import dataclasses
import pathlib
import shutil
import sqlite3
import statistics
import tempfile
import time
from typing import TYPE_CHECKING

from lycheering.store import entries
from lycheering.store import storage

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

WRITER_COUNTS = (1, 16, 64)
RECORD_BYTES = 300
DURATION_S = 2.0
DAMAGED_RECORDS = 100
MS_PER_S = 1_000
PERCENTILES = 100

_RECORD = b"x" * RECORD_BYTES


@dataclasses.dataclass
class Figures:
    """What one run gave.

    Attributes:
        kind: What was measured.
        writers: How many wrote at once.
        records_per_s: Records made durable each second.
        p50_ms: Median time of one record.
        p99_ms: Time that 99 of 100 records stayed under.
    """

    kind: str
    writers: int
    records_per_s: float
    p50_ms: float
    p99_ms: float

    def line(self) -> str:
        """Returns the figures as key=value pairs."""
        return (
            f"measure=store kind={self.kind} writers={self.writers}"
            f" records_per_s={self.records_per_s:.0f}"
            f" p50_ms={self.p50_ms:.2f} p99_ms={self.p99_ms:.2f}"
        )


class SqliteGroupCommit:
    """Records in a table; all that wait go into one transaction."""

    def __init__(self, path: pathlib.Path) -> None:
        self._thread = concurrent.futures.ThreadPoolExecutor(1)
        self._connection = sqlite3.connect(path, check_same_thread=False)
        self._connection.execute("PRAGMA journal_mode=WAL")
        self._connection.execute("PRAGMA synchronous=FULL")
        self._connection.execute("CREATE TABLE records (data BLOB)")
        self._waiting: list[asyncio.Future[None]] = []
        self._flush: asyncio.Task[None] | None = None

    async def append(self) -> None:
        """Makes one record durable."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(done)
        if self._flush is None:
            self._flush = asyncio.create_task(self._run())
        await done

    def close(self) -> None:
        """Closes the file."""
        self._thread.shutdown()
        self._connection.close()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting:
            waiting = self._waiting
            self._waiting = []
            await loop.run_in_executor(self._thread, self._write, len(waiting))
            for done in waiting:
                done.set_result(None)
        self._flush = None

    def _write(self, count: int) -> None:
        rows = [(_RECORD,)] * count
        with self._connection:
            self._connection.executemany("INSERT INTO records VALUES (?)", rows)


async def measure(
    kind: str, writers: int, append: Callable[[], Awaitable[None]]
) -> Figures:
    """Returns what so many writers reach, one record after another each."""
    times_ms: list[float] = []
    end = time.monotonic() + DURATION_S

    async def write() -> None:
        while (started := time.monotonic()) < end:
            await append()
            times_ms.append((time.monotonic() - started) * MS_PER_S)

    await asyncio.gather(*[write() for _ in range(writers)])
    cuts = statistics.quantiles(times_ms, n=PERCENTILES)
    rate = len(times_ms) / DURATION_S
    return Figures(kind, writers, rate, statistics.median(times_ms), cuts[-1])


async def measure_records(folder: pathlib.Path, writers: int) -> Figures:
    """Measures the own log."""
    store = storage.Storage(folder / f"records-{writers}")
    log = store.log

    async def append() -> None:
        index = log.last_index + 1
        kind = entries.EntryKind.COMMAND
        log.append(index, [entries.Entry(index, 0, kind, _RECORD)])
        await log.sync()

    figures = await measure("records", writers, append)
    await store.close()
    return figures


async def measure_sqlite(folder: pathlib.Path, writers: int) -> Figures:
    """Measures sqlite3."""
    store = SqliteGroupCommit(folder / f"sqlite-{writers}.db")
    figures = await measure("sqlite3", writers, store.append)
    store.close()
    return figures


async def run() -> list[Figures]:
    """Measures both with each count of writers."""
    found = []
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for writers in WRITER_COUNTS:
            found.append(await measure_records(folder, writers))
            found.append(await measure_sqlite(folder, writers))
    return found


def read_after_damage(folder: pathlib.Path) -> str:
    """Returns what sqlite3 makes of a changed byte amid its records."""
    path = folder / "whole.db"
    connection = sqlite3.connect(path)
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")
    connection.execute("CREATE TABLE records (data BLOB)")
    for _ in range(DAMAGED_RECORDS):
        with connection:
            connection.execute("INSERT INTO records VALUES (?)", (_RECORD,))
    copy = folder / "damaged.db"
    shutil.copy(path, copy)
    data = bytearray(pathlib.Path(f"{path}-wal").read_bytes())
    data[len(data) // 2] ^= 1
    pathlib.Path(f"{copy}-wal").write_bytes(data)
    connection.close()
    damaged = sqlite3.connect(copy)
    (left,) = damaged.execute("SELECT count(*) FROM records").fetchone()
    (verdict,) = damaged.execute("PRAGMA integrity_check").fetchone()
    damaged.close()
    return (
        f"measure=store_damage kind=sqlite3 committed={DAMAGED_RECORDS}"
        f" read_back={left} integrity_check={verdict}"
    )


def main() -> None:
    """Prints one line for each run."""
    with tempfile.TemporaryDirectory() as name:
        print(read_after_damage(pathlib.Path(name)), flush=True)
    for figures in asyncio.run(run()):
        print(figures.line(), flush=True)


if __name__ == "__main__":
    main()
