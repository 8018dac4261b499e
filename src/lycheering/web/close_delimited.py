"""Responses whose body ends with the connection."""

from __future__ import annotations

import socket
import struct
import sys
from typing import TYPE_CHECKING

from lycheering.web import byte_stream

if TYPE_CHECKING:
    from uvicorn.protocols.http import httptools_impl

# Key of the body in the extensions of an ASGI scope.
EXTENSION = "lycheering.close_delimited"

_FLUSH_ON_CLOSE = struct.pack("ii", 0, 0)


class CloseDelimitedBody:
    """Ends a response by closing its connection, without a length or chunks.

    A proxy uses it for an answer that it received in this form: chunks would
    tell its caller that the answer is complete, which the proxy doesn't know.
    Until the body is finished, any end of the connection is a reset, also if
    the process is killed.
    """

    def __init__(self, cycle: httptools_impl.RequestResponseCycle) -> None:
        """Wraps a response that has not begun.

        Args:
            cycle: The server's record of the request and its response.
        """
        self._cycle = cycle

    def begin(self) -> None:
        """Chooses this form; called before the headers are sent."""
        self._cycle.keep_alive = False
        self._cycle.chunked_encoding = False
        self._cycle.expected_content_length = sys.maxsize
        # each further part waits until the one before is with the kernel
        self._cycle.transport.set_write_buffer_limits(high=0)
        self._set_linger(byte_stream.RESET_ON_CLOSE)

    def finish(self) -> None:
        """Lets the connection end normally.

        Called before the last part, which is empty, and after another empty
        part, so that no data is left that a kill of the process would lose.
        """
        self._cycle.expected_content_length = 0
        self._set_linger(_FLUSH_ON_CLOSE)

    def _set_linger(self, option: bytes) -> None:
        connection = self._cycle.transport.get_extra_info("socket")
        if connection is not None and connection.fileno() >= 0:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


__all__ = ["EXTENSION", "CloseDelimitedBody"]
