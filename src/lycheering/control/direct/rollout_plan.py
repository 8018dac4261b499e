"""Plans which engines load newer weights next, and how many at once.

New versions of weights may be named faster than all engines can load them.
The engine that has been outdated for longest then goes first, regardless of
versions named in the meantime: a single load brings an engine to the newest
version that is named when its order is sent.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

# subtracted from the outdated time of an engine for each consecutive failure,
# so that failing engines do not take the turns of the others
FAILURE_PENALTY_MS = 2_000.0
MAX_PENALIZED_FAILURES = 3
# share of the time bound in which all engines are to load once
ROUND_SHARE = 0.7


@dataclasses.dataclass(frozen=True)
class OutdatedEngine:
    """An engine whose weights are older than the newest named version.

    Attributes:
        key: The target key, which is different for each run of the engine.
        model: The model whose weights are outdated.
        outdated_ms: Time since the oldest version that it lacks was named.
        failures: Number of consecutive failed updates.
        is_held: Whether it already gets no new requests.
        is_paused: Whether it waits for its next try after a failure.
    """

    key: str
    model: str
    outdated_ms: float
    failures: int = 0
    is_held: bool = False
    is_paused: bool = False


@dataclasses.dataclass(frozen=True)
class RolloutPlanSettings:
    """How many engines may be out of service at one time.

    Attributes:
        usual_share: Usual maximum, as share of the reachable engines.
        max_share: Maximum share that applies if the time bound can't be kept
            with the usual one.
        max_engines: Absolute maximum.
        max_outdated_ms: Time within which each engine has to load newly named
            weights.
    """

    usual_share: float = 0.35
    max_share: float = 0.5
    max_engines: int = 400
    max_outdated_ms: float = 10_000.0


def max_out_of_service(
    reachable: int, mean_out_ms: float, settings: RolloutPlanSettings
) -> int:
    """Returns how many engines may be out of service at one time.

    Args:
        reachable: Number of reachable engines.
        mean_out_ms: Moving average of the time for which an engine is out of
            service during an update.
        settings: The limits.
    """
    usual = round(reachable * settings.usual_share)
    needed = math.ceil(
        reachable * mean_out_ms / (ROUND_SHARE * settings.max_outdated_ms)
    )
    limit = min(int(reachable * settings.max_share), settings.max_engines)
    return max(1, min(limit, max(usual, needed)))


def next_engines(
    engines: Sequence[OutdatedEngine],
    free: int,
    free_by_model: Mapping[str, int] | None = None,
) -> list[OutdatedEngine]:
    """Returns the engines to update now, the most urgent first.

    Args:
        engines: Outdated engines without an update in progress.
        free: How many more engines may be out of service.
        free_by_model: How many more engines may load a model's newest weights,
            for the models that have such a limit.
    """
    left_by_model = dict(free_by_model or {})
    chosen: list[OutdatedEngine] = []
    eligible = [engine for engine in engines if not engine.is_paused]
    eligible.sort(key=_urgency, reverse=True)
    for engine in eligible:
        if len(chosen) >= free:
            break
        left = left_by_model.get(engine.model)
        if left is not None:
            if left <= 0:
                continue
            left_by_model[engine.model] = left - 1
        chosen.append(engine)
    return chosen


def _urgency(engine: OutdatedEngine) -> tuple[float, bool, str]:
    failures = min(engine.failures, MAX_PENALIZED_FAILURES)
    penalized_ms = engine.outdated_ms - failures * FAILURE_PENALTY_MS
    return penalized_ms, engine.is_held, engine.key


__all__ = [
    "OutdatedEngine",
    "RolloutPlanSettings",
    "max_out_of_service",
    "next_engines",
]
