"""Scores targets by the expected cost of sending them a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.routing import api
from lycheering.routing import rendezvous

if TYPE_CHECKING:
    from lycheering.fleet import records
    from lycheering.routing import policies

UNSCORED = 1e9
# requests to another failure domain have a longer round trip
REMOTE_DOMAIN_PENALTY_MS = 2.0
POSITION_PENALTY_MS = 1.0
OPEN_REQUEST_PENALTY_MS = 1.0
DRAINING_PENALTY_MS = 1e6
SHORT_LIFETIME_MS = 3_000.0
SLOWER_THAN_PREFILL_FACTOR = 5.0


def score_target(
    state: policies.RoutingState,
    query: api.Query,
    target: records.Target,
    *,
    position: int,
    width: int,
) -> api.Candidate:
    """Returns a target with its score for a request with a prefix.

    Args:
        state: What is known about the targets.
        query: The request.
        target: The target.
        position: Its position in the ranking by the innermost level.
        width: How many targets the prefix is spread over.
    """
    levels = query.levels
    estimate = state.target_loads.estimate(target.name)
    queue_ms = estimate.queue_ms
    piece_ms = estimate.piece_ms
    pressure = 0.0
    cache_state = query.cache_state_by_target.get(target.name)
    if cache_state is not None:
        cached = float(cache_state.cached_pieces)
        queue_ms = cache_state.queue_ms
        piece_ms = cache_state.piece_ms
        pressure = eviction_pressure(cache_state.cache_lifetime_ms)
    else:
        cached = state.cache_hints.expected_pieces(target.name, levels)
        if position < width:
            # all processes send this prefix there, so it is likely cached
            cached = max(
                cached, float(levels.cumulative_pieces[levels.ranking_level])
            )
    missing = max(0.0, levels.prompt_pieces - cached)
    prefill_ms = missing * piece_ms
    wasted = missing
    if position < width and width > 1:
        # later requests reuse the shared prefix there, so its prefill is
        # not wasted
        wasted -= max(
            0.0, levels.cumulative_pieces[levels.ranking_level] - cached
        )
    wasted_ms = wasted * piece_ms
    wait_ms = queue_ms + OPEN_REQUEST_PENALTY_MS * estimate.open_requests
    weight = query.reuse_weight
    # prefill also delays other requests and evicts what the target holds
    total = (1.0 - weight) * (wait_ms + prefill_ms)
    # waiting for cached pieces longer than it takes to prefill the whole
    # prompt saves no time
    excess_ms = wait_ms + prefill_ms - levels.prompt_pieces * piece_ms
    total += (1.0 - weight) * SLOWER_THAN_PREFILL_FACTOR * max(0.0, excess_ms)
    total += weight * wasted_ms * (1.0 + pressure)
    total += POSITION_PENALTY_MS * position
    if target.failure_domain != state.failure_domain:
        total += REMOTE_DOMAIN_PENALTY_MS
    if state.target_loads.is_draining(target.name):
        total += DRAINING_PENALTY_MS
    reason = (
        f"place={position} cached={cached:.1f} known={estimate.is_reported}"
    )
    if cache_state is not None:
        reason = (
            f"place={position} held={cached:.0f}"
            f" life_ms={cache_state.cache_lifetime_ms:.0f}"
        )
    return api.Candidate(target, total, wait_ms, missing, piece_ms, reason)


def eviction_pressure(cache_lifetime_ms: float) -> float:
    """Returns from 0 to 1 how soon pieces that a target evicts are missed.

    Args:
        cache_lifetime_ms: How long its unused pieces stay cached; 0 if not
            known.
    """
    return (
        min(1.0, SHORT_LIFETIME_MS / cache_lifetime_ms)
        if cache_lifetime_ms
        else 0.0
    )


def rank_by_load(
    state: policies.RoutingState,
    query: api.Query,
    targets: tuple[records.Target, ...],
) -> list[api.Candidate]:
    """Returns the targets by expected wait.

    Ties are broken by a hash of the request id, so that requests spread.
    """
    candidates = []
    for target in targets:
        estimate = state.target_loads.estimate(target.name)
        wait_ms = (
            estimate.queue_ms + OPEN_REQUEST_PENALTY_MS * estimate.open_requests
        )
        total = wait_ms
        if target.failure_domain != state.failure_domain:
            total += REMOTE_DOMAIN_PENALTY_MS / 2
        if state.target_loads.is_draining(target.name):
            total += DRAINING_PENALTY_MS
        candidates.append(api.Candidate(target, total, wait_ms, reason="load"))
    candidates.sort(
        key=lambda c: (
            c.score,
            -rendezvous.hash_weight(query.request_id, c.target.name, 1),
        )
    )
    return candidates


__all__ = ["UNSCORED", "rank_by_load", "score_target"]
