"""What admission is asked for, and what it answers with."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.limits import cost as costs
    from lycheering.limits import queue as queues
    from lycheering.wire import messages

PREFILL_WINDOW = 2
MIDDLE_PRIORITY = 50


class RefusedError(Exception):
    """A request is not run here.

    Attributes:
        reason: Why.
        retry_after_ms: When such a request is expected to be taken.
        detail: Text for people.
    """

    def __init__(
        self,
        reason: messages.Reason,
        retry_after_ms: float = 0.0,
        detail: str = "",
    ) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.detail = detail


@dataclasses.dataclass
class Limits:
    """What an agent may take on, from the fleet's options.

    Attributes:
        max_running: Requests sent to the target at once.
        max_queued: Requests that wait at the agent.
        prefill_window: Requests sent whose first token is awaited.
        reserved: Slots that no team or priority takes while others are
            active.
    """

    max_running: int = 8
    max_queued: int = 64
    prefill_window: int = PREFILL_WINDOW
    reserved: int = 0


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a request asks of the target.

    Attributes:
        team: The team that it belongs to.
        share: The team's weight.
        priority: Smaller is served first.
        cost: Its expected work.
        deadline_ms: End of the request.
        share_use: What its team asks of the fleet, in parts of its fair
            share.
    """

    team: str
    share: float
    priority: int
    cost: costs.Cost
    deadline_ms: float
    share_use: float = 0.0


@dataclasses.dataclass(eq=False)
class Place:
    """A request that was taken, from the queue to its end.

    Attributes:
        waiting: Its place in the queue.
        expected_start_ms: The wait expected when it came.
        started_ms: When it was let through, or, once its first token came,
            when it must have begun; 0 before.
        prefilling: Whether its first token is awaited.
    """

    waiting: queues.Waiting
    expected_start_ms: float
    started_ms: float = 0.0
    prefilling: bool = False


__all__ = [
    "MIDDLE_PRIORITY",
    "PREFILL_WINDOW",
    "Demand",
    "Limits",
    "Place",
    "RefusedError",
]
