"""Brings targets to the weights, adapters and role that are configured."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.control import commands
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.replication import errors
from lycheering.telemetry import logs
from lycheering.wire import api as wire_api
from lycheering.wire import errors as wire_errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import fleet_status
    from lycheering.control import replica
    from lycheering.telemetry import counters
    from lycheering.wire import client
    from lycheering.wire import pool

CHECK_INTERVAL_MS = 500
REPORT_SETTLE_MS = 3_000  # more than the time between an agent's reports
IDLE_CHECKS = 10  # reports of all targets are fetched every 5 s when idle
QUICK_CHECKS = 6  # and every 500 ms for 3 s after the view changed
MAX_LOADS = 2
ORDER_TIMEOUT_MS = 90_000  # more than an agent waits for its target
REPLY_WAIT_MS = 3_000
CONNECT_TIMEOUT_MS = 1_000
FIRST_BACKOFF_MS = 500
MAX_BACKOFF_MS = 30_000
# a load of which nothing is heard any more may still run for so long
SETTLE_MS = 3_000

_LOG = logs.get("targets")


@dataclasses.dataclass(frozen=True)
class WantedOrder:
    """What a target has to be told next.

    Attributes:
        kind: What to do.
        model: The model.
        version: The weights version.
        adapter: The adapter.
        role: The role.
    """

    kind: messages.TargetOrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""

    @property
    def is_load(self) -> bool:
        """Whether the weight store is read for it."""
        return self.kind != messages.TargetOrderKind.SET_ROLE

    def numbered(self, fence: int) -> messages.TargetOrder:
        """Returns the order under a fencing number."""
        return messages.TargetOrder(
            fence, self.kind, self.model, self.version, self.adapter, self.role
        )


@dataclasses.dataclass
class _Backoff:
    """When a target is tried next after a failure.

    Attributes:
        next_ms: When it is due.
        pause_ms: The pause after the next failure.
    """

    next_ms: float
    pause_ms: float


def next_order(
    fleet: view.FleetView,
    target: records.Target,
    report: messages.TargetReport,
) -> WantedOrder | None:
    """Returns what a target has to be told next, or None if nothing.

    Args:
        fleet: The fleet view with the options.
        target: The target.
        report: What its agent reported last.
    """
    subject = view.subject_of_target(target)
    version = fleet.text("weights.version", subject)
    if version and version != report.weights_version:
        return WantedOrder(
            messages.TargetOrderKind.LOAD_WEIGHTS,
            model=target.model,
            version=version,
        )
    for name in fleet.text("adapters.loaded", subject).split(","):
        adapter = name.strip()
        if adapter and adapter not in report.adapters:
            return WantedOrder(
                messages.TargetOrderKind.LOAD_ADAPTER,
                model=target.model,
                adapter=adapter,
            )
    role = fleet.text("target.role", subject)
    if report.role and role != report.role:
        return WantedOrder(messages.TargetOrderKind.SET_ROLE, role=role)
    return None


class TargetOrdersTask(app_api.Part):
    """Sends orders to targets, through their agents, while this leads."""

    def __init__(
        self,
        group: replica.Replica,
        status: fleet_status.FleetStatus,
        connections: pool.ConnectionPool,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._group = group
        self._status = status
        self._connections = connections
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._loads = asyncio.Semaphore(MAX_LOADS)
        self._busy: set[str] = set()
        self._report_by_target: dict[str, messages.TargetReport] = {}
        self._backoff_by_target: dict[str, _Backoff] = {}
        self._leading_since_ms: float | None = None
        self._checked_revision = 0
        self._idle_checks = 0
        self._quick_checks = 0

    async def start(self) -> None:
        """Begins to compare what is wanted with what is reported."""
        self._tasks.spawn_lasting(self._run, "control:target-orders")

    async def stop(self) -> None:
        """Ends waiting for targets."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            if not self._is_settled_leader():
                continue
            if not self._is_due():
                continue
            snapshot = await self._status.follow()
            if self._group.is_leader():
                self._report_by_target = snapshot.report_by_target
                self._check()

    def _is_due(self) -> bool:
        revision = self._group.machine.fleet.view_revision
        if revision != self._checked_revision:
            self._checked_revision = revision
            self._quick_checks = QUICK_CHECKS
        is_quick = self._quick_checks > 0
        self._quick_checks = max(0, self._quick_checks - 1)
        is_open = bool(self._busy or self._backoff_by_target)
        self._idle_checks += 1
        if is_quick or is_open or self._idle_checks >= IDLE_CHECKS:
            self._idle_checks = 0
            return True
        return False

    def _is_settled_leader(self) -> bool:
        if not self._group.is_leader():
            self._leading_since_ms = None
            self._report_by_target = {}
            self._status.forget()
            return False
        now_ms = self._clock.now_ms()
        if self._leading_since_ms is None:
            self._leading_since_ms = now_ms
        return now_ms - self._leading_since_ms >= SETTLE_MS

    def _check(self) -> None:
        fleet = self._group.machine.fleet
        for name in list(self._backoff_by_target):
            if name not in fleet.target_by_name:
                del self._backoff_by_target[name]
        may_load = not self._is_loading_for_another()
        for target in fleet.target_by_name.values():
            if target.name in self._busy:
                continue
            wanted = self._next_order(target)
            if wanted is None or (wanted.is_load and not may_load):
                continue
            self._busy.add(target.name)
            self._tasks.spawn(
                self._carry_out(target, wanted), f"order:{target.name}"
            )

    def _is_loading_for_another(self) -> bool:
        """Returns whether loads run that a leader before this one began."""
        return any(
            report.loading and name not in self._busy
            for name, report in self._report_by_target.items()
        )

    def _next_order(self, target: records.Target) -> WantedOrder | None:
        """Returns what a target may be told now, by its last report."""
        report = self._report_by_target.get(target.name)
        if report is None or not self._may_order(target, report):
            return None
        return next_order(self._group.machine.fleet, target, report)

    def _may_order(
        self, target: records.Target, report: messages.TargetReport
    ) -> bool:
        if target.kind != records.TargetKind.ENGINE:
            return False
        if target.state != records.TargetState.LIVE:
            return False
        if not report.engine_incarnation or report.loading:
            return False
        if report.agent_incarnation != target.agent_incarnation:
            return False
        backoff = self._backoff_by_target.get(target.name)
        return backoff is None or self._clock.now_ms() >= backoff.next_ms

    async def _carry_out(
        self, target: records.Target, wanted: WantedOrder
    ) -> None:
        try:
            if wanted.is_load:
                async with self._loads:
                    # what was seen may have changed while it waited
                    fleet = self._group.machine.fleet
                    current = fleet.target_by_name.get(target.name)
                    if current is None or self._next_order(current) != wanted:
                        return
                    done = await self._load(current, wanted)
            else:
                done = await self._send(target, wanted)
            if done:
                self._backoff_by_target.pop(target.name, None)
                # an older report would have the same order given again
                await self._clock.sleep(REPORT_SETTLE_MS)
            else:
                self._back_off(target.name)
        finally:
            self._busy.discard(target.name)
            # what was wanted meanwhile is not left to the next idle check
            self._quick_checks = QUICK_CHECKS

    async def _load(self, target: records.Target, wanted: WantedOrder) -> bool:
        started_ms = self._clock.now_ms()
        done = await self._send(target, wanted)
        if not done:
            # the engine may be loading though its agent is gone
            end_ms = started_ms + SETTLE_MS
            await self._clock.sleep(max(0.0, end_ms - self._clock.now_ms()))
        return done

    async def _send(self, target: records.Target, wanted: WantedOrder) -> bool:
        connection = self._connections.get(wire_api.agent_address(target))
        try:
            await connection.ready(CONNECT_TIMEOUT_MS)
            granted = await self._group.propose(commands.GrantFence())
            if not isinstance(granted, commands.FenceGranted):
                return False
            order = wanted.numbered(granted.highest_fence)
            reply = await self._ask(connection, target, order)
        except (wire_errors.WireError, errors.ReplicationError) as error:
            self._counters.retry("target_order")
            _LOG.warning(
                "target_order_failed", target=target.name, error=repr(error)
            )
            return False
        return self._take(target, order, reply)

    async def _ask(
        self,
        connection: client.Connection,
        target: records.Target,
        order: messages.TargetOrder,
    ) -> messages.Message:
        """Sends an order until it is answered, always under its number."""
        end_ms = self._clock.now_ms() + ORDER_TIMEOUT_MS
        while True:
            await connection.ready(CONNECT_TIMEOUT_MS)
            if connection.peer_incarnation != target.agent_incarnation:
                raise wire_errors.PeerRestartedError(target.name)
            # the last thing before the send, with no await in between
            self._group.log.check_lease()
            try:
                return await connection.call(order, REPLY_WAIT_MS)
            except wire_errors.CallTimeoutError:
                if self._clock.now_ms() >= end_ms:
                    raise
                self._counters.retry("target_order_unanswered")

    def _take(
        self,
        target: records.Target,
        order: messages.TargetOrder,
        reply: messages.Message,
    ) -> bool:
        if not isinstance(reply, messages.TargetOrderReply):
            return False
        _LOG.event(
            "target_ordered",
            target=target.name,
            kind=order.kind,
            fence=order.fence,
            version=order.version,
            adapter=order.adapter,
            wanted_role=order.role,
            done=reply.done,
            detail=reply.detail,
        )
        if not reply.done:
            self._counters.retry("target_order_refused")
        return reply.done

    def _back_off(self, name: str) -> None:
        before = self._backoff_by_target.get(name)
        pause_ms: float = FIRST_BACKOFF_MS
        if before is not None:
            pause_ms = before.pause_ms
        self._backoff_by_target[name] = _Backoff(
            self._clock.now_ms() + pause_ms, min(MAX_BACKOFF_MS, pause_ms * 2)
        )


__all__ = [
    "MAX_LOADS",
    "SETTLE_MS",
    "TargetOrdersTask",
    "WantedOrder",
    "next_order",
]
