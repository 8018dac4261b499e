"""Simulates a target's queue to predict when requests start."""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from lycheering.limits import queue as queues


@dataclasses.dataclass(frozen=True)
class SlotState:
    """How long the slots of a target stay busy.

    Attributes:
        free_ms: For each slot, the time until it is free.
        prefill_ms: Remaining prefill time of the requests already sent.
    """

    free_ms: Sequence[float]
    prefill_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class OvertakingTeam:
    """A team whose future requests may be served before a waiting one.

    Attributes:
        slots: Average number of slots that its requests keep busy.
        max_work_ms: Limit of its work that is served before.
    """

    slots: float
    max_work_ms: float


def start_times_ms(
    requests: Iterable[queues.QueuedRequest], slots: SlotState
) -> list[float]:
    """Simulates how requests are served on a target's slots.

    Prompts are prefilled one at a time; decoding runs in all slots.

    Args:
        requests: The requests in the order in which they are served.
        slots: How long the slots are busy.

    Returns:
        The time until each request starts, followed by the time until one
        after them would start.
    """
    free_ms = list(slots.free_ms)
    heapq.heapify(free_ms)
    prefill_free_ms = slots.prefill_ms
    times_ms: list[float] = []
    for request in requests:
        start_ms = max(heapq.heappop(free_ms), prefill_free_ms)
        times_ms.append(start_ms)
        if request.cost.prefill_ms:
            prefill_free_ms = start_ms + request.cost.prefill_ms
        heapq.heappush(free_ms, start_ms + request.cost.total_ms)
    times_ms.append(max(free_ms[0], prefill_free_ms))
    return times_ms


def wait_with_overtaking_ms(
    wait_ms: float, overtaking: Iterable[OvertakingTeam], slot_count: int
) -> float:
    """Returns the wait including requests that have yet to arrive.

    Args:
        wait_ms: The wait if no further request arrives.
        overtaking: The teams whose future requests are served before.
        slot_count: The number of slots of the target.
    """
    if wait_ms <= 0:
        return wait_ms
    # each team overtakes at its arrival rate until its maximum is reached
    by_end = sorted(
        (
            team
            for team in overtaking
            if team.slots > 0 and team.max_work_ms > 0
        ),
        key=lambda team: team.max_work_ms / team.slots,
    )
    rate = sum(team.slots for team in by_end)
    done_ms = 0.0
    for team in by_end:
        end_ms = team.max_work_ms / team.slots
        if rate < slot_count:
            total_ms = wait_ms * slot_count + done_ms
            total_ms /= slot_count - rate
            if total_ms <= end_ms:
                return total_ms
        done_ms += team.max_work_ms
        rate -= team.slots
    return wait_ms + done_ms / slot_count


__all__ = [
    "OvertakingTeam",
    "SlotState",
    "start_times_ms",
    "wait_with_overtaking_ms",
]
