"""The parameters and results of admission to a target's queue."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.limits import cost_model
    from lycheering.limits import queue as queues
    from lycheering.wire import messages

DEFAULT_MAX_PREFILLING = 2
DEFAULT_PRIORITY = 50


class RefusedError(Exception):
    """The target does not run a request.

    Attributes:
        reason: The reason.
        retry_after_ms: Time after which such a request is expected to be
            admitted.
        detail: A human-readable explanation.
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
    """The limits of an agent, from the fleet's options.

    Attributes:
        max_running: Maximum number of requests in flight to the target.
        max_queued: Maximum number of requests queued at the agent.
        max_prefilling: Maximum number of requests in flight that have no
            first token yet.
        reserved_slots: Slots that a single team or priority does not fill
            while others are active.
    """

    max_running: int = 8
    max_queued: int = 64
    max_prefilling: int = DEFAULT_MAX_PREFILLING
    reserved_slots: int = 0


@dataclasses.dataclass(frozen=True)
class RequestProperties:
    """The properties of a request that admission depends on.

    Attributes:
        team: The team that sent it.
        team_weight: The team's weight in fair sharing.
        priority: Smaller values are served first.
        cost: Its expected work.
        deadline_ms: When it must have ended.
        fair_share_ratio: The team's demand on the fleet, as a multiple of
            its fair share.
    """

    team: str
    team_weight: float
    priority: int
    cost: cost_model.Cost
    deadline_ms: float
    fair_share_ratio: float = 0.0


@dataclasses.dataclass(eq=False)
class AdmittedRequest:
    """An admitted request, from entering the queue until its end.

    Attributes:
        request: The request in the queue.
        expected_wait_ms: The wait that was expected on its arrival.
        started_ms: When it was sent to the target; from its first token on,
            when its prefill must have begun; 0 before it is sent.
        is_prefilling: Whether it was sent and has no first token yet.
    """

    request: queues.QueuedRequest
    expected_wait_ms: float
    started_ms: float = 0.0
    is_prefilling: bool = False


__all__ = [
    "DEFAULT_MAX_PREFILLING",
    "DEFAULT_PRIORITY",
    "AdmittedRequest",
    "Limits",
    "RefusedError",
    "RequestProperties",
]
