"""HTTP endpoint for the metrics of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.web import asgi
from lycheering.web import server

if TYPE_CHECKING:
    from lycheering.telemetry import histograms
    from lycheering.web import held_bytes

METRICS_PATH = "/metrics"


class MetricsServer(app_api.Part):
    """Serves metrics to scrapers; does nothing if the port is 0."""

    def __init__(
        self,
        ip: str,
        port: int,
        metrics: histograms.Histograms,
        held: held_bytes.HeldBytes | None = None,
    ) -> None:
        """Creates the endpoint.

        Args:
            ip: The IP address to listen on.
            port: The port; 0 disables the endpoint.
            metrics: The metrics to serve.
            held: Bounds what all clients of the process take.
        """
        application = asgi.TextPages(
            {METRICS_PATH: lambda: (200, metrics.text())}
        )
        self._server: server.WebServer | None = None
        if port:
            self._server = server.WebServer(
                application, ip, port, asgi.page_limits(), held
            )

    async def start(self) -> None:
        """Starts serving."""
        if self._server is not None:
            await self._server.start()

    async def stop(self) -> None:
        """Stops serving."""
        if self._server is not None:
            await self._server.stop()


__all__ = ["METRICS_PATH", "MetricsServer"]
