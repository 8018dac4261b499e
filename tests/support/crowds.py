"""Crowds of clients that misbehave, and what a process takes under them.

The crowds and the bounds are fixed here. The limits of the processes are
lowered, so that a small crowd exceeds them.
"""

from __future__ import annotations

import contextlib
import os
import pathlib
import socket
import threading
import time

from lycheering.settings import model
from tests.soak import direct_fleet

CROWD = 60
MANY_CONNECTIONS = 400
MAX_BODY_BYTES = 1_048_576
MAX_HELD_BYTES = 4_194_304
MAX_CONNECTIONS = 100
# above what the process took before the crowd came
MAX_GROWTH_BYTES = 33_554_432
MAX_MORE_DESCRIPTORS = MAX_CONNECTIONS + 40
LACKING_BYTES = 10
FIELDS = 1_800
REQUESTS_OF_FIELDS = 20
REQUESTS_AHEAD = 4_000
ENDLESS_HEAD_BYTES = 200_000
ONE_BYTE_CHUNKS = 150_000
SMALL_PIECE_BYTES = 2_048
CHUNK_BYTES = 16_384
OVERSIZE_FACTOR = 8
# a crowd that is held up is not waited for any longer
SENDING_S = 6.0
SEND_TIMEOUT_S = 3.0
DOZE_S = 0.5
ID_FIELD = b"X-Attempt-Id: crowd\r\n"
KEY_FIELD = f"Authorization: Bearer {direct_fleet.KEY}\r\n".encode()


def lowered_settings():
    """Returns the sections that lower the limits of a process."""
    if "web" not in model.SECTION_TYPE_BY_NAME:
        return {}
    return {
        "web": {
            "max_held_bytes": MAX_HELD_BYTES,
            "max_connections": MAX_CONNECTIONS,
        }
    }


def head(line, *fields):
    """Returns the head of a request, without the empty line at its end."""
    host = f"Host: {direct_fleet.HOST_NAME}\r\n".encode()
    return b"".join([line, b" HTTP/1.1\r\n", host, *fields])


def bodies(line, *fields):
    """Returns most of a body of legal size."""
    length = b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
    sent = b"x" * (MAX_BODY_BYTES - LACKING_BYTES)
    return [head(line, *fields, length) + sent]


def bodies_in_pieces(line, *fields):
    """Returns the same in small pieces."""
    (data,) = bodies(line, *fields)
    return [
        data[first : first + SMALL_PIECE_BYTES]
        for first in range(0, len(data), SMALL_PIECE_BYTES)
    ]


