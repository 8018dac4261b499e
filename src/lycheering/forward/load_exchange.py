"""Exchanges the loads of targets with the other entries, through control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.app import api as app_api
from lycheering.entry import control_client
from lycheering.retries import evidence_exchange
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.forward import target_registry
    from lycheering.retries import crash_ledger
    from lycheering.streams import stream_versions
    from lycheering.wire import api as wire_api

INTERVAL_MS = 100.0
# Limit for the whole fleet: with many entries, each exchanges less often, so
# that the control instance keeps up.
MAX_EXCHANGES_PER_S = 700.0
EXCHANGE_TIMEOUT_MS = 400.0
MAX_PREFILLS_PER_EXCHANGE = 200

_LOG = logs.get("loads")


class LoadExchanger(app_api.Part):
    """Exchanges loads with control at a regular interval."""

    def __init__(
        self,
        control: control_client.ControlClient,
        registry: target_registry.TargetRegistry,
        identity: wire_api.Identity,
        on_entry_count: Callable[[int], None],
        crashes: crash_ledger.CrashLedger,
        streams: stream_versions.StreamVersions,
        time: clock.Clock,
    ) -> None:
        """Creates a part that has not exchanged loads yet.

        Args:
            control: Client of the control instances.
            registry: The states of all targets.
            identity: Identity of this entry.
            on_entry_count: Called with the number of entries after each
                exchange.
            crashes: Evidence of crashes, exchanged along with the loads.
            streams: The software versions of streams, exchanged as well.
            time: The clock.
        """
        self._entry_count = 1
        self._on_entry_count = on_entry_count
        self._control = control
        self._registry = registry
        self._identity = identity
        self._evidence = evidence_exchange.EvidenceReporter(crashes)
        self._rates = registry.rate_reporter
        self._streams = streams
        self._clock = time
        self._tasks = app_api.TaskOwner()
        self._exchange_number = 0
        self._epoch = ""
        self._cursor = 0
        self._unacknowledged_prefills: tuple[messages.PromptRead, ...] = ()
        self._acknowledged_count = 0
        self._is_shared = False

    async def start(self) -> None:
        """Starts to exchange loads."""
        self._tasks.spawn_with_restarts(self._run, "fleet_loads")

    async def stop(self) -> None:
        """Stops exchanging loads."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            began_ms = self._clock.now_ms()
            is_shared = await self._exchange()
            if is_shared != self._is_shared:
                _LOG.event("loads_shared" if is_shared else "loads_not_shared")
            self._is_shared = is_shared
            interval_ms = max(
                INTERVAL_MS,
                self._entry_count / MAX_EXCHANGES_PER_S * clock.MS_PER_S,
            )
            elapsed_ms = self._clock.now_ms() - began_ms
            await self._clock.sleep(max(10.0, interval_ms - elapsed_ms))

    async def _exchange(self) -> bool:
        self._exchange_number += 1
        self._unacknowledged_prefills += self._registry.take_unshared_prefills(
            MAX_PREFILLS_PER_EXCHANGE - len(self._unacknowledged_prefills)
        )
        exchange = messages.LoadExchange(
            self._identity.name,
            self._identity.incarnation,
            self._exchange_number,
            self._registry.own_loads(),
            self._unacknowledged_prefills,
            self._epoch,
            self._cursor,
            self._registry.shutting_down_digests(),
            self._acknowledged_count,
            self._evidence.next_exchange(),
            self._rates.next_report(self._registry.rate_by_target()),
            self._streams.next_report(),
        )
        try:
            reply = await self._control.call(exchange, EXCHANGE_TIMEOUT_MS)
        except (
            control_client.ControlUnavailableError,
            errors.WireError,
        ) as error:
            _LOG.debug("exchange_failed", error=error)
            self._rates.record_failure()
            return False
        if not isinstance(reply, messages.LoadReply):
            self._rates.record_failure()
            return False
        self._acknowledged_count += len(self._unacknowledged_prefills)
        self._unacknowledged_prefills = ()
        self._evidence.apply_reply(reply.evidence)
        self._rates.share.entry_count = max(1, reply.entries)
        self._rates.apply_reply(reply.rates, self._registry.rate_by_target())
        self._streams.apply_reply(reply.epoch)
        self._epoch = reply.epoch
        self._cursor = reply.cursor
        self._entry_count = max(1, reply.entries)
        self._on_entry_count(self._entry_count)
        self._registry.apply_loads(reply, self._clock.now_ms())
        return True


__all__ = ["LoadExchanger"]
