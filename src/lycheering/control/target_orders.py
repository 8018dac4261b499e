"""Reconciles the weights, adapters and roles of targets with the options."""

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
# The wait after an order until a report shows its effect; longer than the
# interval of an agent's reports.
REPORT_SETTLE_MS = 3_000
IDLE_CHECKS = 10  # when idle, checks every 5 s
FREQUENT_CHECKS = 6  # checks every 500 ms for 3 s after the view changed
MAX_CONCURRENT_LOADS = 2
ORDER_TIMEOUT_MS = 90_000  # exceeds the time that an agent waits for its target
REPLY_TIMEOUT_MS = 3_000
CONNECT_TIMEOUT_MS = 1_000
INITIAL_BACK_OFF_MS = 500
MAX_BACK_OFF_MS = 30_000
# A load whose order failed, or that an earlier leader started, may still be
# running; no other load starts for this time.
SETTLE_MS = 3_000

_LOG = logs.get("targets")


@dataclasses.dataclass(frozen=True)
class OrderSpec:
    """An order that a target needs, before it has a fencing number.

    Attributes:
        kind: The kind of order.
        model: The model that weights or an adapter are loaded for.
        version: The weights version to load.
        adapter: The adapter to load.
        role: The role to set.
    """

    kind: messages.TargetOrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""

    @property
    def is_load(self) -> bool:
        """Whether the order makes the target read from the weight store."""
        return self.kind != messages.TargetOrderKind.SET_ROLE

    def with_fence(self, fence: int) -> messages.TargetOrder:
        """Returns the message for this order with a fencing number."""
        return messages.TargetOrder(
            fence, self.kind, self.model, self.version, self.adapter, self.role
        )


@dataclasses.dataclass
class _BackOff:
    """The exponential back-off of a target after failed orders.

    Attributes:
        next_attempt_ms: When the next order may be sent.
        delay_ms: The delay after the next failure.
    """

    next_attempt_ms: float
    delay_ms: float


def next_order(
    fleet: view.FleetView,
    target: records.Target,
    report: messages.TargetReport,
) -> OrderSpec | None:
    """Returns the next order that a target needs, or None if it needs none.

    Args:
        fleet: The fleet view with the options.
        target: The target.
        report: The last report of the target's agent.
    """
    subject = view.target_subject(target)
    version = fleet.text("weights.version", subject)
    if version and version != report.weights_version:
        return OrderSpec(
            messages.TargetOrderKind.LOAD_WEIGHTS,
            model=target.model,
            version=version,
        )
    for name in fleet.text("adapters.loaded", subject).split(","):
        adapter = name.strip()
        if adapter and adapter not in report.adapters:
            return OrderSpec(
                messages.TargetOrderKind.LOAD_ADAPTER,
                model=target.model,
                adapter=adapter,
            )
    role = fleet.text("target.role", subject)
    if report.role and role != report.role:
        return OrderSpec(messages.TargetOrderKind.SET_ROLE, role=role)
    return None


