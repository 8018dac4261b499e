"""The entry's representation of one request of a caller."""

from __future__ import annotations

import dataclasses
import enum
import functools

from lycheering.retries import crash_ledger
from lycheering.routing import levels
from lycheering.routing import router


class PriorityClass(enum.StrEnum):
    """The purpose of a request, which sets its deadline and priority."""

    BRIEF = "brief"
    TAG_QUERY = "tag_query"
    ORDER = "order"
    LOOKUP = "lookup"
    CHECK = "check"
    MATCH = "match"


class AnswerForm(enum.StrEnum):
    """The format of an answer."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class Job:
    """One request of a caller.

    Attributes:
        request_id: The unique id sent to agents and targets.
        caller_request_id: The id echoed to the caller.
        team: The caller's team.
        priority_class: The purpose of the request.
        priority: The priority; smaller numbers are served first.
        deadline_at_ms: The deadline of the complete answer, by the local
            clock.
        form: The format of the answer.
        requirement: The model or service that the target must offer.
        path: The path to call on the target.
        method: The HTTP method to call the target with.
        body: The body for the target.
        content_type: The body's content type.
        stream: Whether the caller reads server-sent events.
        deterministic: Whether repeated runs give the same answer.
        levels: The nested levels of the prompt.
        idempotency_key: The key of an order; empty for other requests.
        digest: A digest of the request, equal for each resend of an order.
    """

    request_id: str
    caller_request_id: str
    team: str
    priority_class: PriorityClass
    priority: int
    deadline_at_ms: float
    form: AnswerForm
    requirement: router.TargetRequirement
    path: str
    method: str = "POST"
    body: bytes = b""
    content_type: str = "application/json"
    stream: bool = False
    deterministic: bool = False
    levels: levels.Levels = levels.NO_LEVELS
    idempotency_key: str = ""
    digest: str = ""

    @functools.cached_property
    def fingerprint(self) -> str:
        """Fingerprint of its content, equal when its caller repeats it."""
        target = f"{self.requirement.service}{self.path}"
        return crash_ledger.request_fingerprint(
            self.method, target, (), self.body
        )

    @property
    def is_order(self) -> bool:
        """Whether the request runs at most once."""
        return bool(self.idempotency_key)


__all__ = ["AnswerForm", "Job", "PriorityClass"]
