"""Tracks recent departures of other targets of the same model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.fleet import records
from lycheering.fleet import view

if TYPE_CHECKING:
    from lycheering import clock as clocks
    from lycheering.fleet import view_holder

RECENT_DEPARTURE_MS = 300_000.0


class PeerDepartures:
    """Watches the fleet view for targets of one model that leave.

    A leaving target exports the prefixes of single teams to the KV store.
    The other targets need them shortly after, and hardly ever at other times.
    """

    def __init__(
        self,
        holder: view_holder.ViewHolder,
        clock: clocks.Clock,
        subject: view.Subject,
    ) -> None:
        self._holder = holder
        self._clock = clock
        self._subject = subject
        self._leaving_names: frozenset[str] = frozenset()
        self._last_departure_ms = float("-inf")

    @property
    def has_recent(self) -> bool:
        """Whether another target left within `RECENT_DEPARTURE_MS`."""
        return (
            self._clock.now_ms() - self._last_departure_ms < RECENT_DEPARTURE_MS
        )

    def apply_view(self) -> None:
        """Updates the set of leaving targets from the fleet view."""
        fleet = self._holder.fleet
        leaving_names = frozenset(
            target.name
            for target in fleet.target_by_name.values()
            if target.model == self._subject.model
            and target.name != self._subject.target
            and _is_leaving(fleet, target)
        )
        if leaving_names - self._leaving_names:
            self._last_departure_ms = self._clock.now_ms()
        self._leaving_names = leaving_names


def _is_leaving(fleet: view.FleetView, target: records.Target) -> bool:
    if target.state is not records.TargetState.LIVE:
        return True
    return fleet.boolean_option("target.drained", view.target_subject(target))


__all__ = ["RECENT_DEPARTURE_MS", "PeerDepartures"]
