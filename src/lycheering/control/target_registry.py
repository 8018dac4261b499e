"""What the log decides on targets: who registered and who left."""

from __future__ import annotations

import msgspec

from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.fleet import view

MAX_TARGETS = 20_000
MAX_SUPERSEDED = 8


class Revival(msgspec.Struct, frozen=True, array_like=True):
    """A new incarnation that replaced one that was leaving or gone.

    Attributes:
        target: The target's name.
        at_ms: Wall-clock time at the leader.
    """

    target: str
    at_ms: int


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation whose agent said that it leaves.

    Attributes:
        target: The target's name.
        agent_incarnation: The incarnation.
    """

    target: str
    agent_incarnation: str


class Succession(msgspec.Struct, frozen=True, array_like=True):
    """Incarnations of a target's agent that another one replaced.

    Attributes:
        target: The target's name.
        agent_incarnations: The incarnations, oldest first.
    """

    target: str
    agent_incarnations: tuple[str, ...]


class TargetRegistrySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """What is kept on targets beside the fleet view.

    Attributes:
        revivals: When targets last came back.
        departures: Which incarnations left by themselves.
        successions: Which incarnations were replaced.
    """

    revivals: tuple[Revival, ...]
    departures: tuple[Departure, ...]
    successions: tuple[Succession, ...]


class TargetRegistry:
    """Applies the rules by which targets join, leave and come back.

    An incarnation that said it leaves, or that the platform listed as
    leaving, never becomes live again; a new incarnation does. One that was
    held for gone while it was cut off may register again. An incarnation
    that another one replaced is never registered again, so that an agent
    that was frozen meanwhile takes nothing away from its successor.

    Attributes:
        revived_ms_by_target: When targets last came back.
    """

    def __init__(self) -> None:
        self.revived_ms_by_target: dict[str, int] = {}
        self._departed_by_target: dict[str, str] = {}
        self._superseded_by_target: dict[str, tuple[str, ...]] = {}

    def snapshot(self) -> TargetRegistrySnapshot:
        """Returns what is kept beside the fleet view."""
        revivals = self.revived_ms_by_target.items()
        departures = self._departed_by_target.items()
        return TargetRegistrySnapshot(
            tuple(Revival(name, at_ms) for name, at_ms in revivals),
            tuple(Departure(name, who) for name, who in departures),
            tuple(
                Succession(name, incarnations)
                for name, incarnations in self._superseded_by_target.items()
            ),
        )

    def restore(self, snapshot: TargetRegistrySnapshot) -> None:
        """Replaces what is kept."""
        self.revived_ms_by_target = {
            item.target: item.at_ms for item in snapshot.revivals
        }
        self._departed_by_target = {
            item.target: item.agent_incarnation for item in snapshot.departures
        }
        self._superseded_by_target = {
            item.target: item.agent_incarnations
            for item in snapshot.successions
        }

    def register(
        self, fleet: view.FleetView, target: records.Target, at_ms: int
    ) -> None:
        """Puts a target into the fleet view."""
        known = fleet.target_by_name.get(target.name)
        if known is None and len(fleet.target_by_name) >= MAX_TARGETS:
            return
        superseded = self._superseded_by_target.get(target.name, ())
        if target.agent_incarnation in superseded:
            return
        state = self._state_of(known, target, at_ms)
        wanted = msgspec.structs.replace(target, state=state)
        if wanted != known:
            fleet.make(changes.TargetPut(wanted), by_operator=False)

    def _state_of(
        self,
        known: records.Target | None,
        target: records.Target,
        at_ms: int,
    ) -> records.TargetState:
        if known is None:
            return records.TargetState.LIVE
        if known.agent_incarnation != target.agent_incarnation:
            self._departed_by_target.pop(target.name, None)
            before = self._superseded_by_target.get(target.name, ())
            now = (*before, known.agent_incarnation)
            self._superseded_by_target[target.name] = now[-MAX_SUPERSEDED:]
            if known.state != records.TargetState.LIVE:
                self.revived_ms_by_target[target.name] = at_ms
            return records.TargetState.LIVE
        departed = self._departed_by_target.get(target.name)
        if departed == target.agent_incarnation:
            return known.state
        if known.state == records.TargetState.GONE:
            return records.TargetState.LIVE
        return known.state

    def mark(
        self,
        fleet: view.FleetView,
        name: str,
        agent_incarnation: str,
        state: records.TargetState,
        *,
        departed: bool,
    ) -> None:
        """Changes a target's state, if it is still that incarnation."""
        known = fleet.target_by_name.get(name)
        if known is None or known.agent_incarnation != agent_incarnation:
            return
        if departed:
            self._departed_by_target[name] = agent_incarnation
        goes_back = (
            known.state == records.TargetState.GONE
            or state == records.TargetState.LIVE
        )
        if goes_back or known.state == state:
            return
        marked = msgspec.structs.replace(known, state=state)
        fleet.make(changes.TargetPut(marked), by_operator=False)


__all__ = [
    "MAX_TARGETS",
    "Departure",
    "Revival",
    "Succession",
    "TargetRegistry",
    "TargetRegistrySnapshot",
]
