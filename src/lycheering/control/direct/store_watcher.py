"""Keeps each store of cache entries among the targets while it answers."""

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

PROBE_INTERVAL_MS = 200
CHECK_INTERVAL_MS = 100
# consecutive failed calls after which a store is removed from the targets
MAX_FAILURES = 2

_LOG = logs.get("store_watch")


def store_by_service(fleet: view.FleetView) -> dict[str, route_api.CacheStore]:
    """Returns the store behind each service that is served by one."""
    table = fleet.route_table
    if table is None:
        return {}
    return {
        service.name: service.store
        for service in table.services
        if service.store is not None
    }


def compute_store_changes(
    fleet: view.FleetView, run_by_service: dict[str, int | None]
) -> commands.ChangeDirectTargets:
    """Returns the changes that limit the active stores to those that answer.

    A store that was restarted is a new target, as it lost its content.

    Args:
        fleet: The active configuration and targets.
        run_by_service: The run number of each store that was probed, None if
            it does not answer. Stores that were not probed stay unchanged.
    """
    stores = store_by_service(fleet)
    put = []
    removed = []
    for service, run in run_by_service.items():
        store = stores.get(service)
        expected = None
        if store is not None and run is not None:
            expected = _target(service, store, run)
        active_keys = {
            key
            for key, target in fleet.direct_target_by_key.items()
            if target.service == service and store is not None
        }
        if expected is not None and expected.key not in active_keys:
            put.append(expected)
        removed += sorted(active_keys - {expected.key if expected else ""})
    return commands.ChangeDirectTargets(tuple(put), tuple(removed))


def _target(
    service: str, store: route_api.CacheStore, run: int
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


class StoreWatcher(app_api.Part):
    """Probes each store periodically while this instance is the leader."""

    def __init__(
        self,
        group: replica.Replica,
        stores: api.StoreCalls,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        """Initializes the part.

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
        self._probed_services: set[str] = set()
        self._run_by_service: dict[str, int | None] = {}

    async def start(self) -> None:
        """Starts probing."""
        self._tasks.spawn_with_restarts(self._run, "control:store-watch")

    async def stop(self) -> None:
        """Stops probing."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            if not self._group.is_leader():
                continue
            fleet = self._group.machine.fleet
            for service in store_by_service(fleet):
                if service not in self._probed_services:
                    self._probed_services.add(service)
                    self._tasks.spawn(
                        self._probe_store(service), f"store:{service}"
                    )
            change = compute_store_changes(fleet, self._run_by_service)
            if not change.put and not change.removed:
                continue
            try:
                await self._group.propose(change)
            except errors.ReplicationError as error:
                _LOG.event("store_changes_postponed", error=error)

    async def _probe_store(self, service: str) -> None:
        """Probes a store while it is configured and this instance leads."""
        failures = 0
        try:
            while self._group.is_leader():
                store = store_by_service(self._group.machine.fleet).get(service)
                if store is None:
                    return
                try:
                    run = await self._stores.read_run_number(
                        store.ip, store.port
                    )
                except api.StoreUnreachableError as error:
                    failures += 1
                    self._counters.increment("store.unreachable")
                    if failures == MAX_FAILURES:
                        _LOG.warning(
                            "store_unreachable", store=service, error=error
                        )
                        self._run_by_service[service] = None
                else:
                    if self._run_by_service.get(service) != run:
                        _LOG.event("store_reached", store=service, run=run)
                    self._run_by_service[service] = run
                    failures = 0
                await self._clock.sleep(PROBE_INTERVAL_MS)
        finally:
            self._run_by_service.pop(service, None)
            self._probed_services.discard(service)


__all__ = ["StoreWatcher", "compute_store_changes", "store_by_service"]
