"""Builds an entry and runs it."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.app import api as app_api
from lycheering.entry import admission as admissions
from lycheering.entry import control_client
from lycheering.entry import dispatch
from lycheering.entry import evidence_exchange
from lycheering.entry import http
from lycheering.entry import job_runner as job_runners
from lycheering.entry import orders
from lycheering.entry import request_parser
from lycheering.entry import target_access
from lycheering.entry import view_file
from lycheering.fleet import records
from lycheering.fleet import view_holder
from lycheering.retries import circuit_breaker
from lycheering.retries import crash_ledger
from lycheering.retries import prompt_quarantine
from lycheering.retries import retry_budget
from lycheering.routing import router as routers
from lycheering.telemetry import counters
from lycheering.telemetry import logs
from lycheering.web import held_bytes
from lycheering.web import server as web_server
from lycheering.wire import api as wire_api
from lycheering.wire import byte_budget
from lycheering.wire import link_factory
from lycheering.wire import messages
from lycheering.wire import pool as wire_pool
from lycheering.wire import sockets

if TYPE_CHECKING:
    from lycheering.settings import model

KEEP_CONNECTED_INTERVAL_MS = 1_000
DRAIN_POLL_INTERVAL_MS = 20
INITIAL_VIEW_TIMEOUT_MS = 500
SUSPECT_HEARTBEATS = 2

_LOG = logs.get("entry")


class Entry(app_api.Part):
    """Owns the components of an entry.

    Attributes:
        view: The current fleet view.
        counters: The process's counters.
        admission: Limits the requests in flight.
        web: The HTTP server for callers.
    """

    def __init__(self, settings: model.Settings) -> None:
        assert settings.entry is not None
        self.view = view_holder.ViewHolder()
        self.counters = counters.Counters(settings.metrics)
        self._settings = settings.entry
        self._clock = clock.Clock()
        self._context = sockets.new_context()
        link = link_factory.make_link(
            settings,
            settings.instance.name,
            messages.Role.ENTRY,
            self._context,
            self._clock,
            self.view,
            self.counters,
        )
        self._budget = byte_budget.ByteBudget(settings.wire, self._clock)
        self._connections = wire_pool.ConnectionPool(link, self._budget)
        self._control = control_client.ControlClient(
            settings.control_peers(), link, self._connections, self.view
        )
        self._view_file: view_file.ViewFile | None = None
        if self._settings.state_folder:
            self._view_file = view_file.ViewFile(
                self._settings.state_folder, self.view, self._clock
            )
        self._crashes = crash_ledger.CrashLedger(self._clock)
        self._evidence_exchanger = evidence_exchange.EvidenceExchanger(
            self._control, self._crashes, self._clock
        )
        self._circuit_breakers = circuit_breaker.CircuitBreakers(self._clock)
        self._router = routers.Router(
            self.view, self._clock, settings.instance.failure_domain
        )
        self.admission = admissions.Admission(
            self.view, self._settings.max_open_requests
        )
        self._build_api(settings)
        self._tasks = app_api.TaskOwner()
        self.view.listen(self._view_changed)

    def _build_api(self, settings: model.Settings) -> None:
        self._quarantine = prompt_quarantine.PromptQuarantine(
            self._crashes,
            prompt_quarantine.QuarantineSettings(),
            self._clock,
            random.Random(),
            self.counters,
        )
        targets = target_access.TargetAccess(
            self._clock,
            self.view,
            self._router,
            self._connections,
            self._budget,
            self._circuit_breakers,
            self._crashes,
            self._quarantine,
            self.counters,
            SUSPECT_HEARTBEATS * settings.wire.heartbeat_ms,
        )
        budget = retry_budget.RetryBudget(self._clock)
        order_dispatcher = orders.OrderDispatcher(
            targets, self._control, budget
        )
        self._job_runner = job_runners.JobRunner(
            dispatch.Dispatcher(targets, budget),
            order_dispatcher,
            self.counters,
            self._clock,
            self._settings.caller_stall_ms,
        )
        api = http.EntryApi(
            self._settings,
            self.view,
            request_parser.RequestParser(
                self._settings, self.view, self._clock
            ),
            self.admission,
            self._job_runner,
            order_dispatcher,
            self._router.explanations,
            self.counters,
            self.is_current,
        )
        self.web = web_server.WebServer(
            api.application,
            settings.instance.ip,
            self._settings.http_port,
            held=held_bytes.from_settings(
                settings.web, self.counters, self._clock
            ),
        )

    def is_current(self) -> bool:
        """Returns whether the local settings are known to be current."""
        silent_ms = self._clock.now_ms() - self._control.last_contact_ms
        return silent_ms < self._settings.fleet_lease_ms

    async def start(self) -> None:
        """Connects to the fleet, then starts to serve."""
        if self._view_file is not None:
            await self._view_file.start()
        await self._connections.start()
        await self._control.start()
        await self._evidence_exchanger.start()
        self._tasks.spawn(self._keep_connected(), "entry:keep-connected")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(INITIAL_VIEW_TIMEOUT_MS / 1_000):
                await self._control.wait_current()
        await self.web.start()

    async def drain(self) -> None:
        """Reports unready to the load balancer, then finishes open requests."""
        self.admission.is_unready = True
        await self._clock.sleep(self._settings.balancer_grace_ms)
        self.admission.is_draining = True
        while self.admission.open_requests:
            await self._clock.sleep(DRAIN_POLL_INTERVAL_MS)
        _LOG.event("drained")

    async def stop(self) -> None:
        """Stops the HTTP server and closes all connections."""
        await self.web.stop()
        await self._job_runner.stop()
        await self._tasks.cancel_all()
        await self._evidence_exchanger.stop()
        await self._control.stop()
        await self._connections.stop()
        if self._view_file is not None:
            await self._view_file.stop()
        self._context.destroy(linger=0)

    def _view_changed(self) -> None:
        self._circuit_breakers.retain(set(self.view.fleet.target_by_name))
        target_count = len(self._live_targets())
        self._budget.target_count = target_count
        # an upper bound, as entries are not in the view
        self._quarantine.entry_count = max(1, target_count)

    def _live_targets(self) -> list[records.Target]:
        return [
            target
            for target in self.view.fleet.target_by_name.values()
            if target.state is records.TargetState.LIVE
        ]

    async def _keep_connected(self) -> None:
        """Keeps connections to all targets open in a small fleet."""
        while True:
            if not self._budget.is_large_fleet:
                for target in self._live_targets():
                    self._connections.get(wire_api.agent_address(target))
            await self._clock.sleep(KEEP_CONNECTED_INTERVAL_MS)


def build(settings: model.Settings) -> app_api.Application:
    """Returns an application that runs an entry."""
    application = app_api.Application(settings.instance.drain_timeout_ms)
    application.add(Entry(settings))
    return application


def main(settings: model.Settings) -> None:
    """Runs an entry until it is signalled to stop."""
    asyncio.run(build(settings).run())


__all__ = ["Entry", "build", "main"]
