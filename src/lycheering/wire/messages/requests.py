"""The messages between an entry and the agent that runs its request."""

from __future__ import annotations

import msgspec

from lycheering.wire.messages import common


class OrderTicket(msgspec.Struct, frozen=True, array_like=True):
    """The claim that permits a request to run at most once.

    Attributes:
        order_id: Id of the claim.
        fence: The fencing number of the claim.
    """

    order_id: str
    fence: int


class Submit(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Asks an agent to run one request at its target.

    Attributes:
        request_id: Id of the caller's request.
        attempt: Number of the attempt, from 1.
        team: The team that the request belongs to.
        priority_class: Priority class of the request.
        priority: Priority of the request; smaller values are served first.
        deadline_ms: Deadline of the request, by the receiver's clock.
        path: The path at the target.
        method: The HTTP method at the target.
        body: The caller's body.
        model: The requested model; empty for a plain service.
        weights_version: The required weights version; empty for any.
        level_ends: End of each nested prompt level, in characters.
        shared_levels: Number of outermost levels that teams share.
        level_key: Key by which targets were ranked for the request.
        width: Number of targets that the sender spreads this key over.
        level_keys: Short key of each prompt level, outermost first.
        continue_from: Number of tokens that earlier attempts delivered.
        content_type: Content type of the body.
        ticket: The claim, for an order; None for other requests.
        share_use: The team's demand for all targets through the sender, as a
            multiple of its fair share; 0 while all demand is met.
        shared_generation: The sharing generation of the sender's view, to
            which its number of shared levels belongs.
    """

    request_id: str
    attempt: int
    team: str
    priority_class: str
    priority: int
    deadline_ms: float
    path: str
    method: str = "POST"
    body: bytes = b""
    model: str = ""
    weights_version: str = ""
    level_ends: tuple[int, ...] = ()
    shared_levels: int = 0
    level_key: str = ""
    width: int = 1
    level_keys: tuple[str, ...] = ()
    continue_from: int = 0
    content_type: str = "application/json"
    ticket: OrderTicket | None = None
    share_use: float = 0.0
    shared_generation: int = 0


class Resume(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Resumes the answer of a running request on a new connection.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        next_seq: Sequence number of the first chunk to send.
    """

    request_id: str
    attempt: int
    next_seq: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Cancels a request whose answer is no longer needed.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
    """

    request_id: str
    attempt: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Acknowledges received chunks, so that more may be sent.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        next_seq: Sequence number of the first chunk not yet received.
        ended: Whether the end of the answer was also received.
    """

    request_id: str
    attempt: int
    next_seq: int
    ended: bool = False


class CacheInquiry(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Asks an agent how much of a prompt its target has cached.

    Attributes:
        level_keys: Short key of each prompt level, outermost first.
        rank_index: Index of the level by which targets are ranked.
        team: The team that the request belongs to.
        priority: Priority of the request.
    """

    level_keys: tuple[str, ...]
    rank_index: int
    team: str = ""
    priority: int = 0


class CacheReport(msgspec.Struct, frozen=True, array_like=True, tag=36):
    """Answers CacheInquiry.

    Attributes:
        held_pieces: Number of leading pieces of the prompt that the target has
            cached or is computing.
        queue_ms: Expected wait of such a request; for an inquiry without a
            team, of a request that starts after all queued ones.
        piece_ms: Time to prefill one piece that isn't cached.
        life_ms: Time for which unused pieces stay cached; 0 if not known.
        prefix_use: Fraction of the target's time that requests with the key
            of the ranked level take.
    """

    held_pieces: int
    queue_ms: float
    piece_ms: float
    life_ms: float
    prefix_use: float


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """The agent accepted the request, which is queued or runs.

    Attributes:
        expected_start_ms: Expected wait until it is sent to the target.
    """

    expected_start_ms: float


class Started(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """The target began to answer.

    Attributes:
        status: The target's HTTP status.
        content_type: The content type of its answer.
        prompt_pieces: Number of pieces of the prompt.
        cached_pieces: Number of pieces that the target found in its cache.
        weights_version: The weights version that generates the answer.
        hint: Width for the key by which targets were ranked.
    """

    status: int
    content_type: str
    prompt_pieces: int = 0
    cached_pieces: int = 0
    weights_version: str = ""
    hint: common.WidthHint | None = None


class Chunks(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """Consecutive chunks of the answer.

    Attributes:
        first_seq: Sequence number of the first chunk.
        items: The chunks: data of server-sent events or parts of a body.
    """

    first_seq: int
    items: tuple[bytes, ...]


class Finished(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """The answer is complete.

    Attributes:
        next_seq: Number of chunks, all of which the receiver must have.
    """

    next_seq: int


class NotRun(msgspec.Struct, frozen=True, array_like=True, tag=34):
    """The request was not sent to the target, and never will be.

    Attributes:
        reason: Why it was not sent.
        retry_after_ms: Time until the agent expects to accept such a request.
        detail: Human-readable explanation.
        hint: Width for the key by which targets were ranked.
    """

    reason: common.Reason
    retry_after_ms: float = 0.0
    detail: str = ""
    hint: common.WidthHint | None = None


class Broken(msgspec.Struct, frozen=True, array_like=True, tag=35):
    """The request may have run, but this agent can't complete its answer.

    Attributes:
        reason: Why it can't be completed.
        next_seq: Number of chunks that the agent received from the target.
        detail: Human-readable explanation.
    """

    reason: common.Reason
    next_seq: int
    detail: str = ""


__all__ = [
    "Accepted",
    "Ack",
    "Broken",
    "CacheInquiry",
    "CacheReport",
    "Cancel",
    "Chunks",
    "Finished",
    "NotRun",
    "OrderTicket",
    "Resume",
    "Started",
    "Submit",
]
