"""Assembles an entry that forwards requests directly to targets."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.app import api as app_api
from lycheering.entry import control_client
from lycheering.fleet import view_holder
from lycheering.forward import allowance_gate
from lycheering.forward import application
from lycheering.forward import attempt
from lycheering.forward import crash_detector
from lycheering.forward import draining
from lycheering.forward import forwarder
from lycheering.forward import freshness
from lycheering.forward import intake
from lycheering.forward import liveness
from lycheering.forward import load_exchange
from lycheering.forward import target_registry
from lycheering.forward import target_selection
from lycheering.limits import allowance_terms
from lycheering.retries import crash_ledger
from lycheering.retries import prompt_quarantine
from lycheering.retries import second_send_window
from lycheering.settings import model
from lycheering.streams import stream_versions
from lycheering.telemetry import counters
from lycheering.telemetry import histograms
from lycheering.telemetry import metrics
from lycheering.web import asgi
from lycheering.web import connection_pool
from lycheering.web import head_limits
from lycheering.web import held_bytes
from lycheering.web import server as web_server
from lycheering.wire import link_factory
from lycheering.wire import messages
from lycheering.wire import pool as wire_pool
from lycheering.wire import sockets

if TYPE_CHECKING:
    from lycheering.forward import api

# The rest of the limit covers the time until a request starts at its target,
# and clock differences.
OUTDATED_WEIGHTS_FRACTION = 0.85
READY_PATH = "/health/ready"
HOUSEKEEPING_INTERVAL_MS = 500


class DirectEntry(app_api.Part):
    """Owns all components of the entry.

    Attributes:
        view: The fleet view in force.
        control: Client of the control instances.
        web: HTTP server for callers.
        ready_web: HTTP server for the readiness checks of the load balancer.
    """

    def __init__(
        self, settings: model.Settings, header_codec: api.HeaderCodec
    ) -> None:
        """Creates the components.

        Args:
            settings: Settings of the entry, with a `direct` section.
            header_codec: Reads and writes the headers of callers and targets.
        """
        assert settings.direct is not None
        self.view = view_holder.ViewHolder()
        self._direct = settings.direct
        self._clock = clock.Clock()
        self._counters = counters.Counters(settings.metrics)
        self._times = histograms.Histograms(self._counters)
        self._target_connections = connection_pool.HttpConnectionPool(
            self._clock
        )
        self._registry = target_registry.TargetRegistry(self._clock)
        self._crashes = crash_ledger.CrashLedger(self._clock)
        self._crash_detector = crash_detector.CrashDetector(
            self._crashes,
            self._target_connections,
            self._clock,
            self._counters,
        )
        self._head_limits = head_limits.HeadLimits()
        self._held = held_bytes.from_settings(
            settings.web, self._counters, self._clock
        )
        self._tasks = app_api.TaskOwner()
        self._quarantine = prompt_quarantine.PromptQuarantine(
            self._crashes,
            prompt_quarantine.QuarantineSettings(),
            self._clock,
            random.Random(),
            self._counters,
        )
        self._create_control(settings)
        self._create_forwarding(settings, header_codec)
        self.view.listen(self._apply_view)

    def _create_control(self, settings: model.Settings) -> None:
        self._context = sockets.new_context()
        link = link_factory.make_link(
            settings,
            settings.instance.name,
            messages.Role.ENTRY,
            self._context,
            self._clock,
            self.view,
            self._counters,
        )
        self._identity = link.identity
        self._wire_connections = wire_pool.ConnectionPool(link)
        self.control = control_client.ControlClient(
            settings.control_peers(), link, self._wire_connections, self.view
        )
        self._freshness = freshness.FreshnessMonitor(
            self.control, self._direct.current_ms, self._clock
        )
        self._streams = stream_versions.StreamVersions(
            self.control, self._clock
        )
        self._allowances = allowance_gate.AllowanceGate(
            self.control,
            self._identity,
            allowance_terms.AllowanceRule(
                self._direct.quota_window_s,
                self._direct.quota_over,
                self._direct.quota_slack,
            ),
            self._clock,
            self._counters,
        )
        self._load_exchanger = load_exchange.LoadExchanger(
            self.control,
            self._registry,
            self._identity,
            self._apply_exchange,
            self._crashes,
            self._streams,
            self._clock,
        )

    def _create_forwarding(
        self, settings: model.Settings, header_codec: api.HeaderCodec
    ) -> None:
        direct = self._direct
        self._intake = intake.RequestIntake(
            self.view,
            self._registry,
            header_codec,
            self._freshness.wait_until_current,
            self._clock,
            direct.room_order,
        )
        self._forwarder = forwarder.Forwarder(
            forwarder.ForwardSettings(
                target_selection.SelectionSettings(
                    outdated_limit_ms=OUTDATED_WEIGHTS_FRACTION
                    * direct.old_weights_ms
                ),
                second_send_window.SecondSendSettings(
                    direct.second_send_ratio,
                    direct.second_send_allowance,
                    direct.second_send_window_s * clock.MS_PER_S,
                ),
            ),
            self.view,
            self._intake,
            attempt.AttemptRunner(
                self._target_connections,
                self._registry,
                header_codec,
                self._crashes,
                self._streams,
                self._clock,
            ),
            self._crash_detector,
            self._quarantine,
            settings.instance.failure_domain,
            self._clock,
            self._counters,
            self._times,
            self._allowances,
        )
        self._application = application.ForwardApplication(
            self._forwarder,
            self._intake,
            header_codec,
            self._clock,
            self._counters,
        )
        self._liveness = liveness.LivenessMonitor(
            self._registry,
            self._target_connections,
            self._clock,
            self._counters,
        )
        ip, port = model.split_address(direct.caller_address)
        self.web = web_server.WebServer(
            self._application, ip, port, self._head_limits, self._held
        )
        ready = asgi.TextPages(
            {READY_PATH: lambda: (200 if self.is_ready() else 503, b"")}
        )
        ip, port = model.split_address(direct.ready_address)
        self.ready_web = web_server.WebServer(
            ready, ip, port, asgi.page_limits(), self._held
        )
        self._metrics = metrics.MetricsServer(
            settings.instance.ip, direct.metrics_port, self._times, self._held
        )

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send callers to this entry."""
        if self._application.is_draining:
            return False
        return (
            self._intake.route_index is not None
            and self._freshness.is_current()
        )

    def _apply_exchange(self, entry_count: int) -> None:
        self._forwarder.set_entry_count(entry_count)
        self._allowances.set_entry_count(entry_count)
        self._quarantine.refresh()

    def _apply_view(self) -> None:
        fleet = self.view.fleet
        self._target_connections.close_except(fleet.direct_target_by_key)
        self._streams.observe(fleet.direct_target_by_key.values())
        if fleet.route_table is not None:
            limits = fleet.route_table.limits
            self._head_limits.max_header_bytes = limits.max_header_bytes
            self._head_limits.header_timeout_ms = limits.header_timeout_ms
            self._head_limits.idle_timeout_ms = limits.idle_timeout_ms

    async def start(self) -> None:
        """Starts to follow the fleet view and to serve callers."""
        await self._wire_connections.start()
        await self.control.start()
        await self._freshness.start()
        await self._liveness.start()
        await self._load_exchanger.start()
        await self._allowances.start()
        await self._streams.start()
        self._tasks.spawn_with_restarts(
            self._run_housekeeping, "entry:housekeeping"
        )
        await self._metrics.start()
        await self.ready_web.start()
        await self.web.start()

    async def _run_housekeeping(self) -> None:
        while True:
            await self._clock.sleep(HOUSEKEEPING_INTERVAL_MS)
            self._target_connections.close_expired()
            self._streams.observe(self.view.fleet.direct_target_by_key.values())
            self._counters.set_gauge(
                "open_requests", self._application.open_requests
            )
            self._counters.set_gauge(
                "target_connections", self._target_connections.opened_count
            )
            self._counters.set_gauge("view_revision", self.view.revision())
            self._counters.set_gauge("held_bytes", self._held.total_bytes)

    async def drain(self) -> None:
        """Lets the open requests finish, up to the configured time."""
        settings = draining.DrainSettings(
            grace_ms=self._direct.stop_grace_s * clock.MS_PER_S
        )
        await draining.Drain(
            self._application, self.web, settings, self._clock
        ).run()

    async def stop(self) -> None:
        """Stops the servers and closes all connections."""
        await self.web.stop()
        await self.ready_web.stop()
        await self._metrics.stop()
        await self._tasks.cancel_all()
        await self._streams.stop()
        await self._allowances.stop()
        await self._load_exchanger.stop()
        await self._crash_detector.stop()
        await self._liveness.stop()
        await self._freshness.stop()
        await self.control.stop()
        await self._wire_connections.stop()
        self._target_connections.close()
        self._context.destroy(linger=0)


__all__ = ["DirectEntry"]
