"""Serves the metrics of a process as text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.web import asgi
from lycheering.web import server

if TYPE_CHECKING:
    from lycheering.telemetry import histograms

METRICS_PATH = "/metrics"


class MetricsServer(app_api.Part):
    """Answers scrapers; does nothing where no port is given."""

    def __init__(
        self, ip: str, port: int, metrics: histograms.Histograms
    ) -> None:
        """Prepares the endpoint.

        Args:
            ip: The IP number to listen on.
            port: The port; 0 for none.
            metrics: What is served.
        """
        application = asgi.Pages({METRICS_PATH: lambda: (200, metrics.text())})
        self._server: server.WebServer | None = None
        if port:
            self._server = server.WebServer(application, ip, port)

    async def start(self) -> None:
        """Begins to serve."""
        if self._server is not None:
            await self._server.start()

    async def stop(self) -> None:
        """Ends it."""
        if self._server is not None:
            await self._server.stop()


__all__ = ["METRICS_PATH", "MetricsServer"]
