"""Which engines are brought to newer weights next, and how many at once.

Weights may be named faster than all engines can be brought to them. The
engine that has lacked weights for longest goes first then, whatever is named
meanwhile: one load brings it all versions named until its order.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# what each failure in a row puts an engine back behind the others by
FAILURE_MS = 2_000.0
MAX_FAILURES = 3
# part of the bound in which all engines are to be through
ROUND_PART = 0.7


@dataclasses.dataclass(frozen=True)
class Engine:
    """An engine on older weights.

    Attributes:
        key: The run of the engine.
        model: The model whose weights it lacks.
        lacking_ms: How long ago the first version that it lacks was named.
        failures: How often it failed in a row.
        is_held: Whether it is kept free of new work already.
        is_paused: Whether it failed and is left alone for now.
    """

    key: str
    model: str
    lacking_ms: float
    failures: int = 0
    is_held: bool = False
    is_paused: bool = False


@dataclasses.dataclass(frozen=True)
class PlanSettings:
    """How many engines may be out of service at one time.

    Attributes:
        share: Part of the reachable engines that may be.
        most_share: The same where the bound could not be kept otherwise.
        most: The most of them, whatever the share.
        bound_ms: Time after which no engine may lack weights.
    """

    share: float = 0.35
    most_share: float = 0.5
    most: int = 400
    bound_ms: float = 10_000.0


def at_once(reachable: int, out_ms: float, settings: PlanSettings) -> int:
    """Returns how many engines may be out of service at one time.

    Args:
        reachable: The engines that can be reached.
        out_ms: How long one was out of service of late.
        settings: The bounds.
    """
    by_share = round(reachable * settings.share)
    by_bound = math.ceil(reachable * out_ms / (ROUND_PART * settings.bound_ms))
    most = min(int(reachable * settings.most_share), settings.most)
    return max(1, min(most, max(by_share, by_bound)))


def next_engines(engines: Sequence[Engine], free: int) -> list[Engine]:
    """Returns the engines to begin with now, the most urgent first.

    Args:
        engines: Engines on older weights that nothing is done about yet.
        free: How many more may be out of service.
    """
    able = [engine for engine in engines if not engine.is_paused]
    able.sort(key=_urgency, reverse=True)
    return able[: max(0, free)]


def _urgency(engine: Engine) -> tuple[float, bool, str]:
    failures = min(engine.failures, MAX_FAILURES)
    urgent_ms = engine.lacking_ms - failures * FAILURE_MS
    return urgent_ms, engine.is_held, engine.key


__all__ = ["Engine", "PlanSettings", "at_once", "next_engines"]
