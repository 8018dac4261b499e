"""Rules for the registration and the states of targets."""

from __future__ import annotations

import msgspec

from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.fleet import view

MAX_TARGETS = 20_000
MAX_SUPERSEDED = 8


class Reactivation(msgspec.Struct, frozen=True, array_like=True):
    """The time at which a target that was leaving or gone came back.

    Attributes:
        target: The target's name.
        at_ms: Wall-clock time at the leader in milliseconds.
    """

    target: str
    at_ms: int


class Deregistration(msgspec.Struct, frozen=True, array_like=True):
    """The last agent incarnation that deregistered for a target.

    Attributes:
        target: The target's name.
        agent_incarnation: The agent incarnation.
    """

    target: str
    agent_incarnation: str


class SupersededIncarnations(msgspec.Struct, frozen=True, array_like=True):
    """The incarnations of a target's agent that were replaced.

    Attributes:
        target: The target's name.
        agent_incarnations: The incarnations, oldest first.
    """

    target: str
    agent_incarnations: tuple[str, ...]


class TargetRegistrySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The target state that is not part of the fleet view.

    Attributes:
        reactivations: When targets last came back.
        deregistrations: The agent incarnations that deregistered.
        superseded: The agent incarnations that were replaced.
    """

    reactivations: tuple[Reactivation, ...]
    deregistrations: tuple[Deregistration, ...]
    superseded: tuple[SupersededIncarnations, ...]


class TargetRegistry:
    """Applies the rules by which targets join, leave and come back.

    An agent incarnation that deregistered, or that the platform listed as
    leaving, never becomes live again; only a new incarnation does. An
    incarnation that was considered gone during a network partition may
    register again. An incarnation that was replaced can't register again, so
    that an agent that was frozen meanwhile doesn't displace its successor.

    Attributes:
        reactivated_ms_by_target: The wall-clock time at which a target that was
            leaving or gone last came back, in milliseconds.
    """

    def __init__(self) -> None:
        self.reactivated_ms_by_target: dict[str, int] = {}
        self._deregistered_incarnation_by_target: dict[str, str] = {}
        self._superseded_by_target: dict[str, tuple[str, ...]] = {}

    def snapshot(self) -> TargetRegistrySnapshot:
        """Returns the target state that is not part of the fleet view."""
        reactivations = self.reactivated_ms_by_target.items()
        deregistrations = self._deregistered_incarnation_by_target.items()
        return TargetRegistrySnapshot(
            tuple(Reactivation(name, at_ms) for name, at_ms in reactivations),
            tuple(
                Deregistration(name, incarnation)
                for name, incarnation in deregistrations
            ),
            tuple(
                SupersededIncarnations(name, incarnations)
                for name, incarnations in self._superseded_by_target.items()
            ),
        )

    def restore(self, snapshot: TargetRegistrySnapshot) -> None:
        """Replaces the state by a snapshot."""
        self.reactivated_ms_by_target = {
            item.target: item.at_ms for item in snapshot.reactivations
        }
        self._deregistered_incarnation_by_target = {
            item.target: item.agent_incarnation
            for item in snapshot.deregistrations
        }
        self._superseded_by_target = {
            item.target: item.agent_incarnations for item in snapshot.superseded
        }

    def register(
        self, fleet: view.FleetView, target: records.Target, at_ms: int
    ) -> None:
        """Registers a target in the fleet view."""
        known = fleet.target_by_name.get(target.name)
        if known is None and len(fleet.target_by_name) >= MAX_TARGETS:
            return
        superseded = self._superseded_by_target.get(target.name, ())
        if target.agent_incarnation in superseded:
            return
        state = self._next_state(known, target, at_ms)
        registered = msgspec.structs.replace(target, state=state)
        if registered != known:
            fleet.add_change(changes.TargetPut(registered), by_operator=False)

    def _next_state(
        self,
        known: records.Target | None,
        target: records.Target,
        at_ms: int,
    ) -> records.TargetState:
        if known is None:
            return records.TargetState.LIVE
        if known.agent_incarnation != target.agent_incarnation:
            self._deregistered_incarnation_by_target.pop(target.name, None)
            earlier = self._superseded_by_target.get(target.name, ())
            incarnations = (*earlier, known.agent_incarnation)
            self._superseded_by_target[target.name] = incarnations[
                -MAX_SUPERSEDED:
            ]
            if known.state != records.TargetState.LIVE:
                self.reactivated_ms_by_target[target.name] = at_ms
            return records.TargetState.LIVE
        deregistered = self._deregistered_incarnation_by_target.get(target.name)
        if deregistered == target.agent_incarnation:
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
        has_deregistered: bool,
    ) -> None:
        """Changes a target's state if its agent is still that incarnation."""
        known = fleet.target_by_name.get(name)
        if known is None or known.agent_incarnation != agent_incarnation:
            return
        if has_deregistered:
            self._deregistered_incarnation_by_target[name] = agent_incarnation
        is_backward = (
            known.state == records.TargetState.GONE
            or state == records.TargetState.LIVE
        )
        if is_backward or known.state == state:
            return
        marked = msgspec.structs.replace(known, state=state)
        fleet.add_change(changes.TargetPut(marked), by_operator=False)


__all__ = [
    "MAX_TARGETS",
    "Deregistration",
    "Reactivation",
    "SupersededIncarnations",
    "TargetRegistry",
    "TargetRegistrySnapshot",
]
