"""Runs one stand-in's HTTP application until it is told to stop."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from typing import TYPE_CHECKING
from typing import Any

import blacksheep
import msgspec
import uvicorn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    Handler = Callable[[blacksheep.Request], Awaitable[blacksheep.Response]]

HOST = "127.0.0.1"
LISTEN_BACKLOG = 2_048
STOP_GRACE_S = 1
JSON_TYPE = b"application/json"


class StandInServer(uvicorn.Server):
    """A server that reports its port and stops on the first signal.

    Attributes:
        sock: The listening socket.
        on_ready: Called with the port once connections are served.
    """

    def __init__(
        self,
        app: blacksheep.Application,
        port: int = 0,
        on_ready: Callable[[int], None] | None = None,
    ) -> None:
        super().__init__(
            uvicorn.Config(
                ReceiveInScope(app),
                loop="asyncio",
                http="httptools",
                ws="none",
                lifespan="on",
                log_level="critical",
                access_log=False,
                timeout_keep_alive=60,
                timeout_graceful_shutdown=STOP_GRACE_S,
            )
        )
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # asyncio sets it only on sockets whose protocol number is not 0
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.bind((HOST, port))
        self.sock.listen(LISTEN_BACKLOG)
        self.on_ready = on_ready

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self.sock.getsockname()[1])

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts serving and reports the port."""
        port = self.port
        await super().startup(sockets)
        if self.on_ready is not None:
            self.on_ready(port)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Turns the stop signals into a clean exit."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            # only the main thread may install signal handlers
            with contextlib.suppress(RuntimeError, ValueError):
                loop.add_signal_handler(number, self.stop)
        yield

    def stop(self) -> None:
        """Asks the server to finish open requests and return."""
        self.should_exit = True

    async def run_until_stopped(self) -> None:
        """Serves until `stop` is called."""
        await self.serve([self.sock])


class Disconnect:
    """Tells when the client of one request has gone."""

    def __init__(self, request: blacksheep.Request) -> None:
        scope: dict[str, Any] = dict(request.scope)
        self.receive = scope["receive"]

    async def wait(self) -> None:
        """Returns once the client has closed its connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


class ReceiveInScope:
    """An ASGI application that puts `receive` where handlers find it."""

    def __init__(self, app: Any) -> None:
        self.app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handles one ASGI connection."""
        if scope["type"] == "http":
            scope["receive"] = receive
        await self.app(scope, receive, send)


def new_application() -> blacksheep.Application:
    """Returns an application that shares no routes with another one."""
    return blacksheep.Application(router=blacksheep.Router())


def add_route(
    app: blacksheep.Application, method: str, path: str, handler: Handler
) -> None:
    """Adds a route to a bound method.

    Args:
        app: The application.
        method: The HTTP method.
        path: The path with its variable parts in braces.
        handler: Handles the requests.
    """
    app.router.add(method, path, as_function(handler))


def as_function(handler: Handler) -> Handler:
    """Wraps a bound method, as the library marks handlers by attribute."""

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        return await handler(request)

    return handle


def run(app: blacksheep.Application, port: int) -> None:
    """Serves an application until SIGTERM or SIGINT.

    Args:
        app: The application to serve.
        port: The port to listen on; 0 lets the system choose.
    """
    server = StandInServer(app, port, print_ready)
    asyncio.run(server.run_until_stopped())


def print_ready(port: int) -> None:
    """Prints the line that tells the starter where to connect."""
    print(f"ready port={port}", flush=True)


def json_response(value: object, status: int = 200) -> blacksheep.Response:
    """Returns a response with a JSON body."""
    body = msgspec.json.encode(value)
    return blacksheep.Response(
        status, None, blacksheep.Content(JSON_TYPE, body)
    )


def error_response(status: int, code: str, message: str) -> blacksheep.Response:
    """Returns an error in the shape that model engines use."""
    error = {"code": code, "message": message}
    return json_response({"error": error}, status)


def stream_response(
    content_type: bytes,
    headers: list[tuple[bytes, bytes]],
    chunks: Callable[[], AsyncIterator[bytes]],
) -> blacksheep.Response:
    """Returns a response whose body is produced while it is sent."""
    return blacksheep.Response(
        200, headers, blacksheep.StreamedContent(content_type, chunks)
    )


def header_text(request: blacksheep.Request, name: bytes) -> str:
    """Returns a request header, or an empty string."""
    value = request.get_first_header(name)
    return "" if value is None else value.decode("latin-1")


def route_text(request: blacksheep.Request, name: str) -> str:
    """Returns a variable part of the path."""
    return str((request.route_values or {})[name])


def query_int(request: blacksheep.Request, name: str, default: int) -> int:
    """Returns a query parameter as a number.

    Raises:
        blacksheep.exceptions.BadRequest: The value is no number.
    """
    values = request.query.get(name)
    if not values:
        return default
    if not values[0].isdigit():
        raise blacksheep.exceptions.BadRequest(f"{name} is not a number")
    return int(values[0])


__all__ = [
    "Disconnect",
    "ReceiveInScope",
    "StandInServer",
    "add_route",
    "as_function",
    "error_response",
    "header_text",
    "json_response",
    "new_application",
    "query_int",
    "route_text",
    "run",
    "stream_response",
]