class TargetOrdersTask(app_api.Part):
    """Sends orders to targets through their agents, on the leader only."""

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
        self._load_slots = asyncio.Semaphore(MAX_CONCURRENT_LOADS)
        self._busy_targets: set[str] = set()
        self._report_by_target: dict[str, messages.TargetReport] = {}
        self._back_off_by_target: dict[str, _BackOff] = {}
        self._leading_since_ms: float | None = None
        self._checked_revision = 0
        self._idle_checks = 0
        self._frequent_checks = 0

    async def start(self) -> None:
        """Starts the periodic comparison of options and reports."""
        self._tasks.spawn_with_restarts(self._run, "control:target-orders")

    async def stop(self) -> None:
        """Cancels the orders in flight."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            if not self._is_settled_leader():
                continue
            if not self._is_check_due():
                continue
            snapshot = await self._status.collect_incrementally()
            if self._group.is_leader():
                self._report_by_target = snapshot.report_by_target
                self._start_due_orders()

    def _is_check_due(self) -> bool:
        revision = self._group.machine.fleet.view_revision
        if revision != self._checked_revision:
            self._checked_revision = revision
            self._frequent_checks = FREQUENT_CHECKS
        is_frequent = self._frequent_checks > 0
        self._frequent_checks = max(0, self._frequent_checks - 1)
        has_open_work = bool(self._busy_targets or self._back_off_by_target)
        self._idle_checks += 1
        if is_frequent or has_open_work or self._idle_checks >= IDLE_CHECKS:
            self._idle_checks = 0
            return True
        return False

    def _is_settled_leader(self) -> bool:
        if not self._group.is_leader():
            self._leading_since_ms = None
            self._report_by_target = {}
            self._status.clear_remote_statuses()
            return False
        now_ms = self._clock.now_ms()
        if self._leading_since_ms is None:
            self._leading_since_ms = now_ms
        return now_ms - self._leading_since_ms >= SETTLE_MS

    def _start_due_orders(self) -> None:
        fleet = self._group.machine.fleet
        for name in list(self._back_off_by_target):
            if name not in fleet.target_by_name:
                del self._back_off_by_target[name]
        may_load = not self._has_earlier_leaders_loads()
        for target in fleet.target_by_name.values():
            if target.name in self._busy_targets:
                continue
            spec = self._next_due_order(target)
            if spec is None or (spec.is_load and not may_load):
                continue
            self._busy_targets.add(target.name)
            self._tasks.spawn(
                self._execute(target, spec), f"order:{target.name}"
            )

    def _has_earlier_leaders_loads(self) -> bool:
        """Returns whether loads that an earlier leader ordered still run."""
        return any(
            report.loading and name not in self._busy_targets
            for name, report in self._report_by_target.items()
        )

    def _next_due_order(self, target: records.Target) -> OrderSpec | None:
        """Returns the order to send to a target now, by its last report."""
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
        back_off = self._back_off_by_target.get(target.name)
        return (
            back_off is None or self._clock.now_ms() >= back_off.next_attempt_ms
        )

    async def _execute(self, target: records.Target, spec: OrderSpec) -> None:
        try:
            if spec.is_load:
                async with self._load_slots:
                    # the target's state may have changed during the wait
                    fleet = self._group.machine.fleet
                    current = fleet.target_by_name.get(target.name)
                    if current is None or self._next_due_order(current) != spec:
                        return
                    done = await self._load_and_settle(current, spec)
            else:
                done = await self._send(target, spec)
            if done:
                self._back_off_by_target.pop(target.name, None)
                # an outdated report would cause the same order to be sent again
                await self._clock.sleep(REPORT_SETTLE_MS)
            else:
                self._back_off(target.name)
        finally:
            self._busy_targets.discard(target.name)
            # options that changed meanwhile don't wait for the idle check
            self._frequent_checks = FREQUENT_CHECKS

    async def _load_and_settle(
        self, target: records.Target, spec: OrderSpec
    ) -> bool:
        started_ms = self._clock.now_ms()
        done = await self._send(target, spec)
        if not done:
            # the engine may be loading even if its agent is gone
            end_ms = started_ms + SETTLE_MS
            await self._clock.sleep(max(0.0, end_ms - self._clock.now_ms()))
        return done

    async def _send(self, target: records.Target, spec: OrderSpec) -> bool:
        connection = self._connections.get(wire_api.agent_address(target))
        try:
            await connection.wait_ready(CONNECT_TIMEOUT_MS)
            granted = await self._group.propose(commands.GrantFence())
            if not isinstance(granted, commands.FenceGranted):
                return False
            order = spec.with_fence(granted.highest_fence)
            reply = await self._send_until_answered(connection, target, order)
        except (wire_errors.WireError, errors.ReplicationError) as error:
            self._counters.count_retry("target_order")
            _LOG.warning(
                "target_order_failed", target=target.name, error=repr(error)
            )
            return False
        return self._handle_reply(target, order, reply)

    async def _send_until_answered(
        self,
        connection: client.Connection,
        target: records.Target,
        order: messages.TargetOrder,
    ) -> messages.Message:
        """Resends an order with its fencing number until it is answered."""
        end_ms = self._clock.now_ms() + ORDER_TIMEOUT_MS
        while True:
            await connection.wait_ready(CONNECT_TIMEOUT_MS)
            if connection.peer_incarnation != target.agent_incarnation:
                raise wire_errors.PeerRestartedError(target.name)
            # checked directly before sending, with no await in between
            self._group.log.check_lease()
            try:
                return await connection.call(order, REPLY_TIMEOUT_MS)
            except wire_errors.CallTimeoutError:
                if self._clock.now_ms() >= end_ms:
                    raise
                self._counters.count_retry("target_order_unanswered")

    def _handle_reply(
        self,
        target: records.Target,
        order: messages.TargetOrder,
        reply: messages.Message,
    ) -> bool:
        if not isinstance(reply, messages.TargetOrderReply):
            return False
        _LOG.event(
            "target_order_answered",
            target=target.name,
            kind=order.kind,
            fence=order.fence,
            version=order.version,
            adapter=order.adapter,
            target_role=order.role,
            done=reply.done,
            detail=reply.detail,
        )
        if not reply.done:
            self._counters.count_retry("target_order_refused")
        return reply.done

    def _back_off(self, name: str) -> None:
        previous = self._back_off_by_target.get(name)
        delay_ms: float = INITIAL_BACK_OFF_MS
        if previous is not None:
            delay_ms = previous.delay_ms
        self._back_off_by_target[name] = _BackOff(
            self._clock.now_ms() + delay_ms, min(MAX_BACK_OFF_MS, delay_ms * 2)
        )


__all__ = [
    "MAX_CONCURRENT_LOADS",
    "SETTLE_MS",
    "TargetOrdersTask",
    "OrderSpec",
    "next_order",
]
