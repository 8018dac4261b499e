"""Polls the list of targets for the whole fleet on the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.app import api as app_api
from lycheering.control import commands
from lycheering.control.direct import api
from lycheering.control.direct import store_watcher
from lycheering.replication import errors
from lycheering.telemetry import logs
from lycheering.telemetry import repeated_warning

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lycheering import clock
    from lycheering.control import replica
    from lycheering.fleet import records
    from lycheering.routes import api as route_api
    from lycheering.telemetry import counters

IDLE_CHECK_INTERVAL_MS = 100

_LOG = logs.get("target_list")


_WITHOUT_MODEL = repeated_warning.RepeatedWarning(_LOG, "target_without_model")


def usable_targets(
    listed: Iterable[records.DirectTarget], table: route_api.RouteTable
) -> list[records.DirectTarget]:
    """Returns the targets on a list without engines that name no model.

    The weights of such an engine are not known, so nothing may run there.

    Args:
        listed: The targets on the list.
        table: The route table, which says what engines serve.
    """
    models_by_service = {
        service.name: frozenset(service.engine.models)
        for service in table.services
        if service.engine is not None
    }
    usable = []
    for target in listed:
        served = models_by_service.get(target.service)
        named = target.version_by_model.keys()
        if served is not None and not (named & served if served else named):
            _WITHOUT_MODEL.warn(
                target.target_id,
                target=target.target_id,
                service=target.service,
            )
            continue
        usable.append(target)
    return usable


def compute_target_changes(
    active_by_key: Mapping[str, records.DirectTarget],
    listed: Iterable[records.DirectTarget],
    named_version_by_model: Mapping[str, int],
) -> commands.ChangeDirectTargets:
    """Returns the changes that make the active targets equal the listed ones.

    Weights versions never decrease, as the list may lag behind the reports of
    engines, and never rise above the version that is named, as nobody has
    ordered a higher one. Whether a target is held is not on the list and stays
    unchanged.

    Args:
        active_by_key: The active targets.
        listed: The targets on the list.
        named_version_by_model: The latest weights version named for each model.
    """
    listed_by_key = {target.key: target for target in listed}
    put = []
    for key, target in listed_by_key.items():
        active = active_by_key.get(key)
        merged = target
        if active is not None:
            merged = _merge(active, target, named_version_by_model)
        if merged != active:
            put.append(merged)
    removed = [key for key in active_by_key if key not in listed_by_key]
    return commands.ChangeDirectTargets(tuple(put), tuple(removed))


def _merge(
    active: records.DirectTarget,
    listed: records.DirectTarget,
    named_version_by_model: Mapping[str, int],
) -> records.DirectTarget:
    version_by_model = {}
    for model, version in listed.version_by_model.items():
        known = active.version_by_model.get(model, version)
        named = named_version_by_model.get(model, 0)
        version_by_model[model] = (
            known if version > named else max(version, known)
        )
    return msgspec.structs.replace(
        listed, version_by_model=version_by_model, is_held=active.is_held
    )


class TargetListPoller(app_api.Part):
    """Keeps the active targets equal to the list."""

    def __init__(
        self,
        group: replica.Replica,
        listing: api.TargetList,
        interval_ms: float,
        time: clock.Clock,
        counts: counters.Counters,
        observe: Callable[[Iterable[records.DirectTarget]], None],
    ) -> None:
        """Initializes the part.

        Args:
            group: The replicated log.
            listing: The list of targets.
            interval_ms: Time from the start of one read to the next.
            time: The clock.
            counts: The process's counters.
            observe: Called regularly with the active targets, also on
                instances that do not lead.
        """
        self._group = group
        self._list = listing
        self._interval_ms = interval_ms
        self._clock = time
        self._counters = counts
        self._observe = observe
        self._tasks = app_api.TaskOwner()
        self._is_failing = False

    async def start(self) -> None:
        """Starts polling."""
        self._tasks.spawn_with_restarts(self._run, "control:target-list")

    async def stop(self) -> None:
        """Stops polling."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            # without a route table, no entry uses the targets yet
            fleet = self._group.machine.fleet
            self._observe(fleet.direct_target_by_key.values())
            table = fleet.route_table
            if not self._group.is_leader() or table is None:
                await self._clock.sleep(IDLE_CHECK_INTERVAL_MS)
                continue
            started_ms = self._clock.now_ms()
            try:
                await self._update_targets()
            except (api.ListUnavailableError, errors.ReplicationError) as error:
                self._counters.increment("target_list.failed")
                if not self._is_failing:
                    _LOG.warning("target_list_unavailable", error=error)
                self._is_failing = True
            else:
                if self._is_failing:
                    _LOG.event("target_list_recovered")
                self._is_failing = False
            elapsed_ms = self._clock.now_ms() - started_ms
            await self._clock.sleep(max(0.0, self._interval_ms - elapsed_ms))

    async def _update_targets(self) -> None:
        listed = await self._list.read()
        fleet = self._group.machine.fleet
        if fleet.route_table is not None:
            listed = usable_targets(listed, fleet.route_table)
        store_services = store_watcher.store_by_service(fleet)
        active_by_key = {
            key: target
            for key, target in fleet.direct_target_by_key.items()
            if target.service not in store_services
        }
        change = compute_target_changes(
            active_by_key, listed, fleet.requested_version_by_model
        )
        if not change.put and not change.removed:
            return
        for target in change.put:
            _LOG.event(
                "target_listed",
                target=target.target_id,
                service=target.service,
                state=target.state.value,
                version=target.software_version,
                ip=target.ip,
                port=target.port,
            )
        for key in change.removed:
            _LOG.event("target_unlisted", target=active_by_key[key].target_id)
        await self._group.propose(change)


__all__ = ["TargetListPoller", "compute_target_changes"]
