"""Bounds what all HTTP clients of a process make it hold."""

from __future__ import annotations

import abc
import ctypes
import math
import pathlib
import resource
from typing import TYPE_CHECKING

from lycheering.telemetry import logs
from lycheering.telemetry import rate_limited_warning

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock
    from lycheering.settings import model
    from lycheering.telemetry import counters

MEMORY_FILE = pathlib.Path("/proc/meminfo")
CONTROL_GROUPS_FILE = pathlib.Path("/proc/self/cgroup")
CONTROL_GROUPS_FOLDER = pathlib.Path("/sys/fs/cgroup")
BYTES_PER_KB = 1_024
# of the memory that the process may use, if the settings name no limit
MEMORY_SHARE = 0.25
DEFAULT_MEMORY_BYTES = 1_073_741_824
# of the descriptors; targets, peers and files need the others
DESCRIPTOR_SHARE = 0.5
MAX_CONNECTIONS = 100_000
# Connections are ended until this fraction of the limit is left, so that the
# choice, which looks at all of them, is seldom made.
ROOM_SHARE = 0.75
# Freed memory is given back to the system once so little of the limit is held
# after more than `ROOM_SHARE` was.
RETURN_SHARE = 0.1

_LOG = logs.get("web")


class HeldConnection(abc.ABC):
    """A connection of a client, as far as a choice among them needs.

    Attributes:
        held_bytes: Bytes of memory that it takes; set by `HeldBytes`.
        since_s: Time at which what it holds began to arrive, in seconds of
            the event loop.
        has_finished_request: Whether a request of it was answered.
    """

    held_bytes: int = 0
    since_s: float = 0.0
    has_finished_request: bool = False

    @abc.abstractmethod
    def may_end(self) -> bool:
        """Returns whether nothing would be lost with it that is being served.

        Requests that are not whole are not lost: their clients are told that
        they were not run.
        """

    @abc.abstractmethod
    def may_drop(self) -> bool:
        """Returns whether it may end, or holds what is not being served."""

    @abc.abstractmethod
    def end_for_room(self) -> None:
        """Ends it, or drops what is not being served."""


class HeldBytes:
    """The bytes and connections of all HTTP clients of one process.

    When there are too many, the connections that gave least for what they
    hold are ended: those whose incomplete requests hold the most bytes for
    the longest time. Requests that are being served are never ended for
    others; while they fill the limit, new requests are refused.

    Attributes:
        max_bytes: Bytes that may be held.
        max_connections: Connections that may be open.
        total_bytes: Bytes that are held.
    """

    def __init__(
        self,
        max_bytes: float = math.inf,
        max_connections: float = math.inf,
        counts: counters.Counters | None = None,
        time: clock.Clock | None = None,
    ) -> None:
        """Creates the bounds; without arguments there are none.

        Args:
            max_bytes: Bytes that may be held.
            max_connections: Connections that may be open.
            counts: The counters of the process.
            time: The clock of the log's warnings.
        """
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.total_bytes = 0
        self._connections: set[HeldConnection] = set()
        self._counters = counts
        self._has_peaked = False
        self._warning = rate_limited_warning.RateLimitedWarning(
            _LOG, "clients_ended", time
        )

    @property
    def is_full(self) -> bool:
        """Whether more is held than may be."""
        return self.total_bytes > self.max_bytes

    def add(self, connection: HeldConnection, now_s: float) -> None:
        """Adds a new connection, for which another one may be ended.

        Args:
            connection: The connection.
            now_s: Time of the event loop.
        """
        self._connections.add(connection)
        if len(self._connections) <= self.max_connections:
            return
        ended = max(
            (
                other
                for other in self._connections
                if other is not connection and other.may_end()
            ),
            key=lambda other: _rank_by_use(other, now_s),
            default=connection,
        )
        self._end(ended, "connections")
        # its transport tells of the end only later
        self.remove(ended)

    def remove(self, connection: HeldConnection) -> None:
        """Removes a connection that has ended, with all that it held."""
        self.set_held(connection, 0)
        self._connections.discard(connection)

    def set_held(self, connection: HeldConnection, held_bytes: int) -> None:
        """Notes how many bytes a connection holds."""
        self.total_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        if self.total_bytes > ROOM_SHARE * self.max_bytes:
            self._has_peaked = True
        elif self._has_peaked and (
            self.total_bytes < RETURN_SHARE * self.max_bytes
        ):
            self._has_peaked = False
            return_freed_memory()

    def make_room(self, now_s: float) -> None:
        """Ends connections if more is held than may be.

        A request that is the only one, and inside all other limits, is served
        whatever it takes.

        Args:
            now_s: Time of the event loop.
        """
        if not self.is_full:
            return
        enough_bytes = ROOM_SHARE * self.max_bytes
        candidates = [
            connection
            for connection in self._connections
            if connection.held_bytes and connection.may_drop()
        ]
        candidates.sort(key=lambda other: _byte_seconds(other, now_s))
        while candidates and self.total_bytes > enough_bytes:
            ended = candidates.pop()
            if ended.held_bytes < self.total_bytes:
                self._end(ended, "bytes")
            else:
                return

    def _end(self, connection: HeldConnection, cause: str) -> None:
        held_bytes = connection.held_bytes
        connection.end_for_room()
        if self._counters is not None:
            self._counters.increment(f"web.clients_ended.{cause}")
        self._warning.warn(
            cause=cause,
            bytes=held_bytes,
            held_bytes=self.total_bytes,
            connections=len(self._connections),
        )


