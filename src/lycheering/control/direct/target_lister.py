"""Reads the list of targets for the whole fleet, while this leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.app import api as app_api
from lycheering.control import commands
from lycheering.control.direct import api
from lycheering.control.direct import store_watch
from lycheering.replication import errors
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lycheering import clock
    from lycheering.control import replica
    from lycheering.fleet import records
    from lycheering.telemetry import counters

FOLLOWER_POLL_MS = 100

_LOG = logs.get("target_list")


def difference(
    held_by_key: Mapping[str, records.DirectTarget],
    listed: Iterable[records.DirectTarget],
) -> commands.ChangeDirectTargets:
    """Returns what makes the targets held equal to those listed.

    Weights versions never go back, as the list may lag behind reports, and
    what the fleet itself keeps of a target stays.

    Args:
        held_by_key: The targets in force.
        listed: The targets of the list.
    """
    listed_by_key = {target.key: target for target in listed}
    put = []
    for key, target in listed_by_key.items():
        held = held_by_key.get(key)
        merged = target if held is None else _merged(held, target)
        if merged != held:
            put.append(merged)
    removed = [key for key in held_by_key if key not in listed_by_key]
    return commands.ChangeDirectTargets(tuple(put), tuple(removed))


def _merged(
    held: records.DirectTarget, listed: records.DirectTarget
) -> records.DirectTarget:
    version_by_model = {
        model: max(version, held.version_by_model.get(model, 0))
        for model, version in listed.version_by_model.items()
    }
    return msgspec.structs.replace(
        listed, version_by_model=version_by_model, is_held=held.is_held
    )


class TargetLister(app_api.Part):
    """Keeps the targets in force equal to the list."""

    def __init__(
        self,
        group: replica.Replica,
        listing: api.TargetList,
        interval_ms: float,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        """Prepares the part.

        Args:
            group: The replicated log.
            listing: The list.
            interval_ms: Time between two readings.
            time: The clock.
            counts: The process's counters.
        """
        self._group = group
        self._list = listing
        self._interval_ms = interval_ms
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._is_failing = False

    async def start(self) -> None:
        """Begins to read."""
        self._tasks.spawn_lasting(self._run, "control:target-list")

    async def stop(self) -> None:
        """Ends it."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            # before the first route table nobody uses the targets
            table = self._group.machine.fleet.route_table
            if not self._group.is_leader() or table is None:
                await self._clock.sleep(FOLLOWER_POLL_MS)
                continue
            began_ms = self._clock.now_ms()
            try:
                await self._read_once()
            except (api.ListUnavailableError, errors.ReplicationError) as error:
                self._counters.increment("target_list.failed")
                if not self._is_failing:
                    _LOG.warning("target_list_lost", error=error)
                self._is_failing = True
            else:
                if self._is_failing:
                    _LOG.event("target_list_regained")
                self._is_failing = False
            spent_ms = self._clock.now_ms() - began_ms
            await self._clock.sleep(max(0.0, self._interval_ms - spent_ms))

    async def _read_once(self) -> None:
        listed = await self._list.read()
        fleet = self._group.machine.fleet
        stores = store_watch.store_services(fleet)
        held_by_key = {
            key: target
            for key, target in fleet.direct_target_by_key.items()
            if target.service not in stores
        }
        change = difference(held_by_key, listed)
        if not change.put and not change.removed:
            return
        for target in change.put:
            _LOG.event(
                "target_listed",
                target=target.target_id,
                service=target.service,
                state=target.state.value,
                ip=target.ip,
                port=target.port,
            )
        for key in change.removed:
            _LOG.event("target_unlisted", target=held_by_key[key].target_id)
        await self._group.propose(change)


__all__ = ["TargetLister", "difference"]
