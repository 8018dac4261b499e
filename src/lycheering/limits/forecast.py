"""When waiting requests are expected to start."""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from lycheering.limits import queue as queues


@dataclasses.dataclass(frozen=True)
class Slots:
    """What a target's slots are busy with.

    Attributes:
        free_ms: In which time each slot is free.
        prefill_ms: How long the prompts sent are still prefilled.
    """

    free_ms: Sequence[float]
    prefill_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Overtaker:
    """A team whose later requests may be served before a waiting one.

    Attributes:
        slots: The slots that its requests keep busy, on average.
        most_ms: The most work of it that is served before.
    """

    slots: float
    most_ms: float


def starts_ms(ahead: Iterable[queues.Waiting], slots: Slots) -> list[float]:
    """Plays the queue through on a target's slots.

    Prompts are prefilled one at a time; answers share the slots.

    Args:
        ahead: The requests to be served, in order.
        slots: What the slots are busy with.

    Returns:
        When each of them starts, and when one after them would.
    """
    free_ms = list(slots.free_ms)
    heapq.heapify(free_ms)
    prefill_free_ms = slots.prefill_ms
    found_ms: list[float] = []
    for other in ahead:
        start_ms = max(heapq.heappop(free_ms), prefill_free_ms)
        found_ms.append(start_ms)
        if other.cost.prefill_ms:
            prefill_free_ms = start_ms + other.cost.prefill_ms
        heapq.heappush(free_ms, start_ms + other.cost.service_ms)
    found_ms.append(max(free_ms[0], prefill_free_ms))
    return found_ms


def overtaken_ms(
    wait_ms: float, overtakers: Iterable[Overtaker], slot_count: int
) -> float:
    """Returns a wait, lengthened by requests that have yet to come.

    Args:
        wait_ms: The wait if none came.
        overtakers: The teams whose requests would be served before.
        slot_count: The slots that serve them.
    """
    if wait_ms <= 0:
        return wait_ms
    # each team overtakes at its rate until it has had its share
    by_end = sorted(
        (team for team in overtakers if team.slots > 0 and team.most_ms > 0),
        key=lambda team: team.most_ms / team.slots,
    )
    rate = sum(team.slots for team in by_end)
    done_ms = 0.0
    for team in by_end:
        end_ms = team.most_ms / team.slots
        if rate < slot_count:
            found_ms = wait_ms * slot_count + done_ms
            found_ms /= slot_count - rate
            if found_ms <= end_ms:
                return found_ms
        done_ms += team.most_ms
        rate -= team.slots
    return wait_ms + done_ms / slot_count


__all__ = ["Overtaker", "Slots", "overtaken_ms", "starts_ms"]
