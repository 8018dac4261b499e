"""Selects the target of a request by its expected cost at each target."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import TYPE_CHECKING

import xxhash

from lycheering.forward import prompt_order

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from lycheering.forward import target_state

# a target that has been silent for this long is not used as a fetch source
MAX_SOURCE_SILENCE_MS = 800.0
# leading bits of a hash that make a fraction below 1 without rounding
FRACTION_BITS = 52


@dataclasses.dataclass(frozen=True)
class SelectionSettings:
    """Cost terms of target selection, in milliseconds unless noted otherwise.

    Attributes:
        waiting_request_ms: Expected work of a request that waits at the
            target, where only the number of such requests is known.
        request_overhead_ms: Overhead of each request at the target besides
            its prefill, where the entries share their loads.
        own_request_overhead_ms: Overhead of each of this entry's own requests
            at the target, where the entries do not share their loads.
        running_request_ms: Delay that each running request adds to a new one.
        last_resort_penalty_ms: Penalty of a target that is meant to get work
            only if no other can take it: one that is reserved for an order,
            or one that has had outdated weights for almost too long.
        outdated_penalty_fraction: Penalty of a target with outdated weights,
            as a fraction of the latency objective.
        outdated_grace_ms: Time after the announcement of new weights during
            which the old ones cost nothing.
        outdated_limit_ms: Time after which no request may start on outdated
            weights.
        outdated_avoid_fraction: Fraction of that limit after which a target
            with outdated weights becomes a last resort.
        wait_safety_factor: Factor on the expected wait when it is compared
            with the limit for outdated weights.
        suspect_penalty_ms: Penalty of a target that failed recently.
        other_domain_penalty_ms: Penalty of a target in another failure domain.
        connect_ms: Cost of opening a connection to the target.
        assumed_cached_fraction: Fraction of the shared prompt prefix that a
            preferred target is assumed to have cached if this entry does not
            know about it.
        silence_tolerance_ms: Silence of a target that adds no cost.
        non_preferred_penalty_ms: Penalty of a target that is not one of the
            preferred targets of the prefix.
        sample_fraction: Fraction of the targets that is sampled at random as
            candidates.
        min_sample_size: Smallest number of targets in that sample.
        permit_cost_fraction: Cost of the smallest requests at targets that
            limit the number of requests, as a fraction of the latency
            objective. It decreases with the size and is negative for requests
            above the mean, so that the few permits are used for large ones.
        max_relative_size: Size, as a multiple of the mean, above which that
            cost does not decrease further.
    """

    waiting_request_ms: float = 85.0
    request_overhead_ms: float = 5.0
    own_request_overhead_ms: float = 18.0
    running_request_ms: float = 1.0
    last_resort_penalty_ms: float = 2_000.0
    outdated_penalty_fraction: float = 0.2
    outdated_grace_ms: float = 1_200.0
    outdated_limit_ms: float = 8_000.0
    outdated_avoid_fraction: float = 0.8
    wait_safety_factor: float = 2.0
    suspect_penalty_ms: float = 5_000.0
    other_domain_penalty_ms: float = 2.0
    connect_ms: float = 8.0
    assumed_cached_fraction: float = 0.8
    silence_tolerance_ms: float = 500.0
    non_preferred_penalty_ms: float = 150.0
    sample_fraction: float = 0.12
    min_sample_size: int = 3
    permit_cost_fraction: float = 0.7
    max_relative_size: float = 1.5


@dataclasses.dataclass(frozen=True)
class RequestProfile:
    """Properties of a request that target selection depends on.

    Attributes:
        prompt_tokens: Number of tokens in its prompt.
        shared_tokens: Number of leading prompt tokens that other requests may
            have in common with it.
        prefix_hashes: Hash of the prompt up to the end of each of its parts,
            shortest prefix first.
        affinity_key: Hash of the prefix by which requests are routed to the
            same targets; 0 for none.
        replica_count: Number of targets over which the requests of that
            prefix are spread.
        model: Name of the requested model.
        version_ages: Each recently announced weights version of that model
            and the milliseconds since its announcement, oldest first.
        objective_ms: Latency objective of its route; 0 for none.
        mean_prefill_tokens: Mean of the tokens that targets had to prefill
            for recent requests to its service.
        is_first: Whether it is of the most urgent level at its engines.
        overtaking: The part of the engines' time that goes to more urgent
            prompts, those that come after this one included.
        gap_ms: Mean of the longest gap between events in recent streams of its
            route, at the usual pace; 0 if not known.
        gap_objective_ms: Longest gap with which its stream is on time; 0 for
            any.
    """

    prompt_tokens: int = 0
    shared_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    affinity_key: int = 0
    replica_count: int = 1
    model: str = ""
    version_ages: tuple[tuple[int, float], ...] = ()
    objective_ms: float = 0.0
    mean_prefill_tokens: float = 0.0
    is_first: bool = False
    overtaking: float = 0.0
    gap_ms: float = 0.0
    gap_objective_ms: float = 0.0

    def late_gap_share(
        self, state: target_state.TargetState, now_ms: float
    ) -> float:
        """Returns the expected share of streams with too long a gap.

        The longest gaps of streams are about exponentially distributed.
        """
        if not self.gap_ms or not self.gap_objective_ms:
            return 0.0
        gap_ms = self.gap_ms * state.pace.mean_factor(now_ms)
        return math.exp(-self.gap_objective_ms / gap_ms)

    def outdated_ms(self, state: target_state.TargetState) -> float:
        """Returns for how long a target's weights have been outdated.

        The time counts from the announcement of the first version that the
        target lacks. Later announcements do not reset it.
        """
        loaded = self.version_at(state)
        for version, age_ms in self.version_ages:
            if version > loaded:
                return age_ms
        return 0.0

    def is_cached_at(self, state: target_state.TargetState) -> bool:
        """Returns whether a target is known to cache the shared prefix."""
        cached = state.cache.cached_tokens(self.prefix_hashes[:-1])
        return cached >= self.shared_tokens

    def version_at(self, state: target_state.TargetState) -> int:
        """Returns the version of the model's weights that a target has."""
        newest = self.version_ages[-1][0] if self.version_ages else 0
        return state.target.version_by_model.get(self.model, newest)


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Expected cost and delay of a request at one target.

    Attributes:
        state: The target.
        cost_ms: Cost by which targets are compared: the wait and penalties.
        wait_ms: Expected time until the answer starts.
        queue_ms: Part of the wait before the target starts the request's own
            prefill.
        uncached_tokens: Prompt tokens that the target has to prefill for the
            request.
        total_prefill_tokens: Those and the tokens of requests queued before.
        overhead_ms: Part of the queue that does not depend on tokens.
        time_factor: How much longer than usual work is expected to take.
    """

    state: target_state.TargetState
    cost_ms: float
    wait_ms: float
    queue_ms: float
    uncached_tokens: int
    total_prefill_tokens: int = 0
    overhead_ms: float = 0.0
    time_factor: float = 1.0


def select_target(
    states: Sequence[target_state.TargetState],
    profile: RequestProfile,
    settings: SelectionSettings,
    failure_domain: str,
    excluded_keys: Collection[str],
    now_ms: float,
    rng: random.Random,
    connected_keys: Collection[str] = (),
) -> Estimate | None:
    """Returns the target of least cost, or None if there is none.

    The candidates are the preferred targets of the prefix, the target that
    caches most of it, and a random sample. All available targets are compared
    only if no candidate can start the request before its weights are too old.

    Args:
        states: The targets that may get work.
        profile: The request.
        settings: The cost terms.
        failure_domain: Failure domain of this entry.
        excluded_keys: Keys of targets that must not be selected.
        now_ms: The current time.
        rng: Source of randomness for the sample.
        connected_keys: Keys of targets to which an idle connection is open.
    """
    available = [
        state
        for state in states
        if state.target.key not in excluded_keys
        and state.accepts_requests(now_ms)
    ]
    if not available:
        return None
    healthy = _healthy_or_all(available, now_ms)
    best_cached = max(
        healthy,
        key=lambda state: state.cache.cached_tokens(profile.prefix_hashes),
    )
    preferred = rendezvous_order(healthy, profile.affinity_key)[
        : profile.replica_count
    ]
    if not any(profile.is_cached_at(state) for state in preferred):
        preferred.append(best_cached)
    sampled = _sample(healthy, settings, rng)
    if not profile.prefix_hashes:
        sampled += [
            state for state in healthy if state.target.key in connected_keys
        ]

    # permits bound what all entries send to these, so none can be flooded
    sampled += [state for state in healthy if state.rate.is_limited]

    def cost_ms(estimate: Estimate) -> float:
        is_connected = estimate.state.target.key in connected_keys
        return estimate.cost_ms + (not is_connected) * settings.connect_ms

    shortlist = dict.fromkeys([*preferred, best_cached, *sampled])
    for candidates in (shortlist, available):
        estimates = [
            _estimate(
                state, profile, settings, failure_domain, preferred, now_ms
            )
            for state in candidates
        ]
        in_time = [
            estimate
            for estimate in estimates
            if _starts_before_limit(estimate, profile, settings)
        ]
        if in_time:
            return min(in_time, key=cost_ms)
    return None


def _starts_before_limit(
    estimate: Estimate, profile: RequestProfile, settings: SelectionSettings
) -> bool:
    """Returns whether the request starts before the weights are too old."""
    outdated_ms = profile.outdated_ms(estimate.state)
    if not outdated_ms:
        return True
    wait_ms = settings.wait_safety_factor * estimate.wait_ms
    return outdated_ms + wait_ms <= settings.outdated_limit_ms


def select_fetch_source(
    states: Sequence[target_state.TargetState],
    selected: target_state.TargetState,
    profile: RequestProfile,
    now_ms: float,
) -> target_state.TargetState | None:
    """Returns the target to fetch cached prefixes from, or None.

    It is the target that most likely caches what the selected one lacks; of
    several that cache the same, one in its failure domain, as transfers between
    failure domains take longer and cost more. Only
    targets with the same weights version as the selected one qualify, as KV
    cache blocks computed with other weights must not be used.

    Args:
        states: The targets that may be asked.
        selected: The target that gets the request.
        profile: The request.
        now_ms: The current time.
    """
    shared_hashes = profile.prefix_hashes[:-1]
    if not shared_hashes:
        return None
    version = profile.version_at(selected)
    available = [
        state
        for state in states
        if state is not selected
        and profile.version_at(state) == version
        and not state.is_suspect(now_ms)
        and state.silent_ms(now_ms) < MAX_SOURCE_SILENCE_MS
    ]
    if not available:
        return None

    def usefulness(state: target_state.TargetState) -> tuple[int, bool]:
        is_near = state.target.failure_domain == selected.target.failure_domain
        return state.cache.cached_tokens(shared_hashes), is_near

    best = max(available, key=usefulness)
    if best.cache.cached_tokens(shared_hashes) > selected.cache.cached_tokens(
        shared_hashes
    ):
        return best
    if selected.cache.cached_tokens(shared_hashes) >= profile.shared_tokens:
        return None
    # Requests of other entries may have filled the cache of the target that
    # all entries prefer for this prefix.
    order = rendezvous_order([*available, selected], profile.affinity_key)
    if order[0] is not selected:
        return order[0]
    outermost = rendezvous_order(available, shared_hashes[0])
    return outermost[0]


def _sample(
    healthy: Sequence[target_state.TargetState],
    settings: SelectionSettings,
    rng: random.Random,
) -> list[target_state.TargetState]:
    """Returns a random sample of targets to compare.

    Known loads are always somewhat outdated. If every entry compared all
    targets, the requests of all entries would pile up on the few targets that
    were idle at the last exchange of loads.
    """
    count = max(
        settings.min_sample_size, int(len(healthy) * settings.sample_fraction)
    )
    return rng.sample(healthy, min(count, len(healthy)))


def _healthy_or_all(
    available: Sequence[target_state.TargetState], now_ms: float
) -> Sequence[target_state.TargetState]:
    """Returns the healthy, unreserved targets, or all if there are none."""
    healthy = [
        state
        for state in available
        if not state.target.is_held and not state.is_suspect(now_ms)
    ]
    return healthy or available


def rendezvous_order(
    states: Sequence[target_state.TargetState], key: int
) -> list[target_state.TargetState]:
    """Returns targets by rendezvous hashing, the most preferred first.

    All entries compute the same order for a key. It is empty for the key 0.
    A target on which work takes half as long is preferred for twice as many
    keys, and a change of its pace moves no other keys.
    """
    if not key:
        return []

    def score(state: target_state.TargetState) -> float:
        digest = xxhash.xxh3_64_intdigest(state.target.target_id.encode(), key)
        fraction = ((digest >> (64 - FRACTION_BITS)) + 0.5) / 2**FRACTION_BITS
        return -state.pace.preference / math.log(fraction)

    return sorted(states, key=score, reverse=True)


def _estimate(
    state: target_state.TargetState,
    profile: RequestProfile,
    settings: SelectionSettings,
    failure_domain: str,
    preferred: Collection[target_state.TargetState],
    now_ms: float,
) -> Estimate:
    cached = state.cache.cached_tokens(profile.prefix_hashes)
    if state in preferred:
        cached = max(
            cached,
            int(settings.assumed_cached_fraction * profile.shared_tokens),
        )
    uncached = max(0, profile.prompt_tokens - cached)
    own_requests = len(state.in_flight_by_id)
    time_factor = state.pace.time_factor(now_ms)
    tokens_per_ms = state.tokens_per_ms(now_ms)
    if not profile.is_first:
        tokens_per_ms *= 1.0 - profile.overtaking
    queued_tokens = prompt_order.tokens_ahead(
        state, now_ms, is_first=profile.is_first
    )
    other_load = state.other_load(now_ms)
    if other_load is not None:
        overhead_ms = (
            own_requests + other_load.requests
        ) * settings.request_overhead_ms
    else:
        overhead_ms = state.other_waiting(now_ms) * settings.waiting_request_ms
        overhead_ms += own_requests * settings.own_request_overhead_ms
        overhead_ms += state.other_running(now_ms) * settings.running_request_ms
    cost_ms = 0.0
    if state.pace.is_known and not profile.model:
        # how long a request waits for a slot follows from the pace
        requests = own_requests + state.other_requests(now_ms)
        cost_ms = requests * settings.request_overhead_ms * time_factor
        overhead_ms = state.slot_wait_ms(requests, now_ms)
    overhead_ms *= time_factor
    queue_ms = queued_tokens / tokens_per_ms + overhead_ms
    wait_ms = queue_ms + uncached / tokens_per_ms
    cost_ms += wait_ms
    if state.pace.is_known:
        late_gap_share = profile.late_gap_share(state, now_ms)
        cost_ms += profile.objective_ms * late_gap_share
    if profile.affinity_key and state not in preferred:
        cost_ms += settings.non_preferred_penalty_ms
    target = state.target
    if target.failure_domain != failure_domain:
        cost_ms += settings.other_domain_penalty_ms
    if target.is_held:
        cost_ms += settings.last_resort_penalty_ms
    outdated_ms = profile.outdated_ms(state)
    if outdated_ms > settings.outdated_grace_ms:
        cost_ms += settings.outdated_penalty_fraction * profile.objective_ms
    if (
        outdated_ms
        > settings.outdated_avoid_fraction * settings.outdated_limit_ms
    ):
        cost_ms += settings.last_resort_penalty_ms
    if state.rate.is_limited and profile.mean_prefill_tokens:
        relative_size = min(
            uncached / profile.mean_prefill_tokens, settings.max_relative_size
        )
        cost_ms += (
            settings.permit_cost_fraction
            * profile.objective_ms
            * (1.0 - relative_size)
        )
    if state.is_suspect(now_ms):
        cost_ms += settings.suspect_penalty_ms
    cost_ms += max(0.0, state.silent_ms(now_ms) - settings.silence_tolerance_ms)
    return Estimate(
        state,
        cost_ms,
        wait_ms,
        queue_ms,
        uncached,
        queued_tokens + uncached,
        overhead_ms,
        time_factor,
    )


__all__ = [
    "Estimate",
    "RequestProfile",
    "SelectionSettings",
    "rendezvous_order",
    "select_fetch_source",
    "select_target",
]
