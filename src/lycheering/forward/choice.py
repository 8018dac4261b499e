"""Chooses the target of a request by what is known of all of them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from lycheering.forward import target_book


@dataclasses.dataclass(frozen=True)
class ChoiceSettings:
    """Weights of a choice, in milliseconds unless said otherwise.

    Attributes:
        tokens_per_ms: Prompt tokens that an engine reads in a millisecond.
        other_request_ms: Work of a request of which only the count is known.
        running_ms: What each running request slows a new one down by.
        held_ms: Cost of an engine that is kept free for an order.
        old_weights_ms: Cost of an engine on older weights.
        suspect_ms: Cost of a target that failed of late.
        other_domain_ms: Cost of a target in another failure domain.
        affinity: Part of the shared parts that the first in the order of a
            prefix is taken to hold when this entry does not know it.
        silence_ms: Silence that is no sign of a failure.
    """

    tokens_per_ms: float = 50.0
    other_request_ms: float = 30.0
    running_ms: float = 1.0
    held_ms: float = 2_000.0
    old_weights_ms: float = 150.0
    suspect_ms: float = 5_000.0
    other_domain_ms: float = 2.0
    affinity: float = 0.8
    silence_ms: float = 500.0


@dataclasses.dataclass(frozen=True)
class Work:
    """What a request asks of a target.

    Attributes:
        prompt_tokens: The tokens of its prompt.
        shared_tokens: Those of them that other requests may share.
        chains: The chain of each part of its prompt.
        affinity_key: Requests of one key are best kept together.
        model: The model asked for.
        wanted_version: The newest weights named of it.
    """

    prompt_tokens: int = 0
    shared_tokens: int = 0
    chains: tuple[str, ...] = ()
    affinity_key: str = ""
    model: str = ""
    wanted_version: int = 0


@dataclasses.dataclass(frozen=True)
class Estimate:
    """What a request is expected to meet at a target.

    Attributes:
        state: The target.
        cost_ms: What the choice goes by.
        wait_ms: Time to the start of the answer.
        unread_tokens: Tokens that it would have to read.
    """

    state: target_book.TargetState
    cost_ms: float
    wait_ms: float
    unread_tokens: int


def choose(
    states: Sequence[target_book.TargetState],
    work: Work,
    settings: ChoiceSettings,
    failure_domain: str,
    excluded: Collection[str],
    now_ms: float,
) -> Estimate | None:
    """Returns the target of least cost, or None if there is none.

    Args:
        states: The targets that may get work.
        work: What the request asks.
        settings: The weights.
        failure_domain: Where this entry is.
        excluded: Keys of targets that are not asked again.
        now_ms: The time.
    """
    able = [state for state in states if state.target.key not in excluded]
    if not able:
        return None
    first = _first_ranked(able, work.affinity_key)
    estimates = [
        _estimate(state, work, settings, failure_domain, first, now_ms)
        for state in able
    ]
    return min(estimates, key=lambda estimate: estimate.cost_ms)


def _first_ranked(
    states: Sequence[target_book.TargetState], key: str
) -> target_book.TargetState | None:
    """Returns the target that all entries prefer for a key."""
    if not key:
        return None
    return max(
        states,
        key=lambda state: xxhash.xxh3_64_intdigest(
            f"{key}\0{state.target.target_id}".encode()
        ),
    )


def _estimate(
    state: target_book.TargetState,
    work: Work,
    settings: ChoiceSettings,
    failure_domain: str,
    first: target_book.TargetState | None,
    now_ms: float,
) -> Estimate:
    held = state.cached.held_tokens(work.chains)
    if state is first:
        held = max(held, int(settings.affinity * work.shared_tokens))
    unread = max(0, work.prompt_tokens - held)
    own = len(state.outstanding_by_id)
    others = state.others(now_ms)
    wait_ms = (
        (state.unread_tokens() + unread) / settings.tokens_per_ms
        + others * settings.other_request_ms
        + own * settings.running_ms
    )
    cost_ms = wait_ms
    target = state.target
    if target.failure_domain != failure_domain:
        cost_ms += settings.other_domain_ms
    if target.is_held:
        cost_ms += settings.held_ms
    version = target.version_by_model.get(work.model, work.wanted_version)
    if version < work.wanted_version:
        cost_ms += settings.old_weights_ms
    if state.suspect_until_ms > now_ms:
        cost_ms += settings.suspect_ms
    cost_ms += max(0.0, state.silent_ms(now_ms) - settings.silence_ms)
    return Estimate(state, cost_ms, wait_ms, unread)


__all__ = ["ChoiceSettings", "Estimate", "Work", "choose"]
