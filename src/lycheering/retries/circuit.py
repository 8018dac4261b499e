"""Keeps work away from targets that failed lately."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock

FIRST_OPEN_MS = 200.0
MAX_OPEN_MS = 5_000.0


@dataclasses.dataclass
class _Circuit:
    """What is known of a failing target.

    Attributes:
        failures: Failures in a row.
        closed_until_ms: Until when nothing is sent to it by choice.
        probe_sent_ms: When the one request that tries it out was sent.
    """

    failures: int = 0
    closed_until_ms: float = 0.0
    probe_sent_ms: float | None = None


class Circuits:
    """The failing targets of one process."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._circuit_by_target: dict[str, _Circuit] = {}

    def usable(self, target: str) -> bool:
        """Returns whether a target may get a request now."""
        circuit = self._circuit_by_target.get(target)
        if circuit is None:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < circuit.closed_until_ms:
            return False
        probe_ms = circuit.probe_sent_ms
        return probe_ms is None or now_ms - probe_ms > MAX_OPEN_MS

    def sent(self, target: str) -> None:
        """Counts a request to a target, the probe if it was failing."""
        circuit = self._circuit_by_target.get(target)
        if circuit is not None:
            circuit.probe_sent_ms = self._clock.now_ms()

    def succeeded(self, target: str) -> None:
        """Counts a sign of life."""
        self._circuit_by_target.pop(target, None)

    def failed(self, target: str) -> None:
        """Counts a failure; the pause doubles with each in a row."""
        circuit = self._circuit_by_target.setdefault(target, _Circuit())
        circuit.failures += 1
        longest = FIRST_OPEN_MS * 2 ** min(circuit.failures - 1, 10)
        pause_ms = min(MAX_OPEN_MS, longest)
        circuit.closed_until_ms = self._clock.now_ms() + pause_ms
        circuit.probe_sent_ms = None

    def keep_only(self, names: set[str]) -> None:
        """Forgets targets that left."""
        for target in list(self._circuit_by_target):
            if target not in names:
                del self._circuit_by_target[target]


__all__ = ["FIRST_OPEN_MS", "MAX_OPEN_MS", "Circuits"]
