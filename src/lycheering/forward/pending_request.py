"""A request that an entry has accepted and not answered yet."""

from __future__ import annotations

import dataclasses
import functools
import math
from typing import TYPE_CHECKING

from lycheering.forward import prefix_transfer
from lycheering.forward import target_selection
from lycheering.retries import crash_ledger

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.forward import api
    from lycheering.forward import attempt
    from lycheering.forward import caller as callers
    from lycheering.limits import held_requests
    from lycheering.limits import team_allowance
    from lycheering.routes import api as route_api


@dataclasses.dataclass(frozen=True)
class BufferedAnswer:
    """A complete answer of a target.

    Attributes:
        status: Its HTTP status.
        headers: Its headers.
        body: Its body.
        ends_with_connection: Whether it ended with its connection, so that it
            isn't known to be complete.
    """

    status: int
    headers: api.Headers
    body: bytes
    ends_with_connection: bool = False


@dataclasses.dataclass
class PendingRequest:
    """An accepted request and the state of its attempts.

    Attributes:
        caller: The connection to its caller.
        metadata: What its headers say.
        method: Its HTTP method.
        path: Its path with the query, unchanged.
        headers: Its headers.
        body: Its body.
        route: Its route.
        service: The service that it is forwarded to.
        team: The team of its key; None on a public route.
        priority: Level at which its target gets it; 0 is the most urgent.
        arrived_ms: Time at which it arrived.
        is_ranked: Whether its team and its kind decide when there is room for
            it, not only its arrival.
        first_level: The most urgent level of the routes of its service.
        deadline_ms: Time until which its caller has to be answered.
        cache_scope: Its cache scope, for one weights version.
        profile: The properties that target selection depends on.
        send_count: Number of times it was sent to a target.
        tried_keys: Keys of targets that must not be selected again.
        last_event_id: Id of the last stream event that the caller received.
        unproven_events: Whole events of its last run that the caller did not
            get, as they may be joined with others.
        proof_deadline_ms: Time until which a stream that has ended without
            proof of its end waits for it; infinite for others.
        target_id: Id of the target that was selected last.
        bound_version: Software version that its stream may go on at; None
            before its first event.
        target_version: Software version of that target.
        cost_ms: Cost of that target.
        wait_ms: Expected time there until the answer starts.
        uncached_tokens: Tokens that the target is expected to prefill.
        load_description: Known load of that target, as text for logs.
        limit_description: Rate limit of that target, as text for logs.
        transfer_plan: How KV cache blocks get to and from that target.
        send_options: What the entry adds to it for the target.
        last_sent_ms: Time of the last attempt.
        first_byte_ms: Time at which the answer to the caller started; 0 before.
        last_event_ms: Time at which the last event of a stream arrived.
        longest_gap_ms: Longest time between two events of its stream.
        failed_answer: Answer of a target that ran the request and failed. The
            caller gets it if no other target succeeds.
        may_have_run: Whether a target may have run it.
        progress: What happened in the last attempt; None before the first.
        abort_exchange: Ends the open exchange with a target; None without one.
        withdrawal: Why its exchange was ended by this entry; empty if it was
            not.
        allowance_charge: What its last run was charged to its team's
            allowance; None without a limit.
        allowance_wait_ms: How long it waited for that.
        has_returned: Whether its caller seems to return after an earlier
            attempt.
        applied_ms: Time at which it was first decided whether there is room.
        place: Its place among the held requests; None before that.
        rank: Where it stood among the others at the last decision.
    """

    caller: callers.Caller
    metadata: api.RequestMetadata
    method: str
    path: str
    headers: api.Headers
    body: bytes
    route: route_api.Route
    service: route_api.Service
    team: route_api.RouteTableTeam | None
    priority: int
    arrived_ms: float
    deadline_ms: float
    is_ranked: bool = False
    first_level: int = 0
    cache_scope: str = ""
    profile: target_selection.RequestProfile = target_selection.RequestProfile()
    send_count: int = 0
    tried_keys: set[str] = dataclasses.field(default_factory=set)
    last_event_id: str = ""
    unproven_events: tuple[bytes, ...] = ()
    proof_deadline_ms: float = math.inf
    target_id: str = ""
    bound_version: str | None = None
    target_version: str = ""
    cost_ms: float = 0.0
    wait_ms: float = 0.0
    uncached_tokens: int = 0
    load_description: str = ""
    limit_description: str = ""
    transfer_plan: prefix_transfer.TransferPlan = prefix_transfer.TransferPlan()
    send_options: api.SendOptions | None = None
    last_sent_ms: float = 0.0
    first_byte_ms: float = 0.0
    failed_answer: BufferedAnswer | None = None
    may_have_run: bool = False
    progress: attempt.AttemptProgress | None = None
    abort_exchange: Callable[[], None] | None = None
    withdrawal: str = ""
    allowance_charge: team_allowance.Charge | None = None
    allowance_wait_ms: float = 0.0
    last_event_ms: float = 0.0
    longest_gap_ms: float = 0.0
    has_returned: bool = False
    applied_ms: float = 0.0
    place: held_requests.HeldRequest | None = None
    rank: str = ""

    def record_event(self, now_ms: float) -> None:
        """Records that an event of its stream arrived."""
        if self.last_event_ms:
            gap_ms = now_ms - self.last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_event_ms = now_ms

    @property
    def shared_part_keys(self) -> tuple[str, ...]:
        """Keys of the prompt parts that other requests may contain as well."""
        return tuple(part.key for part in self.metadata.prompt_parts[:-1])

    @functools.cached_property
    def fingerprint(self) -> str:
        """Fingerprint of its content, equal when its caller repeats it."""
        return crash_ledger.request_fingerprint(
            self.method,
            self.path,
            [part.key for part in self.metadata.prompt_parts],
            self.body,
        )

    @property
    def has_unproven_end(self) -> bool:
        """Whether its stream has ended, but nothing proves that it is whole."""
        return self.proof_deadline_ms < math.inf

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be sent again after a target may have run it."""
        return self.route.is_repeatable


__all__ = ["BufferedAnswer", "PendingRequest"]
