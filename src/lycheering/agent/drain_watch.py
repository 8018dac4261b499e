"""Drains or ends an agent when the fleet view asks for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.fleet import records
from lycheering.telemetry import logs

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from lycheering.agent import context as contexts
    from lycheering.agent import leave_export
    from lycheering.wire import api as wire_api

_LOG = logs.get("drain_watch")


class DrainWatch(app_api.Part):
    """Applies the drain state of the agent's own target in the fleet view.

    A drained target gets no new requests. For a target that is leaving, the
    whole agent stops.
    """

    def __init__(
        self,
        context: contexts.Context,
        identity: wire_api.Identity,
        stop_requested: asyncio.Event,
        begin_drain: Callable[[], None],
        export: leave_export.LeaveExport | None = None,
    ) -> None:
        self._context = context
        self._identity = identity
        self._stop_requested = stop_requested
        self._begin_drain = begin_drain
        self._export = export

    async def start(self) -> None:
        """Applies the present fleet view."""
        self.apply_view()

    async def drain(self) -> None:
        """Starts to drain.

        Queued requests are handed back first, so that entries can send them
        elsewhere while the other parts drain.
        """
        self._begin_drain()
        self._begin_export()

    async def stop(self) -> None:
        """Does nothing; there is nothing to release."""

    def apply_view(self) -> None:
        """Applies the target's limits and drain state from the fleet view."""
        context = self._context
        context.refresh_limits()
        if self._stop_requested.is_set():
            return
        if self._is_leaving():
            _LOG.event("target_leaving")
            context.admission.start_draining()
            self._stop_requested.set()
            return
        is_drained = context.holder.fleet.boolean_option(
            "target.drained", context.subject
        )
        if is_drained and not context.admission.is_draining:
            _LOG.event("target_drained")
            context.admission.start_draining()
            self._begin_export()
        elif not is_drained and context.admission.is_draining:
            _LOG.event("target_undrained")
            context.admission.is_draining = False

    def _begin_export(self) -> None:
        if self._export is not None:
            self._export.begin()

    def _is_leaving(self) -> bool:
        fleet = self._context.holder.fleet
        target = fleet.target_by_name.get(self._identity.name)
        return (
            target is not None
            and target.agent_incarnation == self._identity.incarnation
            and target.state is records.TargetState.LEAVING
        )


__all__ = ["DrainWatch"]