def _byte_seconds(connection: HeldConnection, now_s: float) -> float:
    """Returns a measure of what a connection takes from others."""
    # bytes that have just arrived count too
    age_s = max(0.0, now_s - connection.since_s) + 0.01
    return connection.held_bytes * age_s


def _rank_by_use(
    connection: HeldConnection, now_s: float
) -> tuple[bool, float]:
    """Returns what orders connections, those to end first last."""
    return (
        not connection.has_finished_request,
        now_s - connection.since_s,
    )


def return_freed_memory() -> None:
    """Gives freed memory back to the system.

    The C library keeps it otherwise, as memory that is in use lies behind it.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


def machine_memory_bytes(lines: Iterable[str] | None = None) -> int:
    """Returns the memory of the machine.

    Args:
        lines: What the kernel says of it; by default, it is asked.
    """
    if lines is None:
        try:
            lines = MEMORY_FILE.read_text().splitlines()
        except OSError:
            return DEFAULT_MEMORY_BYTES
    for line in lines:
        name, _, value = line.partition(":")
        size = value.split()
        if name == "MemTotal" and size and size[0].isdigit():
            return int(size[0]) * BYTES_PER_KB
    return DEFAULT_MEMORY_BYTES


def control_group_memory_bytes(
    groups_file: pathlib.Path = CONTROL_GROUPS_FILE,
    folder: pathlib.Path = CONTROL_GROUPS_FOLDER,
) -> float:
    """Returns the memory that the process's control groups may use.

    The smallest limit of a group and those that it is in applies; infinite
    without a limit.

    Args:
        groups_file: Names the control groups of the process.
        folder: Where control groups are mounted.
    """
    try:
        lines = groups_file.read_text().splitlines()
    except OSError:
        return math.inf
    limit = math.inf
    for line in lines:
        hierarchy, _, controllers_and_path = line.partition(":")
        controllers, colon, path = controllers_and_path.partition(":")
        if hierarchy == "0" and colon and not controllers:
            mounted, name = folder, "memory.max"
        elif "memory" in controllers.split(","):
            mounted, name = folder / "memory", "memory.limit_in_bytes"
        else:
            continue
        group = pathlib.PurePosixPath(path.lstrip("/"))
        if ".." in group.parts:
            # the group is outside of what is mounted
            group = pathlib.PurePosixPath()
        for part in (group, *group.parents):
            limit = min(limit, _read_limit(mounted / part / name))
    return limit


def _read_limit(file: pathlib.Path) -> float:
    try:
        text = file.read_text().strip()
    except (OSError, UnicodeDecodeError):
        return math.inf
    return int(text) if text.isdecimal() and int(text) else math.inf


def max_descriptors() -> float:
    """Returns how many descriptors the process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return math.inf if limit == resource.RLIM_INFINITY else limit


def from_settings(
    settings: model.WebSettings,
    counts: counters.Counters,
    time: clock.Clock,
) -> HeldBytes:
    """Returns the bounds of a process.

    Args:
        settings: The settings; what is 0 there follows from the machine and
            the control groups of the process.
        counts: The counters of the process.
        time: The clock.
    """
    memory_bytes = min(machine_memory_bytes(), control_group_memory_bytes())
    max_bytes = settings.max_held_bytes or int(MEMORY_SHARE * memory_bytes)
    max_connections = settings.max_connections or min(
        MAX_CONNECTIONS, DESCRIPTOR_SHARE * max_descriptors()
    )
    return HeldBytes(max_bytes, max_connections, counts, time)


__all__ = [
    "HeldBytes",
    "HeldConnection",
    "control_group_memory_bytes",
    "from_settings",
    "machine_memory_bytes",
    "max_descriptors",
    "return_freed_memory",
]