def chunked_bodies(line, *fields):
    """Returns chunks of a body of legal size without the last ones."""
    start = head(line, *fields, b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    return [start, chunk * (MAX_BODY_BYTES // CHUNK_BYTES - 1)]


def one_byte_chunks(line, *fields):
    """Returns chunks of one byte each without the last one."""
    start = head(line, *fields, b"Transfer-Encoding: chunked\r\n\r\n")
    return [start, b"1\r\nx\r\n" * ONE_BYTE_CHUNKS]


def oversize_bodies(line, *fields):
    """Returns a body that is far over the limit."""
    size = OVERSIZE_FACTOR * MAX_BODY_BYTES
    return [
        head(line, *fields, b"Content-Length: %d\r\n\r\n" % size),
        b"x" * (size - LACKING_BYTES),
    ]


def oversize_chunked_bodies(line, *fields):
    """Returns chunks of a body that is far over the limit."""
    start = head(line, *fields, b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    return [start, chunk * (OVERSIZE_FACTOR * MAX_BODY_BYTES // CHUNK_BYTES)]


def short_fields(line, *fields):
    """Returns requests of legal size with very many fields."""
    more = b"a: b\r\n" * FIELDS
    return [head(line, *fields, more, b"\r\n") * REQUESTS_OF_FIELDS]


def requests_ahead(line, *fields):
    """Returns requests whose answers are not read."""
    return [head(line, *fields, b"\r\n") * REQUESTS_AHEAD]


def endless_heads(line, *fields):
    """Returns a head without an end."""
    return [head(line, *fields, b"X-Long: ", b"x" * ENDLESS_HEAD_BYTES)]


def half_heads(line, *fields):
    """Returns the first part of a head."""
    return [head(line, *fields)]


def half_bodies(line, *fields):
    """Returns a small body without its end."""
    return [head(line, *fields, b"Content-Length: 20\r\n\r\n"), b"x"]


def frames(line, *fields):
    """Returns most of a frame of the inner protocol, after its greeting."""
    greeting = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(16 + 1 + 31)
    ready = b"\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
    size = MAX_BODY_BYTES.to_bytes(8, "big")
    frame = b"\x02" + size + b"x" * (MAX_BODY_BYTES - LACKING_BYTES)
    return [greeting, b"\x04%c" % len(ready) + ready, frame]


def nothing(line, *fields):
    """Returns nothing to send."""
    return []


# at doors that do not speak HTTP
INNER_PIECES_BY_FORM = {"frames short of their end": frames}
PIECES_BY_FORM = {
    "bodies short of their end": bodies,
    "bodies in small pieces": bodies_in_pieces,
    "chunked bodies": chunked_bodies,
    "one-byte chunks": one_byte_chunks,
    "bodies far over the limit": oversize_bodies,
    "chunks far over the limit": oversize_chunked_bodies,
    "many short fields": short_fields,
    "requests ahead": requests_ahead,
    "heads without end": endless_heads,
    "half heads": half_heads,
    "half bodies": half_bodies,
    "nothing": nothing,
}
FEW_BYTES = frozenset({"half heads", "half bodies", "nothing"})


class Crowd:
    """Clients that send the same bytes at once, read nothing and stay."""

    def __init__(self, address, pieces, count):
        """Connects the clients and starts to send.

        Args:
            address: Host and port of the door.
            pieces: What each of them sends.
            count: Their number.
        """
        self._pieces = pieces
        self._address = address
        self._connections = []
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._send, daemon=True)
            for _ in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def _send(self):
        # a client that is refused or closed is a client that was handled
        with contextlib.suppress(OSError):
            connection = socket.create_connection(self._address, SEND_TIMEOUT_S)
            with self._lock:
                self._connections.append(connection)
            for piece in self._pieces:
                connection.sendall(piece)

    def wait_sent(self):
        """Waits until all have sent what is taken from them."""
        end = time.monotonic() + SENDING_S
        for thread in self._threads:
            thread.join(max(0.0, end - time.monotonic()))
        # what was sent last may not be handled yet
        time.sleep(DOZE_S)

    def close(self):
        with self._lock:
            for connection in self._connections:
                connection.close()
        for thread in self._threads:
            thread.join()


class Usage:
    """What a process takes while crowds come."""

    def __init__(self, process):
        self._process = process
        self._folder = pathlib.Path(f"/proc/{process.pid}")
        self._first_pid = process.pid
        # makes the kernel count the peak from now on
        (self._folder / "clear_refs").write_text("5")
        self._first_bytes = self._peak_bytes()
        self._first_descriptors = self._descriptors()
        self._most_descriptors = self._first_descriptors

    def _peak_bytes(self):
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1_024
        raise AssertionError("the kernel counts no peak")

    def _descriptors(self):
        return len(os.listdir(self._folder / "fd"))

    def sample(self):
        """Counts the descriptors while a crowd is there."""
        self._most_descriptors = max(
            self._most_descriptors, self._descriptors()
        )

    def findings(self):
        """Returns what may not be."""
        if not self._process.running:
            return ["the process ended"]
        findings = []
        grown = self._peak_bytes() - self._first_bytes
        if grown > MAX_GROWTH_BYTES:
            findings.append(f"the process grew by {grown >> 20} MB")
        more = self._most_descriptors - self._first_descriptors
        if more > MAX_MORE_DESCRIPTORS:
            findings.append(f"the process has {more} more descriptors")
        return findings


__all__ = [
    "CROWD",
    "FEW_BYTES",
    "ID_FIELD",
    "INNER_PIECES_BY_FORM",
    "KEY_FIELD",
    "MANY_CONNECTIONS",
    "MAX_BODY_BYTES",
    "PIECES_BY_FORM",
    "Crowd",
    "Usage",
    "lowered_settings",
]
