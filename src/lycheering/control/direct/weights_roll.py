"""Brings engines that have no agent to the weights that are wanted."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from lycheering.app import api as app_api
from lycheering.control import commands
from lycheering.control.direct import api
from lycheering.control.direct import roll_plan
from lycheering.fleet import records
from lycheering.replication import errors
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import replica
    from lycheering.control.direct import load_hub
    from lycheering.fleet import view
    from lycheering.telemetry import counters

CHECK_INTERVAL_MS = 50
FIRST_REPORT_MS = 600  # no load is shorter
REPORT_INTERVAL_MS = 100
# a report may be this old
REPORT_LAG_MS = 350
# how long an engine is taken to be out of service before one was
FIRST_OUT_MS = 2_000.0
# weight of the last load in the mean of the times out of service
OUT_WEIGHT = 0.25
# an engine that does not begin or end a load for so long is left for now
LOAD_TIMEOUT_MS = 4_000
# one that says that it loads is waited for up to here
MOST_LOAD_MS = 15_000
# an order without an answer is given again after so long; until then the engine
# serves, if it did nothing
UNANSWERED_PAUSE_MS = 1_200.0
RETRY_MS = 250
MAX_RETRY_MS = 1_500

_LOG = logs.get("weights")


class _OrdersLostError(Exception):
    """Another instance may give orders now."""


@dataclasses.dataclass(frozen=True)
class RollSettings:
    """How engines are brought to new weights.

    Attributes:
        plan: How many at one time.
        hold_ms: How long an engine gets no new work before its order, until
            all entries have learned of it.
        most_hold_ms: How long it may go on reading prompts besides.
        lease_ms: How long the orders of an earlier holder may count.
    """

    plan: roll_plan.PlanSettings = roll_plan.PlanSettings()
    hold_ms: float = 350.0
    most_hold_ms: float = 1_000.0
    lease_ms: float = 3_000.0


def outdated(
    fleet: view.FleetView,
) -> list[tuple[records.DirectTarget, str, int]]:
    """Returns the engines on older weights.

    Args:
        fleet: What is in force.

    Returns:
        Each engine, the model, and the wall-clock time in milliseconds at
        which the first version that it lacks was named.
    """
    found = []
    for target in fleet.direct_target_by_key.values():
        if target.state is not records.TargetState.LIVE:
            continue
        for model, held in target.version_by_model.items():
            for version, wall_ms in fleet.named_by_model.get(model, ()):
                if version > held:
                    found.append((target, model, wall_ms))
                    break
    return found


class WeightsRoll(app_api.Part):
    """Gives orders to engines, a few at a time, while this leads."""

    def __init__(
        self,
        group: replica.Replica,
        engines: api.EngineCalls,
        settings: RollSettings,
        hub: load_hub.LoadHub,
        name: str,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        """Prepares the part.

        Args:
            group: The replicated log.
            engines: Calls to engines.
            settings: How many at once, and when.
            hub: What entries have at engines.
            name: This instance, as the holder of orders.
            time: The clock.
            counts: The process's counters.
        """
        self._group = group
        self._engines = engines
        self._settings = settings
        self._hub = hub
        self._name = name
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._rolling: set[str] = set()
        self._out_ms = FIRST_OUT_MS
        self._fence = 0
        self._orders_from_ms = 0.0
        self._retry_at_ms_by_key: dict[str, float] = {}
        self._failures_by_key: dict[str, int] = {}
        self._held_from_ms_by_key: dict[str, float] = {}

    async def start(self) -> None:
        """Begins to look for engines on older weights."""
        self._tasks.spawn_lasting(self._run, "control:weights")

    async def stop(self) -> None:
        """Ends it."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            if not self._group.is_leader():
                self._fence = 0
                continue
            try:
                if not self._fence:
                    await self._take_orders()
                await self._release_settled()
            except errors.ReplicationError as error:
                _LOG.event("weights_wait", error=error)
                continue
            self._begin_rolls()

    async def _take_orders(self) -> None:
        reply = await self._group.propose(commands.TakeDirectOrders(self._name))
        if not isinstance(reply, commands.DirectOrdersTaken):
            raise errors.UnavailableError(str(reply))
        self._fence = reply.fence
        wait_ms = 0.0
        if reply.previous_holder not in ("", self._name):
            wait_ms = self._settings.lease_ms
        self._orders_from_ms = self._clock.now_ms() + wait_ms
        _LOG.event(
            "orders_taken",
            fence=reply.fence,
            previous=reply.previous_holder,
            wait_ms=wait_ms,
        )

    async def _release_settled(self) -> None:
        """Gives engines back that are held though nothing is left to do."""
        fleet = self._group.machine.fleet
        held = [
            target
            for target in fleet.direct_target_by_key.values()
            if target.is_held and target.key not in self._rolling
        ]
        if not held:
            return
        waiting = {target.key for target, _, _ in outdated(fleet)}
        settled = tuple(
            msgspec.structs.replace(target, is_held=False)
            for target in held
            if target.key not in waiting
        )
        if settled:
            await self._group.propose(commands.ChangeDirectTargets(settled))

    def _begin_rolls(self) -> None:
        now_ms = self._clock.now_ms()
        # what an earlier holder began is looked after at once
        only_held = now_ms < self._orders_from_ms - self._settings.hold_ms
        fleet = self._group.machine.fleet
        wall_ms = self._clock.wall_ms()
        waiting = [
            roll_plan.Engine(
                target.key,
                model,
                wall_ms - named_wall_ms,
                self._failures_by_key.get(target.key, 0),
                is_held=target.is_held,
                is_paused=now_ms < self._retry_at_ms_by_key.get(target.key, 0),
            )
            for target, model, named_wall_ms in outdated(fleet)
            if target.key not in self._rolling
            and (target.is_held or not only_held)
        ]
        free = self._most(fleet) - len(self._rolling)
        for engine in roll_plan.next_engines(waiting, free):
            if engine.key in self._rolling:
                continue
            self._rolling.add(engine.key)
            self._tasks.spawn(
                self._roll(engine.key, engine.model), f"weights:{engine.key}"
            )

    def _most(self, fleet: view.FleetView) -> int:
        """Returns how many engines may be out of service at one time."""
        reachable = sum(
            not self._failures_by_key.get(target.key, 0)
            for target in fleet.direct_target_by_key.values()
            if target.version_by_model
            and target.state is records.TargetState.LIVE
        )
        return roll_plan.at_once(reachable, self._out_ms, self._settings.plan)

    async def _roll(self, key: str, model: str) -> None:
        try:
            await self._roll_once(key, model)
        except (
            api.EngineUnreachableError,
            errors.ReplicationError,
            _OrdersLostError,
        ) as error:
            self._counters.increment("weights.failed")
            _LOG.warning("weights_failed", target=key, error=error)
            failures = self._failures_by_key.get(key, 0) + 1
            self._failures_by_key[key] = failures
            pause_ms = min(MAX_RETRY_MS, RETRY_MS * 2**failures)
            self._retry_at_ms_by_key[key] = self._clock.now_ms() + pause_ms
            if isinstance(error, api.EngineUnreachableError):
                await self._give_back(key)
        else:
            self._failures_by_key.pop(key, None)
        finally:
            self._rolling.discard(key)
            self._held_from_ms_by_key.pop(key, None)

    async def _roll_once(self, key: str, model: str) -> None:
        target = self._target(key)
        if target is None:
            return
        began_ms = self._clock.now_ms()
        version = await self._load(target, model)
        latest = self._target(key)
        if latest is None or not version:
            return
        version_by_model = dict(latest.version_by_model)
        version_by_model[model] = version
        await self._put(
            msgspec.structs.replace(latest, version_by_model=version_by_model),
            is_held=False,
        )
        held_from_ms = self._held_from_ms_by_key.pop(key, began_ms)
        out_ms = self._clock.now_ms() - held_from_ms
        self._out_ms += OUT_WEIGHT * (out_ms - self._out_ms)
        _LOG.event(
            "weights_changed",
            target=target.target_id,
            model=model,
            version=version,
            out_ms=round(out_ms),
        )

    async def _until_read(self, target: records.DirectTarget) -> None:
        """Waits until an engine that gets no new work has none that waits."""
        await self._clock.sleep(self._settings.hold_ms)
        until_ms = self._clock.now_ms() + self._settings.most_hold_ms
        while self._hub.unread_tokens(target.digest):
            if self._clock.now_ms() >= until_ms:
                return
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def _is_held(self, target: records.DirectTarget) -> bool:
        latest = self._target(target.key)
        return latest is not None and latest.is_held

    def _target(self, key: str) -> records.DirectTarget | None:
        fleet = self._group.machine.fleet
        return fleet.direct_target_by_key.get(key)

    async def _hold(self, key: str, *, is_held: bool) -> None:
        """Keeps an engine free of new work, or gives it work again."""
        target = self._target(key)
        if target is None or target.is_held == is_held:
            return
        await self._put(target, is_held=is_held)
        if is_held:
            self._held_from_ms_by_key[key] = self._clock.now_ms()

    async def _give_back(self, key: str) -> None:
        """Gives an engine work again that could not be brought on."""
        try:
            await self._hold(key, is_held=False)
        except errors.ReplicationError as error:
            _LOG.warning("hold_stays", target=key, error=error)

    async def _put(
        self, target: records.DirectTarget, *, is_held: bool
    ) -> None:
        changed = msgspec.structs.replace(target, is_held=is_held)
        await self._group.propose(commands.ChangeDirectTargets((changed,)))

    async def _load(self, target: records.DirectTarget, model: str) -> int:
        """Has an engine load weights and returns the version it has then.

        An order without an answer may have been accepted, or be carried out
        later. It is given again under the same sequence, so that the engine
        carries out one of them. The engine is held shortly before an order and
        while it loads, and serves on its old weights otherwise.
        """
        began_ms = self._clock.now_ms()
        until_ms = max(began_ms, self._orders_from_ms) + LOAD_TIMEOUT_MS
        order_from_ms = 0.0
        while self._clock.now_ms() < min(until_ms, began_ms + MOST_LOAD_MS):
            # first of all, as one that can't be reached is not worth holding
            report = await self._engines.report(target)
            wanted = self._group.machine.fleet.version_by_model.get(model, 0)
            version = report.version_by_model.get(model, 0)
            if version >= wanted and not report.is_busy:
                return version
            if self._target(target.key) is None:
                return 0
            if report.is_busy:
                until_ms = self._clock.now_ms() + LOAD_TIMEOUT_MS
            order_from_ms = max(order_from_ms, self._orders_from_ms)
            left_ms = order_from_ms - self._clock.now_ms()
            is_due = left_ms <= self._settings.hold_ms
            if is_due and not report.is_busy and not self._is_held(target):
                await self._hold(target.key, is_held=True)
                await self._until_read(target)
                continue
            await self._hold(target.key, is_held=report.is_busy or is_due)
            if report.is_busy or left_ms > 0:
                await self._clock.sleep(REPORT_INTERVAL_MS)
                continue
            result = await self._order(target, model, wanted, report.sequence)
            if result is api.OrderResult.FENCED:
                self._fence = 0
                raise _OrdersLostError("a higher fencing number was used")
            if result in (api.OrderResult.GONE, api.OrderResult.REFUSED):
                raise api.EngineUnreachableError(result.value)
            pause_ms, again_ms = float(REPORT_LAG_MS), float(REPORT_LAG_MS)
            if result is api.OrderResult.ACCEPTED:
                pause_ms = FIRST_REPORT_MS
                until_ms = self._clock.now_ms() + LOAD_TIMEOUT_MS
            elif result is api.OrderResult.UNKNOWN:
                again_ms = UNANSWERED_PAUSE_MS
            await self._clock.sleep(pause_ms)
            order_from_ms = self._clock.now_ms() + again_ms
        raise api.EngineUnreachableError("the load did not end in time")

    async def _order(
        self,
        target: records.DirectTarget,
        model: str,
        version: int,
        sequence: int,
    ) -> api.OrderResult:
        while self._clock.now_ms() < self._orders_from_ms:
            await self._clock.sleep(CHECK_INTERVAL_MS)
        # checked last, with nothing awaited before the order is sent
        if not self._fence or not self._group.is_leader():
            raise _OrdersLostError("this instance does not lead any more")
        order = api.WeightsOrder(
            model, version, self._name, self._fence, sequence
        )
        result = await self._engines.order(target, order)
        _LOG.event(
            "weights_ordered",
            target=target.target_id,
            model=model,
            version=version,
            fence=order.fence,
            sequence=sequence,
            result=result.value,
        )
        return result


__all__ = ["RollSettings", "WeightsRoll", "outdated"]
