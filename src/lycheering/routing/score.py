"""The expected cost of sending a request to a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.routing import api
from lycheering.routing import rendezvous

if TYPE_CHECKING:
    from lycheering.fleet import records
    from lycheering.routing import policies

UNCOMPARED = 1e9
FAR_MS = 2.0  # another failure domain is a little farther away
PLACE_MS = 1.0
OPEN_REQUEST_MS = 1.0
DRAINING_MS = 1e6
SCARCE_LIFE_MS = 3_000.0
LATE_FACTOR = 5.0


def of_target(
    knowledge: policies.Knowledge,
    query: api.Query,
    target: records.Target,
    *,
    place: int,
    width: int,
) -> api.Candidate:
    """Returns a target's cost for a request with a known prefix.

    Args:
        knowledge: What is known about targets.
        query: The request.
        target: The target.
        place: Its place in the order that the innermost level prefers.
        width: How many targets the prefix is spread over.
    """
    levels = query.levels
    estimate = knowledge.loads.estimate(target.name)
    queue_ms = estimate.queue_ms
    piece_ms = estimate.piece_ms
    scarcity = 0.0
    seen = query.seen_by_target.get(target.name)
    if seen is not None:
        cached = float(seen.held_pieces)
        queue_ms = seen.queue_ms
        piece_ms = seen.piece_ms
        scarcity = scarcity_of(seen.life_ms)
    else:
        cached = knowledge.caches.expected_pieces(target.name, levels)
        if place < width:
            # every process sends this prefix there, so it is likely held
            cached = max(cached, float(levels.pieces[levels.rank_index]))
    missing = max(0.0, levels.prompt_pieces - cached)
    miss_ms = missing * piece_ms
    wasted = missing
    if place < width and width > 1:
        # what all requests under a wide prefix will reuse is not wasted
        wasted -= max(0.0, levels.pieces[levels.rank_index] - cached)
    wasted_ms = wasted * piece_ms
    wait_ms = queue_ms + OPEN_REQUEST_MS * estimate.open_requests
    weight = query.reuse_weight
    # prefill also delays others and displaces what the target holds
    total = (1.0 - weight) * (wait_ms + miss_ms)
    # reuse that takes longer than computing the whole prompt saves no time
    late_ms = wait_ms + miss_ms - levels.prompt_pieces * piece_ms
    total += (1.0 - weight) * LATE_FACTOR * max(0.0, late_ms)
    total += weight * wasted_ms * (1.0 + scarcity)
    total += PLACE_MS * place
    if target.failure_domain != knowledge.failure_domain:
        total += FAR_MS
    if knowledge.loads.draining(target.name):
        total += DRAINING_MS
    reason = f"place={place} cached={cached:.1f} known={estimate.known}"
    if seen is not None:
        reason = f"place={place} held={cached:.0f} life_ms={seen.life_ms:.0f}"
    return api.Candidate(target, total, wait_ms, missing, piece_ms, reason)


def scarcity_of(life_ms: float) -> float:
    """Returns from 0 to 1 how soon what a target displaces is missed.

    Args:
        life_ms: How long its unused pieces stay cached; 0 if not known.
    """
    return min(1.0, SCARCE_LIFE_MS / life_ms) if life_ms else 0.0


def by_load(
    knowledge: policies.Knowledge,
    query: api.Query,
    targets: tuple[records.Target, ...],
) -> list[api.Candidate]:
    """Returns the targets by expected wait; ties differ by request."""
    found = []
    for target in targets:
        estimate = knowledge.loads.estimate(target.name)
        wait_ms = estimate.queue_ms + OPEN_REQUEST_MS * estimate.open_requests
        total = wait_ms
        if target.failure_domain != knowledge.failure_domain:
            total += FAR_MS / 2
        if knowledge.loads.draining(target.name):
            total += DRAINING_MS
        found.append(api.Candidate(target, total, wait_ms, reason="load"))
    found.sort(
        key=lambda c: (
            c.score,
            -rendezvous.weight_of(query.request_id, c.target.name, 1),
        )
    )
    return found


__all__ = ["UNCOMPARED", "by_load", "of_target"]
