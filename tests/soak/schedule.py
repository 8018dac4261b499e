"""Schedules of faults, drawn from a seed, and shorter ones to try."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from tests.support import fault_proxy

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

LINK_FAULTS = ("cut", "half_cut", "delay", "trickle", "silence", "reset")
PROCESS_FAULTS = ("kill", "freeze", "stop", "reload")
LASTS_MS = (200, 2_500)
PAUSE_MS = (100, 1_200)
SERIES_GAP_MS = (0, 600)
SERIES_LENGTH = 3


@dataclasses.dataclass(frozen=True)
class Kind:
    """The processes of one kind.

    Attributes:
        names: Their names.
        faults: The faults that may strike them.
    """

    names: Sequence[str]
    faults: Sequence[str]


@dataclasses.dataclass(frozen=True)
class Strike:
    """One fault at one process.

    Attributes:
        at_ms: When it begins, from the start of the calls.
        fault: Its name.
        process: Name of the process.
        lasts_ms: How long it lasts.
        directions: The ways that a half cut cuts.
    """

    at_ms: int
    fault: str
    process: str
    lasts_ms: int
    directions: tuple[fault_proxy.Direction, ...] = fault_proxy.BOTH

    @property
    def end_ms(self) -> int:
        """When it ends."""
        return self.at_ms + self.lasts_ms

    def __str__(self) -> str:
        way = ""
        if len(self.directions) == 1:
            way = f" {self.directions[0].value}"
        return (
            f"{self.at_ms} ms: {self.fault}{way} {self.process}"
            f" for {self.lasts_ms} ms"
        )


def draw(
    seed: int, kind_by_name: Mapping[str, Kind], duration_ms: int
) -> tuple[Strike, ...]:
    """Returns a schedule.

    Faults come alone, on several processes of a kind in series, and on
    processes of several kinds at the same moment. A process is not struck
    while an earlier fault there lasts.

    Args:
        seed: Determines the schedule.
        kind_by_name: The processes that are struck.
        duration_ms: When the last fault begins at the latest.
    """
    rng = random.Random(seed)
    strikes: list[Strike] = []
    free_ms: dict[str, int] = {}
    kinds = [kind_by_name[name] for name in sorted(kind_by_name)]
    at_ms = 0
    while at_ms < duration_ms:
        pattern = rng.choice(("alone", "alone", "series", "together"))
        for strike in _pattern(rng, pattern, kinds, at_ms):
            if free_ms.get(strike.process, 0) <= strike.at_ms < duration_ms:
                strikes.append(strike)
                free_ms[strike.process] = strike.end_ms + 1
        at_ms += rng.randint(*PAUSE_MS)
    return tuple(sorted(strikes, key=lambda strike: strike.at_ms))


def _pattern(
    rng: random.Random, pattern: str, kinds: Sequence[Kind], at_ms: int
) -> Iterator[Strike]:
    if pattern == "together":
        for kind in rng.sample(kinds, 2):
            name = rng.choice(kind.names)
            yield _strike(rng, rng.choice(kind.faults), name, at_ms)
        return
    kind = rng.choice(kinds)
    names = list(kind.names)
    rng.shuffle(names)
    fault = rng.choice(kind.faults)
    for name in names[: SERIES_LENGTH if pattern == "series" else 1]:
        yield _strike(rng, fault, name, at_ms)
        at_ms += rng.randint(*SERIES_GAP_MS)


def _strike(rng: random.Random, fault: str, process: str, at_ms: int) -> Strike:
    lasts_ms = rng.randint(*LASTS_MS)
    directions = fault_proxy.BOTH
    if fault == "half_cut":
        directions = (rng.choice(fault_proxy.BOTH),)
    return Strike(at_ms, fault, process, lasts_ms, directions)


def shorter(strikes: Sequence[Strike]) -> Iterator[tuple[Strike, ...]]:
    """Returns schedules that lack a part of a failing one, large parts first.

    Args:
        strikes: The failing schedule.
    """
    size = len(strikes) // 2
    while size:
        for first in range(0, len(strikes), size):
            yield (*strikes[:first], *strikes[first + size :])
        size //= 2


__all__ = [
    "LINK_FAULTS",
    "PROCESS_FAULTS",
    "Kind",
    "Strike",
    "draw",
    "shorter",
]
