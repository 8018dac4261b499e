"""One request of a caller, as the entry works on it."""

from __future__ import annotations

import dataclasses
import enum

from lycheering.routing import levels
from lycheering.routing import router


class PriorityClass(enum.StrEnum):
    """What a request is for, by which deadline and priority are set."""

    BRIEF = "brief"
    TAG_QUERY = "tag_query"
    ORDER = "order"
    LOOKUP = "lookup"
    CHECK = "check"
    MATCH = "match"


class AnswerForm(enum.StrEnum):
    """What an answer is made of."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class Job:
    """One request of a caller.

    Attributes:
        request_id: Unique; what agents and targets know the request by.
        caller_request_id: The id that is echoed to the caller.
        team: The team that asks.
        priority_class: What it is for.
        priority: Smaller is served first.
        deadline_at_ms: When the whole answer is due, by the own clock.
        form: What the answer is made of.
        wanted: What a target must offer.
        path: The path at the target.
        method: The HTTP method at the target.
        body: The body for the target.
        content_type: The body's content type.
        stream: Whether the caller reads server-sent events.
        deterministic: Whether a second run gives the same answer.
        levels: The nested levels of the prompt.
        idempotency_key: The key of an order; empty for other requests.
        digest: Equal in each resend of an order.
    """

    request_id: str
    caller_request_id: str
    team: str
    priority_class: PriorityClass
    priority: int
    deadline_at_ms: float
    form: AnswerForm
    wanted: router.Wanted
    path: str
    method: str = "POST"
    body: bytes = b""
    content_type: str = "application/json"
    stream: bool = False
    deterministic: bool = False
    levels: levels.Levels = levels.NO_LEVELS
    idempotency_key: str = ""
    digest: str = ""

    @property
    def is_order(self) -> bool:
        """Whether the request runs at most once."""
        return bool(self.idempotency_key)


__all__ = ["AnswerForm", "Job", "PriorityClass"]
