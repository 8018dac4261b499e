"""Keeps the stores of cache entries among the targets while they answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.control import commands
from lycheering.control.direct import api
from lycheering.fleet import records
from lycheering.replication import errors
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import replica
    from lycheering.fleet import view
    from lycheering.routes import api as route_api
    from lycheering.telemetry import counters

INTERVAL_MS = 200
FOLLOWER_POLL_MS = 100
# calls in a row without an answer after which a store is not used
MOST_FAILURES = 2

_LOG = logs.get("store_watch")


def store_services(fleet: view.FleetView) -> dict[str, route_api.StoreTraits]:
    """Returns the store of each service that is one."""
    table = fleet.route_table
    if table is None:
        return {}
    return {
        service.name: service.store
        for service in table.services
        if service.store is not None
    }


def difference(
    fleet: view.FleetView, run_by_service: dict[str, int | None]
) -> commands.ChangeDirectTargets:
    """Returns what makes the stores in force equal to those that answer.

    A store that starts again is another target, as it has lost all it held.

    Args:
        fleet: What is in force.
        run_by_service: The run of each store that was asked, None for one
            that does not answer. Others stay as they are.
    """
    stores = store_services(fleet)
    put = []
    removed = []
    for service, run in run_by_service.items():
        store = stores.get(service)
        wanted = None
        if store is not None and run is not None:
            wanted = _target(service, store, run)
        held = {
            key
            for key, target in fleet.direct_target_by_key.items()
            if target.service == service and store is not None
        }
        if wanted is not None and wanted.key not in held:
            put.append(wanted)
        removed += sorted(held - {wanted.key if wanted else ""})
    return commands.ChangeDirectTargets(tuple(put), tuple(removed))


def _target(
    service: str, store: route_api.StoreTraits, run: int
) -> records.DirectTarget:
    return records.DirectTarget(
        target_id=f"{service}@{store.ip}:{store.port}",
        service=service,
        ip=store.ip,
        port=store.port,
        failure_domain=store.failure_domain,
        slots=0,
        born_ms=run,
    )


class StoreWatch(app_api.Part):
    """Asks each store again and again, while this leads."""

    def __init__(
        self,
        group: replica.Replica,
        stores: api.StoreCalls,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        """Prepares the part.

        Args:
            group: The replicated log.
            stores: Calls to stores.
            time: The clock.
            counts: The process's counters.
        """
        self._group = group
        self._stores = stores
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._watched: set[str] = set()
        self._run_by_service: dict[str, int | None] = {}

    async def start(self) -> None:
        """Begins to ask."""
        self._tasks.spawn_lasting(self._run, "control:store-watch")

    async def stop(self) -> None:
        """Ends it."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(FOLLOWER_POLL_MS)
            if not self._group.is_leader():
                continue
            fleet = self._group.machine.fleet
            for service in store_services(fleet):
                if service not in self._watched:
                    self._watched.add(service)
                    self._tasks.spawn(self._watch(service), f"store:{service}")
            change = difference(fleet, self._run_by_service)
            if not change.put and not change.removed:
                continue
            try:
                await self._group.propose(change)
            except errors.ReplicationError as error:
                _LOG.event("stores_wait", error=error)

    async def _watch(self, service: str) -> None:
        """Asks one store until it is taken out or this does not lead."""
        failures = 0
        try:
            while self._group.is_leader():
                store = store_services(self._group.machine.fleet).get(service)
                if store is None:
                    return
                try:
                    run = await self._stores.run_of(store.ip, store.port)
                except api.StoreUnreachableError as error:
                    failures += 1
                    self._counters.increment("store.unreachable")
                    if failures == MOST_FAILURES:
                        _LOG.warning("store_lost", store=service, error=error)
                        self._run_by_service[service] = None
                else:
                    if self._run_by_service.get(service) != run:
                        _LOG.event("store_reached", store=service, run=run)
                    self._run_by_service[service] = run
                    failures = 0
                await self._clock.sleep(INTERVAL_MS)
        finally:
            self._run_by_service.pop(service, None)
            self._watched.discard(service)


__all__ = ["StoreWatch", "difference", "store_services"]
