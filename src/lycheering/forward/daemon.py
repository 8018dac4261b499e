"""Puts an entry together that hands requests straight to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.app import api as app_api
from lycheering.entry import control_client
from lycheering.fleet import holder
from lycheering.forward import application
from lycheering.forward import attempt
from lycheering.forward import choice
from lycheering.forward import draining
from lycheering.forward import fleet_loads
from lycheering.forward import forwarder
from lycheering.forward import freshness
from lycheering.forward import intake
from lycheering.forward import liveness
from lycheering.forward import target_registry
from lycheering.retries import window
from lycheering.settings import model
from lycheering.telemetry import counters
from lycheering.telemetry import histograms
from lycheering.telemetry import metrics
from lycheering.web import asgi
from lycheering.web import guarded_protocol
from lycheering.web import kept_connections
from lycheering.web import server as web_server
from lycheering.wire import links
from lycheering.wire import messages
from lycheering.wire import pool as wire_pool
from lycheering.wire import sockets

if TYPE_CHECKING:
    from lycheering.forward import api

# the rest is for a request's way to its start and for clocks that differ
OLD_WEIGHTS_PART = 0.85
READY_PATH = "/health/ready"
HOUSEKEEPING_MS = 500


class DirectEntry(app_api.Part):
    """Owns what such an entry is made of.

    Attributes:
        view: The fleet view in force.
        control: The control instances.
        web: The endpoint for callers.
        ready_web: The endpoint for the balancer.
    """

    def __init__(self, settings: model.Settings, dialect: api.Dialect) -> None:
        """Joins the parts.

        Args:
            settings: The entry's settings, with a `direct` section.
            dialect: The names and forms that callers and targets use.
        """
        assert settings.direct is not None
        self.view = holder.ViewHolder()
        self._direct = settings.direct
        self._clock = clock.Clock()
        self._counters = counters.Counters(settings.metrics)
        self._times = histograms.Histograms(self._counters)
        self._kept = kept_connections.KeptConnections(self._clock)
        self._registry = target_registry.TargetRegistry(self._clock)
        self._limits = guarded_protocol.HeadLimits()
        self._tasks = app_api.TaskOwner()
        self._join_control(settings)
        self._join_forwarding(settings, dialect)
        self.view.listen(self._view_changed)

    def _join_control(self, settings: model.Settings) -> None:
        self._context = sockets.new_context()
        link = links.link_from(
            settings,
            settings.instance.name,
            messages.Role.ENTRY,
            self._context,
            self._clock,
            self.view,
            self._counters,
        )
        self._identity = link.identity
        self._connections = wire_pool.ConnectionPool(link)
        self.control = control_client.ControlClient(
            settings.control_peers(), link, self._connections, self.view
        )
        self._fresh = freshness.Freshness(
            self.control, self._direct.current_ms, self._clock
        )
        self._loads = fleet_loads.FleetLoads(
            self.control,
            self._registry,
            self._identity,
            self._share,
            self._clock,
        )

    def _join_forwarding(
        self, settings: model.Settings, dialect: api.Dialect
    ) -> None:
        direct = self._direct
        self._intake = intake.Intake(
            self.view,
            self._registry,
            dialect,
            self._fresh.wait_current,
            self._clock,
        )
        self._forwarder = forwarder.Forwarder(
            forwarder.ForwardSettings(
                choice.ChoiceSettings(
                    old_limit_ms=OLD_WEIGHTS_PART * direct.old_weights_ms
                ),
                window.WindowSettings(
                    direct.second_send_ratio,
                    direct.second_send_allowance,
                    direct.second_send_window_s * clock.MS_PER_S,
                ),
            ),
            self.view,
            self._intake,
            attempt.Attempts(self._kept, self._registry, dialect, self._clock),
            settings.instance.failure_domain,
            self._clock,
            self._counters,
            self._times,
        )
        self._application = application.ForwardApplication(
            self._forwarder,
            self._intake,
            dialect,
            self._clock,
            self._counters,
        )
        self._liveness = liveness.Liveness(
            self._registry, self._kept, self._clock, self._counters
        )
        ip, port = model.split_address(direct.caller_address)
        self.web = web_server.WebServer(
            self._application, ip, port, self._limits
        )
        ready = asgi.Pages(
            {READY_PATH: lambda: (200 if self.is_ready() else 503, b"")}
        )
        ip, port = model.split_address(direct.ready_address)
        self.ready_web = web_server.WebServer(ready, ip, port)
        self._metrics = metrics.MetricsServer(
            settings.instance.ip, direct.metrics_port, self._times
        )

    def is_ready(self) -> bool:
        """Returns whether the balancer may send callers here."""
        if self._application.is_leaving:
            return False
        return self._intake.index is not None and self._fresh.is_current()

    def _share(self, entries: int) -> None:
        self._forwarder.share(entries)

    def _view_changed(self) -> None:
        fleet = self.view.fleet
        self._kept.keep_only(fleet.direct_target_by_key)
        if fleet.route_table is not None:
            limits = fleet.route_table.limits
            self._limits.max_header_bytes = limits.max_header_bytes
            self._limits.header_timeout_ms = limits.header_timeout_ms
            self._limits.idle_timeout_ms = limits.idle_timeout_ms

    async def start(self) -> None:
        """Begins to follow the fleet and to serve."""
        await self._connections.start()
        await self.control.start()
        await self._fresh.start()
        await self._liveness.start()
        await self._loads.start()
        self._tasks.spawn_lasting(self._keep_house, "entry:housekeeping")
        await self._metrics.start()
        await self.ready_web.start()
        await self.web.start()

    async def _keep_house(self) -> None:
        while True:
            await self._clock.sleep(HOUSEKEEPING_MS)
            self._kept.close_expired()
            self._counters.gauge(
                "open_requests", self._application.open_requests
            )
            self._counters.gauge("target_connections", self._kept.opened)
            self._counters.gauge("view_revision", self.view.revision())

    async def drain(self) -> None:
        """Ends what runs, without cutting a request."""
        settings = draining.DrainSettings(
            grace_ms=self._direct.stop_grace_s * clock.MS_PER_S
        )
        await draining.Draining(
            self._application, self.web, settings, self._clock
        ).run()

    async def stop(self) -> None:
        """Ends the endpoints and all connections."""
        await self.web.stop()
        await self.ready_web.stop()
        await self._metrics.stop()
        await self._tasks.cancel_all()
        await self._loads.stop()
        await self._liveness.stop()
        await self._fresh.stop()
        await self.control.stop()
        await self._connections.stop()
        self._kept.close()
        self._context.destroy(linger=0)


__all__ = ["DirectEntry"]
