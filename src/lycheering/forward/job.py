"""One request on its way through an entry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.forward import choice
from lycheering.forward import shared_parts

if TYPE_CHECKING:
    from lycheering.forward import api
    from lycheering.forward import caller as callers
    from lycheering.routes import api as route_api


@dataclasses.dataclass(frozen=True)
class KeptAnswer:
    """A target's failure, handed on if no other target does better.

    Attributes:
        status: Its HTTP status.
        headers: Its headers.
        body: Its body.
    """

    status: int
    headers: api.Headers
    body: bytes


@dataclasses.dataclass
class Job:
    """A request that may be sent to targets.

    Attributes:
        caller: Who waits for the answer.
        traits: What the caller says of it.
        method: Its HTTP method.
        path: Its path with the query, unchanged.
        headers: Its headers.
        body: Its body.
        route: Its route.
        service: The service that takes it.
        team: The team that its key names.
        priority: Its rank.
        arrived_ms: When it arrived.
        until_ms: When its caller is answered at the latest.
        work: What it asks of a target.
        sends: How often it was sent.
        tried: Keys of targets that are not asked again.
        last_event_id: The last event that the caller has.
        target_id: The target that it was sent to last.
        cost_ms: The cost of that choice.
        wait_ms: The wait expected there.
        unread_tokens: The tokens expected to be read there.
        load: What was known of the target's load.
        shared_parts: How the target gets the parts that others share.
        sending: What the target was told besides.
        sent_ms: When it was sent last.
        first_byte_ms: When the answer began, 0 before.
        failed_answer: The failure of a target that ran it.
        may_have_run: Whether a target may have run it.
    """

    caller: callers.Caller
    traits: api.RequestTraits
    method: str
    path: str
    headers: api.Headers
    body: bytes
    route: route_api.Route
    service: route_api.Service
    team: route_api.KeyedTeam | None
    priority: int
    arrived_ms: float
    until_ms: float
    work: choice.Work = choice.Work()
    sends: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    last_event_id: str = ""
    target_id: str = ""
    cost_ms: float = 0.0
    wait_ms: float = 0.0
    unread_tokens: int = 0
    load: str = ""
    shared_parts: shared_parts.Plan = shared_parts.Plan()
    sending: api.Sending | None = None
    sent_ms: float = 0.0
    first_byte_ms: float = 0.0
    failed_answer: KeptAnswer | None = None
    may_have_run: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether it may be sent once more after it may have run."""
        return self.route.may_repeat


__all__ = ["Job"]
