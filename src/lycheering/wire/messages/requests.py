"""The messages by which an entry has a request run by an agent."""

from __future__ import annotations

import msgspec

from lycheering.wire.messages import common


class OrderTicket(msgspec.Struct, frozen=True, array_like=True):
    """The claim under which a request may run, at most once.

    Attributes:
        order_id: The claim's id.
        fence: The fencing number granted with the claim.
    """

    order_id: str
    fence: int


class Submit(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Asks an agent to run one request at its target.

    Attributes:
        request_id: The caller's request.
        attempt: The attempt's number, from 1.
        team: The team that the request belongs to.
        priority_class: The request's class.
        priority: Smaller is served first.
        deadline_ms: End of the request, by the receiver's clock.
        path: The path at the target.
        method: The HTTP method at the target.
        body: The caller's body.
        model: The model asked for; empty for a plain service.
        weights_version: The weights promised; empty takes any.
        level_ends: Ends of the nested prompt levels, in characters.
        shared_levels: How many outermost levels teams share.
        level_key: The key that the request was ranked by.
        width: The targets that the sender spreads this key over.
        level_keys: The short key of each prompt level, outermost first.
        continue_from: Tokens that an earlier attempt delivered.
        content_type: The body's content type.
        ticket: The claim, for a request that runs at most once.
        share_use: What the team asks of all targets through the sender, in
            parts of its fair share; 0 while all get what they ask for.
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


class Resume(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Picks up a running request on a new connection.

    Attributes:
        request_id: The request.
        attempt: The attempt's number.
        next_seq: The first chunk wanted.
    """

    request_id: str
    attempt: int
    next_seq: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Ends a request that nobody waits for.

    Attributes:
        request_id: The request.
        attempt: The attempt's number.
    """

    request_id: str
    attempt: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Tells which chunks arrived, so that more may be sent.

    Attributes:
        request_id: The request.
        attempt: The attempt's number.
        next_seq: The first chunk not yet received.
        ended: Whether the end of the answer was received too.
    """

    request_id: str
    attempt: int
    next_seq: int
    ended: bool = False


class CacheInquiry(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Asks an agent what its target holds of a prompt.

    Attributes:
        level_keys: The short key of each prompt level, outermost first.
        rank_index: The level that the request is ranked by.
        team: The team that the request belongs to.
        priority: Its priority.
    """

    level_keys: tuple[str, ...]
    rank_index: int
    team: str = ""
    priority: int = 0


class CacheReport(msgspec.Struct, frozen=True, array_like=True, tag=36):
    """An agent's answer to a cache inquiry.

    Attributes:
        held_pieces: Leading pieces that the target holds or is computing.
        queue_ms: Expected wait of such a request; without a team, of one
            that starts after all others.
        piece_ms: Time to prefill one missing piece.
        life_ms: How long unused pieces stay cached; 0 if not known.
        prefix_use: Share of the target's time that the key ranked by takes.
    """

    held_pieces: int
    queue_ms: float
    piece_ms: float
    life_ms: float
    prefix_use: float


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """The request waits at the agent or runs.

    Attributes:
        expected_start_ms: Expected wait until the target gets it.
    """

    expected_start_ms: float


class Started(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """The target began to answer.

    Attributes:
        status: The target's HTTP status.
        content_type: The content type of its answer.
        prompt_pieces: Pieces of the prompt.
        cached_pieces: Pieces that the target found in its cache.
        weights_version: The weights that answer.
        hint: The width of the key that the request was ranked by.
    """

    status: int
    content_type: str
    prompt_pieces: int = 0
    cached_pieces: int = 0
    weights_version: str = ""
    hint: common.WidthHint | None = None


class Chunks(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """Some consecutive chunks of the answer.

    Attributes:
        first_seq: Sequence number of the first.
        items: The data of each server-sent event, or parts of a body.
    """

    first_seq: int
    items: tuple[bytes, ...]


class Finished(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """The answer is whole.

    Attributes:
        next_seq: The number of chunks, which the receiver must hold.
    """

    next_seq: int


class NotRun(msgspec.Struct, frozen=True, array_like=True, tag=34):
    """The request never left the agent for the target, and never will.

    Attributes:
        reason: Why.
        retry_after_ms: When the agent expects to take such a request.
        detail: Text for people.
        hint: The width of the key that the request was ranked by.
    """

    reason: common.Reason
    retry_after_ms: float = 0.0
    detail: str = ""
    hint: common.WidthHint | None = None


class Broken(msgspec.Struct, frozen=True, array_like=True, tag=35):
    """The request may have run, and its answer can't be completed here.

    Attributes:
        reason: Why.
        next_seq: Chunks that the agent got from the target.
        detail: Text for people.
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
