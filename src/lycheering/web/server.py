"""Serves an application as a part with a life cycle."""

from __future__ import annotations

import asyncio
import logging
import socket as sockets
from typing import TYPE_CHECKING
from typing import Any

import uvicorn

from lycheering.app import api as app_api
from lycheering.telemetry import logs
from lycheering.web import guarded_protocol
from lycheering.web import keepalive

if TYPE_CHECKING:
    from lycheering.web import asgi

BACKLOG = 2_048
START_POLL_MS = 5
STOP_TIMEOUT_S = 5

_LOG = logs.get("web")


def listen(ip: str, port: int) -> sockets.socket:
    """Returns a listening socket whose connections notice dead peers."""
    family = sockets.AF_INET6 if ":" in ip else sockets.AF_INET
    listener = sockets.create_server((ip, port), family=family, backlog=BACKLOG)
    keepalive.notice_dead_peers(listener, keepalive.CALLER_PROBES)
    return listener


class _EmbeddedServer(uvicorn.Server):
    """A server whose signals are the application's to handle."""

    def install_signal_handlers(self) -> None:
        """Installs none."""


class WebServer(app_api.Part):
    """An HTTP server on one port.

    Attributes:
        port: The port listened on, once started.
    """

    def __init__(
        self,
        application: asgi.AsgiApplication,
        ip: str,
        port: int,
        limits: guarded_protocol.HeadLimits | None = None,
    ) -> None:
        """Prepares the server.

        Args:
            application: What it serves.
            ip: The IP number to listen on.
            port: The port; 0 takes any free one.
            limits: Bounds on request heads and idle connections, if any.
        """
        self.port = port
        self._limits = limits
        self._application = application
        self._ip = ip
        self._server: _EmbeddedServer | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Binds the port and begins to serve."""
        await self._application.start()
        listener = listen(self._ip, self.port)
        self.port = listener.getsockname()[1]
        config = uvicorn.Config(
            self._application,
            loop="asyncio",
            http=self._protocol(),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_graceful_shutdown=STOP_TIMEOUT_S,
        )
        # what it says of an answer that is cut on purpose is logged already
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        server = _EmbeddedServer(config)
        self._server = server
        self._task = asyncio.create_task(
            # the inner call, since the outer one takes over the signals
            server._serve(sockets=[listener]),
            name="web",
        )
        while not server.started and not self._task.done():
            await asyncio.sleep(START_POLL_MS / 1_000)
        _LOG.event("serving_http", ip=self._ip, port=self.port)

    def end_connections(self) -> None:
        """Closes idle connections, and the others after their answer.

        One whose next request is on its way is left for the next time.
        """
        for connection in self._guarded():
            if not connection.awaits_request:
                connection.shutdown()

    def awaits_requests(self) -> bool:
        """Returns whether a request is on its way on some connection."""
        return any(connection.awaits_request for connection in self._guarded())

    def _guarded(self) -> list[guarded_protocol.GuardedProtocol]:
        if self._server is None:
            return []
        return [
            connection
            for connection in list(self._server.server_state.connections)
            if isinstance(connection, guarded_protocol.GuardedProtocol)
        ]

    def stop_accepting(self) -> None:
        """Takes no more connections."""
        if self._server is not None:
            for listener in self._server.servers:
                listener.close()

    def _protocol(self) -> Any:
        if self._limits is None:
            return "httptools"
        return guarded_protocol.protocol_with(self._limits)

    async def stop(self) -> None:
        """Ends the server after its open answers."""
        if self._server is not None and self._task is not None:
            self._server.should_exit = True
            await self._task
        await self._application.stop()


__all__ = ["WebServer", "listen"]
