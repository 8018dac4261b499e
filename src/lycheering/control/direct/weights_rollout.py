"""Updates engines without an agent to the weights versions that are named.

An engine is held while it loads weights: entries send it no new requests.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import NoReturn

import msgspec

from lycheering.app import api as app_api
from lycheering.control import commands
from lycheering.control.direct import api
from lycheering.control.direct import load_failures
from lycheering.control.direct import rollout_plan
from lycheering.fleet import records
from lycheering.replication import errors
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import replica
    from lycheering.control.direct import load_aggregator
    from lycheering.fleet import view
    from lycheering.telemetry import counters

CHECK_INTERVAL_MS = 50
# the first report after an accepted order; no load takes less time
FIRST_REPORT_DELAY_MS = 600
REPORT_INTERVAL_MS = 100
# reports of engines may lag behind their state by this much
REPORT_LAG_MS = 350
# initial value of the mean time for which an update takes an engine out of
# service
INITIAL_MEAN_OUT_MS = 2_000.0
# weight of the newest sample in the moving average of these times
MEAN_OUT_WEIGHT = 0.25
# an update fails if the engine does not start or finish a load for this long
LOAD_TIMEOUT_MS = 4_000
# maximum duration of an update, also if the engine reports that it is loading
MAX_LOAD_MS = 15_000
# an order without an answer is sent again after this pause; an engine that did
# not receive it serves requests meanwhile
UNANSWERED_ORDER_PAUSE_MS = 1_200.0
RETRY_MS = 250
MAX_RETRY_MS = 1_500

_LOG = logs.get("weights")


class _OrdersLostError(Exception):
    """This instance may no longer give orders, but another one may."""


@dataclasses.dataclass(frozen=True)
class RolloutSettings:
    """Settings for updating engines to new weights.

    Attributes:
        plan: How many engines may be out of service at once.
        hold_ms: How long an engine is held before its order is sent, so that
            all entries have stopped sending it requests.
        max_prefill_wait_ms: Maximum additional wait for the engine to prefill
            the prompts that it has received.
        lease_ms: How long orders of the previous holder may still arrive at
            engines.
    """

    plan: rollout_plan.RolloutPlanSettings = rollout_plan.RolloutPlanSettings()
    hold_ms: float = 350.0
    max_prefill_wait_ms: float = 1_000.0
    lease_ms: float = 3_000.0


def find_outdated_engines(
    fleet: view.FleetView,
) -> list[tuple[records.DirectTarget, str, int]]:
    """Returns the live engines whose weights are outdated.

    Args:
        fleet: The active targets and the named weights versions.

    Returns:
        Tuples of the engine, the model, and the wall-clock time in
        milliseconds at which the oldest version that it lacks was named.
    """
    found = []
    for target in fleet.direct_target_by_key.values():
        if target.state is not records.TargetState.LIVE:
            continue
        for model, loaded_version in target.version_by_model.items():
            for version, wall_ms in fleet.weights_requests_by_model.get(
                model, ()
            ):
                if version > loaded_version:
                    found.append((target, model, wall_ms))
                    break
    return found


class WeightsRollout(app_api.Part):
    """Orders engines to load weights, a limited number at a time.

    Only the leader gives orders. They carry a fencing number, so that engines
    refuse the orders of a former leader.
    """

    def __init__(
        self,
        group: replica.Replica,
        engines: api.EngineCalls,
        settings: RolloutSettings,
        aggregator: load_aggregator.LoadAggregator,
        name: str,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        """Initializes the part.

        Args:
            group: The replicated log.
            engines: Calls to engines.
            settings: Limits and delays.
            aggregator: The load of all entries on engines.
            name: The name of this instance, which it gives as the holder of
                its orders.
            time: The clock.
            counts: The process's counters.
        """
        self._group = group
        self._engines = engines
        self._settings = settings
        self._load_aggregator = aggregator
        self._name = name
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._model_by_updating_key: dict[str, str] = {}
        self._load_failures = load_failures.LoadFailures(time, counts)
        # versions that engines in update have accepted an order to load
        self._accepted_version_by_key: dict[str, int] = {}
        self._mean_out_ms = INITIAL_MEAN_OUT_MS
        self._fence = 0
        # whether this process has had a fencing number
        self._has_held = False
        # engines whose refusal of a fencing number led to another one
        self._fencing_keys: set[str] = set()
        self._orders_allowed_from_ms = 0.0
        self._retry_at_ms_by_key: dict[str, float] = {}
        self._failures_by_key: dict[str, int] = {}
        self._held_from_ms_by_key: dict[str, float] = {}

    async def start(self) -> None:
        """Starts updating outdated engines."""
        self._tasks.spawn_with_restarts(self._run, "control:weights")

    async def stop(self) -> None:
        """Stops all updates."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            if not self._group.is_leader():
                self._fence = 0
                self._fencing_keys.clear()
                continue
            try:
                if not self._fence:
                    await self._acquire_fence()
                await self._release_updated_engines()
            except errors.ReplicationError as error:
                _LOG.event("weights_updates_postponed", error=error)
                continue
            self._start_updates()

    async def _acquire_fence(self) -> None:
        """Acquires a new fencing number.

        Orders of another previous holder may still reach engines, so the
        first order has to wait until its lease has expired. A holder that is
        elected again goes on with the wait that it began, and a process that
        has not been the holder before can't know of one.
        """
        reply = await self._group.propose(commands.TakeDirectOrders(self._name))
        if not isinstance(reply, commands.DirectOrdersTaken):
            raise errors.UnavailableError(str(reply))
        self._fence = reply.fence
        now_ms = self._clock.now_ms()
        was_holder = self._has_held and reply.previous_holder == self._name
        self._has_held = True
        if reply.previous_holder and not was_holder:
            self._orders_allowed_from_ms = now_ms + self._settings.lease_ms
        wait_ms = max(0.0, self._orders_allowed_from_ms - now_ms)
        _LOG.event(
            "order_fence_acquired",
            fence=reply.fence,
            previous_holder=reply.previous_holder,
            wait_ms=round(wait_ms),
        )

    async def _release_updated_engines(self) -> None:
        """Releases engines that are held but not outdated any more."""
        fleet = self._group.machine.fleet
        held_targets = [
            target
            for target in fleet.direct_target_by_key.values()
            if target.is_held and target.key not in self._model_by_updating_key
        ]
        if not held_targets:
            return
        outdated_keys = {
            target.key for target, _, _ in find_outdated_engines(fleet)
        }
        released = tuple(
            msgspec.structs.replace(target, is_held=False)
            for target in held_targets
            if target.key not in outdated_keys
        )
        if released:
            await self._group.propose(commands.ChangeDirectTargets(released))

    def _start_updates(self) -> None:
        """Starts updates of the most urgent engines, up to the limit."""
        now_ms = self._clock.now_ms()
        # until orders are nearly allowed, only engines that the previous holder
        # left held are handled, as they may have loaded the weights already
        only_held = (
            now_ms < self._orders_allowed_from_ms - self._settings.hold_ms
        )
        fleet = self._group.machine.fleet
        wall_ms = self._clock.wall_ms()
        outdated_engines = [
            rollout_plan.OutdatedEngine(
                target.key,
                model,
                wall_ms - named_wall_ms,
                self._failures_by_key.get(target.key, 0),
                is_held=target.is_held,
                is_paused=now_ms < self._retry_at_ms_by_key.get(target.key, 0),
            )
            for target, model, named_wall_ms in find_outdated_engines(fleet)
            if target.key not in self._model_by_updating_key
            and (target.is_held or not only_held)
        ]
        free = self._max_out_of_service(fleet) - len(
            self._model_by_updating_key
        )
        for engine in rollout_plan.next_engines(
            outdated_engines, free, self._free_loads_by_model(fleet)
        ):
            if engine.key in self._model_by_updating_key:
                continue
            self._model_by_updating_key[engine.key] = engine.model
            self._tasks.spawn(
                self._update_engine(engine.key, engine.model),
                f"weights:{engine.key}",
            )

    def _free_loads_by_model(self, fleet: view.FleetView) -> dict[str, int]:
        """Returns how many more engines may load suspected weights."""
        free_by_model = {}
        updating_models = list(self._model_by_updating_key.values())
        for model in self._load_failures.failed_models():
            version = fleet.requested_version_by_model.get(model, 0)
            is_loaded = any(
                target.version_by_model.get(model, 0) >= version
                for target in fleet.direct_target_by_key.values()
            )
            max_loads = self._load_failures.max_loads(
                model, version, is_loaded=is_loaded
            )
            if max_loads is not None:
                free_by_model[model] = max_loads - updating_models.count(model)
        return free_by_model

    def _max_out_of_service(self, fleet: view.FleetView) -> int:
        """Returns how many engines may be out of service at one time."""
        reachable = sum(
            not self._failures_by_key.get(target.key, 0)
            for target in fleet.direct_target_by_key.values()
            if target.version_by_model
            and target.state is records.TargetState.LIVE
        )
        return rollout_plan.max_out_of_service(
            reachable, self._mean_out_ms, self._settings.plan
        )

    async def _update_engine(self, key: str, model: str) -> None:
        try:
            await self._try_update(key, model)
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
                await self._release_after_failure(key)
        else:
            self._failures_by_key.pop(key, None)
        finally:
            self._model_by_updating_key.pop(key, None)
            self._accepted_version_by_key.pop(key, None)
            self._held_from_ms_by_key.pop(key, None)

    async def _try_update(self, key: str, model: str) -> None:
        target = self._target(key)
        if target is None:
            return
        started_ms = self._clock.now_ms()
        try:
            version = await self._load_weights(target, model)
        except api.EngineUnreachableError:
            self._record_failed_load(target, model)
            raise
        if not version:
            self._record_failed_load(target, model)
        latest = self._target(key)
        if latest is None or not version:
            return
        version_by_model = dict(latest.version_by_model)
        version_by_model[model] = version
        await self._commit_target(
            msgspec.structs.replace(latest, version_by_model=version_by_model),
            is_held=False,
        )
        held_from_ms = self._held_from_ms_by_key.pop(key, started_ms)
        out_ms = self._clock.now_ms() - held_from_ms
        self._mean_out_ms += MEAN_OUT_WEIGHT * (out_ms - self._mean_out_ms)
        _LOG.event(
            "weights_changed",
            target=target.target_id,
            model=model,
            version=version,
            out_of_service_ms=round(out_ms),
        )

    def _record_failed_load(
        self, target: records.DirectTarget, model: str
    ) -> None:
        """Records that an engine failed, if it was loading weights."""
        version = self._accepted_version_by_key.pop(target.key, 0)
        if version:
            self._load_failures.record_failed(model, version, target.target_id)

    async def _wait_for_prefills(self, target: records.DirectTarget) -> None:
        """Waits until a held engine has prefilled the prompts it received."""
        await self._clock.sleep(self._settings.hold_ms)
        deadline_ms = self._clock.now_ms() + self._settings.max_prefill_wait_ms
        while self._load_aggregator.unread_tokens(target.digest):
            if self._clock.now_ms() >= deadline_ms:
                return
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def _is_held(self, target: records.DirectTarget) -> bool:
        latest = self._target(target.key)
        return latest is not None and latest.is_held

    def _target(self, key: str) -> records.DirectTarget | None:
        fleet = self._group.machine.fleet
        return fleet.direct_target_by_key.get(key)

    async def _set_held(self, key: str, *, is_held: bool) -> None:
        """Sets whether an engine is held."""
        target = self._target(key)
        if target is None or target.is_held == is_held:
            return
        await self._commit_target(target, is_held=is_held)
        if is_held:
            self._held_from_ms_by_key[key] = self._clock.now_ms()

    async def _release_after_failure(self, key: str) -> None:
        """Releases an engine that could not be updated."""
        try:
            await self._set_held(key, is_held=False)
        except errors.ReplicationError as error:
            _LOG.warning("engine_release_failed", target=key, error=error)

    async def _commit_target(
        self, target: records.DirectTarget, *, is_held: bool
    ) -> None:
        changed = msgspec.structs.replace(target, is_held=is_held)
        await self._group.propose(commands.ChangeDirectTargets((changed,)))

    async def _load_weights(
        self, target: records.DirectTarget, model: str
    ) -> int:
        """Orders an engine to load weights and waits until it has.

        An order without an answer may have been accepted, or may still be
        carried out. It is sent again with the same sequence number, so that
        the engine carries out only one of the two. The engine is held from
        shortly before the order until the load ends, and serves with its old
        weights otherwise.

        Returns:
            The loaded version, or 0 if the target is gone.
        """
        started_ms = self._clock.now_ms()
        deadline_ms = (
            max(started_ms, self._orders_allowed_from_ms) + LOAD_TIMEOUT_MS
        )
        next_order_ms = 0.0
        while self._clock.now_ms() < min(deadline_ms, started_ms + MAX_LOAD_MS):
            # before the hold, as an unreachable engine must not be held
            report = await self._engines.fetch_report(target)
            named_version = (
                self._group.machine.fleet.requested_version_by_model.get(
                    model, 0
                )
            )
            version = report.version_by_model.get(model, 0)
            if version > named_version:
                raise api.EngineUnreachableError(
                    f"it reports weights {version}, which nobody has named"
                )
            if version >= named_version and not report.is_busy:
                return version
            if self._target(target.key) is None:
                return 0
            if report.is_busy:
                deadline_ms = self._clock.now_ms() + LOAD_TIMEOUT_MS
            next_order_ms = max(next_order_ms, self._orders_allowed_from_ms)
            time_to_order_ms = next_order_ms - self._clock.now_ms()
            must_hold = time_to_order_ms <= self._settings.hold_ms
            if must_hold and not report.is_busy and not self._is_held(target):
                await self._set_held(target.key, is_held=True)
                await self._wait_for_prefills(target)
                continue
            await self._set_held(
                target.key, is_held=report.is_busy or must_hold
            )
            if report.is_busy or time_to_order_ms > 0:
                await self._clock.sleep(REPORT_INTERVAL_MS)
                continue
            result = await self._send_order(
                target, model, named_version, report.sequence
            )
            if result is api.OrderResult.FENCED:
                self._handle_fenced(target.key)
            self._fencing_keys.discard(target.key)
            if result in (api.OrderResult.GONE, api.OrderResult.REFUSED):
                raise api.EngineUnreachableError(result.value)
            report_delay_ms, order_pause_ms = (
                float(REPORT_LAG_MS),
                float(REPORT_LAG_MS),
            )
            if result is api.OrderResult.ACCEPTED:
                report_delay_ms = FIRST_REPORT_DELAY_MS
                deadline_ms = self._clock.now_ms() + LOAD_TIMEOUT_MS
                self._accepted_version_by_key[target.key] = named_version
            elif result is api.OrderResult.UNKNOWN:
                order_pause_ms = UNANSWERED_ORDER_PAUSE_MS
            await self._clock.sleep(report_delay_ms)
            next_order_ms = self._clock.now_ms() + order_pause_ms
        raise api.EngineUnreachableError("the load did not finish in time")

    def _handle_fenced(self, key: str) -> NoReturn:
        """Gives up an order whose fencing number an engine refused.

        Another number is acquired, which is higher than all before. An engine
        that refuses that one too has seen no higher one.

        Raises:
            _OrdersLostError: If another fencing number is needed.
            EngineUnreachableError: If the engine refuses any number.
        """
        if key in self._fencing_keys:
            raise api.EngineUnreachableError("it refuses any fencing number")
        self._fencing_keys.add(key)
        self._fence = 0
        raise _OrdersLostError("the engine has seen a higher fencing number")

    async def _send_order(
        self,
        target: records.DirectTarget,
        model: str,
        version: int,
        sequence: int,
    ) -> api.OrderResult:
        while self._clock.now_ms() < self._orders_allowed_from_ms:
            await self._clock.sleep(CHECK_INTERVAL_MS)
        # no await may stand between this check and the order, as leadership
        # could be lost meanwhile
        if not self._fence or not self._group.is_leader():
            raise _OrdersLostError("this instance is no longer the leader")
        order = api.WeightsOrder(
            model, version, self._name, self._fence, sequence
        )
        result = await self._engines.send_order(target, order)
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


__all__ = ["RolloutSettings", "WeightsRollout", "find_outdated_engines"]
