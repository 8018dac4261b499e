"""HTTP server that is started and stopped as part of an application."""

from __future__ import annotations

import asyncio
import logging
import socket as sockets
from typing import TYPE_CHECKING

import uvicorn

from lycheering.app import api as app_api
from lycheering.telemetry import logs
from lycheering.web import head_limits
from lycheering.web import held_bytes
from lycheering.web import keepalive

if TYPE_CHECKING:
    from lycheering.web import asgi

BACKLOG = 2_048
START_POLL_MS = 5
STOP_TIMEOUT_S = 5

_LOG = logs.get("web")


def listen(ip: str, port: int) -> sockets.socket:
    """Returns a listening socket with keep-alive for its connections."""
    family = sockets.AF_INET6 if ":" in ip else sockets.AF_INET
    listener = sockets.create_server((ip, port), family=family, backlog=BACKLOG)
    keepalive.configure(listener, keepalive.CALLER_KEEPALIVE)
    return listener


class _EmbeddedServer(uvicorn.Server):
    """A server that leaves signal handling to the application."""

    def install_signal_handlers(self) -> None:
        """Does nothing; the application handles signals."""


class WebServer(app_api.Part):
    """An HTTP server on one port.

    Attributes:
        port: The port; once started, the one that is listened on.
    """

    def __init__(
        self,
        application: asgi.AsgiApplication,
        ip: str,
        port: int,
        limits: head_limits.HeadLimits | None = None,
        held: held_bytes.HeldBytes | None = None,
    ) -> None:
        """Creates the server.

        Args:
            application: The application that handles the requests.
            ip: The IP address to listen on.
            port: The port; 0 selects any free one.
            limits: Limits on request headers and idle connections; by default
                those of `HeadLimits`.
            held: Bounds what all clients of the process take; by default,
                nothing does.
        """
        self.port = port
        self._limits = limits or head_limits.HeadLimits()
        self._held = held or held_bytes.HeldBytes()
        self._application = application
        self._ip = ip
        self._server: _EmbeddedServer | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Binds the port and starts to serve requests."""
        await self._application.start()
        listener = listen(self._ip, self.port)
        self.port = listener.getsockname()[1]
        config = uvicorn.Config(
            self._application,
            loop="asyncio",
            http=head_limits.protocol_with_limits(self._limits, self._held),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_graceful_shutdown=STOP_TIMEOUT_S,
        )
        # Responses that are aborted on purpose are logged elsewhere already.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        server = _EmbeddedServer(config)
        self._server = server
        self._task = asyncio.create_task(
            # serve() would replace the signal handlers, hence the inner call.
            server._serve(sockets=[listener]),
            name="web",
        )
        while not server.started and not self._task.done():
            await asyncio.sleep(START_POLL_MS / 1_000)
        _LOG.event("serving_http", ip=self._ip, port=self.port)

    def close_connections(self) -> None:
        """Closes idle connections, and active ones after their response.

        A connection that is receiving a request is skipped; call this again
        to close it.
        """
        for connection in self._limited_connections():
            if not connection.is_request_arriving:
                connection.shutdown()

    def is_any_request_arriving(self) -> bool:
        """Returns whether any connection is receiving a request."""
        return any(
            connection.is_request_arriving
            for connection in self._limited_connections()
        )

    def open_requests(self) -> int:
        """Returns how many requests are begun and not answered."""
        return sum(
            connection.open_requests
            for connection in self._limited_connections()
        )

    def _limited_connections(self) -> list[head_limits.HeadLimitProtocol]:
        if self._server is None:
            return []
        return [
            connection
            for connection in list(self._server.server_state.connections)
            if isinstance(connection, head_limits.HeadLimitProtocol)
        ]

    def stop_accepting(self) -> None:
        """Closes the listening sockets; open connections stay."""
        if self._server is not None:
            for listener in self._server.servers:
                listener.close()

    async def stop(self) -> None:
        """Stops the server; open responses have some seconds to end."""
        if self._server is not None and self._task is not None:
            self._server.should_exit = True
            await self._task
        await self._application.stop()


__all__ = ["WebServer", "listen"]
