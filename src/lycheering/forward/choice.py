"""Chooses the target of a request by what is known of all of them."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from lycheering.forward import target_state

# a target that is silent for so long is not asked for cached parts
SILENT_SOURCE_MS = 800.0


@dataclasses.dataclass(frozen=True)
class ChoiceSettings:
    """Weights of a choice, in milliseconds unless said otherwise.

    Attributes:
        other_request_ms: Work of a waiting request of which only the count
            is known.
        known_request_ms: Work of each request of any entry besides, where
            entries share what they have.
        own_request_ms: Work of each of this entry's own requests besides.
        running_ms: What each running request slows a new one down by.
        held_ms: Cost of an engine that is kept free for an order.
        old_weights_part: Cost of an engine on older weights, as a part of
            the latency objective.
        old_grace_ms: Time after new weights are named without that cost.
        old_limit_ms: Time after which no request starts on older weights.
        old_avoided_part: Part of that time after which an engine gets work
            only if no other can take it.
        wait_margin: How much longer than expected a start may take.
        suspect_ms: Cost of a target that failed of late.
        other_domain_ms: Cost of a target in another failure domain.
        connect_ms: Cost of a target to which a connection must be opened.
        affinity: Part of the shared parts that the first in the order of a
            prefix is taken to hold when this entry does not know it.
        silence_ms: Silence that is no sign of a failure.
        apart_ms: Cost of a target at which a prefix is not kept together.
        compared: Part of the targets that a choice compares.
        least_compared: The fewest targets that it compares.
    """

    other_request_ms: float = 85.0
    known_request_ms: float = 5.0
    own_request_ms: float = 18.0
    running_ms: float = 1.0
    held_ms: float = 2_000.0
    old_weights_part: float = 0.2
    old_grace_ms: float = 1_200.0
    old_limit_ms: float = 8_000.0
    old_avoided_part: float = 0.8
    wait_margin: float = 2.0
    suspect_ms: float = 5_000.0
    other_domain_ms: float = 2.0
    connect_ms: float = 8.0
    affinity: float = 0.8
    silence_ms: float = 500.0
    apart_ms: float = 150.0
    compared: float = 0.12
    least_compared: int = 3


@dataclasses.dataclass(frozen=True)
class Work:
    """What a request asks of a target.

    Attributes:
        prompt_tokens: The tokens of its prompt.
        shared_tokens: Those of them that other requests may share.
        chains: The chain of each part of its prompt.
        affinity_key: Requests of one key are best kept together.
        width: On how many targets they are.
        model: The model asked for.
        names: Each version of its weights that was named of late, and how
            long ago, the oldest first.
        objective_ms: The latency objective of its route.
    """

    prompt_tokens: int = 0
    shared_tokens: int = 0
    chains: tuple[int, ...] = ()
    affinity_key: int = 0
    width: int = 1
    model: str = ""
    names: tuple[tuple[int, float], ...] = ()
    objective_ms: float = 0.0

    def outdated_ms(self, state: target_state.TargetState) -> float:
        """Returns how long a target has lacked weights that are wanted.

        It counts from the first version that it lacks: later ones do not make
        what it has any newer.
        """
        held = self.version_at(state)
        for version, age_ms in self.names:
            if version > held:
                return age_ms
        return 0.0

    def is_held_at(self, state: target_state.TargetState) -> bool:
        """Returns whether a target is known to hold all shared parts."""
        held = state.cached.held_tokens(self.chains[:-1])
        return held >= self.shared_tokens

    def version_at(self, state: target_state.TargetState) -> int:
        """Returns the weights version that a target has."""
        newest = self.names[-1][0] if self.names else 0
        return state.target.version_by_model.get(self.model, newest)


@dataclasses.dataclass(frozen=True)
class Estimate:
    """What a request is expected to meet at a target.

    Attributes:
        state: The target.
        cost_ms: What the choice goes by.
        wait_ms: Time to the start of the answer.
        queue_ms: The part of it before the request itself is read.
        unread_tokens: Tokens that it would have to read.
        ahead_tokens: Those and the ones to be read before them.
        ahead_ms: The part of the queue that is not for tokens.
    """

    state: target_state.TargetState
    cost_ms: float
    wait_ms: float
    queue_ms: float
    unread_tokens: int
    ahead_tokens: int = 0
    ahead_ms: float = 0.0


def choose(
    states: Sequence[target_state.TargetState],
    work: Work,
    settings: ChoiceSettings,
    failure_domain: str,
    excluded: Collection[str],
    now_ms: float,
    randomness: random.Random,
    connected: Collection[str] = (),
) -> Estimate | None:
    """Returns the target of least cost, or None if there is none.

    Args:
        states: The targets that may get work.
        work: What the request asks.
        settings: The weights.
        failure_domain: Where this entry is.
        excluded: Keys of targets that are not asked again.
        now_ms: The time.
        randomness: Draws the targets that are compared.
        connected: Keys of targets to which a connection is kept.
    """
    able = [
        state
        for state in states
        if state.target.key not in excluded and state.may_get_work(now_ms)
    ]
    if not able:
        return None
    fit = _fit(able, now_ms)
    holder = max(fit, key=lambda state: state.cached.held_tokens(work.chains))
    homes = ranked(fit, work.affinity_key)[: work.width]
    if not any(work.is_held_at(state) for state in homes):
        homes.append(holder)
    drawn = _drawn(fit, settings, randomness)
    if not work.chains:
        drawn += [state for state in fit if state.target.key in connected]

    def cost_ms(estimate: Estimate) -> float:
        is_connected = estimate.state.target.key in connected
        return estimate.cost_ms + (not is_connected) * settings.connect_ms

    compared = dict.fromkeys([*homes, holder, *drawn])
    for candidates in (compared, able):
        estimates = [
            _estimate(state, work, settings, failure_domain, homes, now_ms)
            for state in candidates
        ]
        timely = [
            estimate
            for estimate in estimates
            if _starts_in_time(estimate, work, settings)
        ]
        if timely:
            return min(timely, key=cost_ms)
    return None


def _starts_in_time(
    estimate: Estimate, work: Work, settings: ChoiceSettings
) -> bool:
    """Returns whether a request starts before its weights are too old."""
    outdated_ms = work.outdated_ms(estimate.state)
    if not outdated_ms:
        return True
    wait_ms = settings.wait_margin * estimate.wait_ms
    return outdated_ms + wait_ms <= settings.old_limit_ms


def fetch_source(
    states: Sequence[target_state.TargetState],
    chosen: target_state.TargetState,
    work: Work,
    now_ms: float,
) -> target_state.TargetState | None:
    """Returns the target that most likely holds what the chosen one lacks.

    Only targets on the weights of the chosen one count, since what others
    hold was made by other weights.

    Args:
        states: The targets that may be asked.
        chosen: The target that gets the request.
        work: What the request asks.
        now_ms: The time.
    """
    shared = work.chains[:-1]
    if not shared:
        return None
    version = work.version_at(chosen)
    able = [
        state
        for state in states
        if state is not chosen
        and work.version_at(state) == version
        and not state.is_suspect(now_ms)
        and state.silent_ms(now_ms) < SILENT_SOURCE_MS
    ]
    if not able:
        return None
    best = max(able, key=lambda state: state.cached.held_tokens(shared))
    if best.cached.held_tokens(shared) > chosen.cached.held_tokens(shared):
        return best
    if chosen.cached.held_tokens(shared) >= work.shared_tokens:
        return None
    # other entries may have had it read where they all keep it
    order = ranked([*able, chosen], work.affinity_key)
    if order[0] is not chosen:
        return order[0]
    outermost = ranked(able, shared[0])
    return outermost[0]


def _drawn(
    fit: Sequence[target_state.TargetState],
    settings: ChoiceSettings,
    randomness: random.Random,
) -> list[target_state.TargetState]:
    """Returns the targets that are compared besides those of the prefix.

    What is known of loads is some time old. If all entries compared all
    targets, those that were free would get what all of them send in that time.
    """
    count = max(settings.least_compared, int(len(fit) * settings.compared))
    return randomness.sample(fit, min(count, len(fit)))


def _fit(
    able: Sequence[target_state.TargetState], now_ms: float
) -> Sequence[target_state.TargetState]:
    """Returns the targets that a prefix may be kept at for now."""
    fit = [
        state
        for state in able
        if not state.target.is_held and not state.is_suspect(now_ms)
    ]
    return fit or able


def ranked(
    states: Sequence[target_state.TargetState], key: int
) -> list[target_state.TargetState]:
    """Returns the targets in the order that all entries prefer for a key."""
    if not key:
        return []
    return sorted(
        states,
        key=lambda state: xxhash.xxh3_64_intdigest(
            state.target.target_id.encode(), key
        ),
        reverse=True,
    )


def _estimate(
    state: target_state.TargetState,
    work: Work,
    settings: ChoiceSettings,
    failure_domain: str,
    homes: Collection[target_state.TargetState],
    now_ms: float,
) -> Estimate:
    held = state.cached.held_tokens(work.chains)
    if state in homes:
        held = max(held, int(settings.affinity * work.shared_tokens))
    unread = max(0, work.prompt_tokens - held)
    own = len(state.outstanding_by_id)
    rate = state.rate.tokens_per_ms()
    ahead_tokens = state.unread_tokens()
    others = state.others(now_ms)
    if others is not None:
        ahead_tokens += state.others_unread(now_ms)
        ahead_ms = (own + others.requests) * settings.known_request_ms
    else:
        ahead_ms = state.others_waiting(now_ms) * settings.other_request_ms
        ahead_ms += own * settings.own_request_ms
        ahead_ms += state.others_running(now_ms) * settings.running_ms
    queue_ms = ahead_tokens / rate + ahead_ms
    wait_ms = queue_ms + unread / rate
    cost_ms = wait_ms
    if work.affinity_key and state not in homes:
        cost_ms += settings.apart_ms
    target = state.target
    if target.failure_domain != failure_domain:
        cost_ms += settings.other_domain_ms
    if target.is_held:
        cost_ms += settings.held_ms
    outdated_ms = work.outdated_ms(state)
    if outdated_ms > settings.old_grace_ms:
        cost_ms += settings.old_weights_part * work.objective_ms
    if outdated_ms > settings.old_avoided_part * settings.old_limit_ms:
        cost_ms += settings.held_ms
    if state.is_suspect(now_ms):
        cost_ms += settings.suspect_ms
    cost_ms += max(0.0, state.silent_ms(now_ms) - settings.silence_ms)
    return Estimate(
        state,
        cost_ms,
        wait_ms,
        queue_ms,
        unread,
        ahead_tokens + unread,
        ahead_ms,
    )


__all__ = [
    "ChoiceSettings",
    "Estimate",
    "Work",
    "choose",
    "fetch_source",
    "ranked",
]
