"""Where a target gets shared parts of a prompt from, and who keeps them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import xxhash

from lycheering.forward import choice

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering.forward import target_registry
    from lycheering.forward import target_state

# shorter shared parts are read again sooner than they are moved
LEAST_SAVED_TOKENS = 1_000


@dataclasses.dataclass(frozen=True)
class Plan:
    """How the shared parts of a prompt get to a target.

    Attributes:
        fetch_from: Who has what the target lacks, None for nobody.
        store: The store that all entries use for them, None for none.
        saves: Whether the store is to keep them.
        store_chains: The chains of all parts as stores know them.
    """

    fetch_from: target_state.TargetState | None = None
    store: target_state.TargetState | None = None
    saves: bool = False
    store_chains: tuple[int, ...] = ()

    def count(
        self, registry: target_registry.TargetRegistry, tokens: Sequence[int]
    ) -> None:
        """Counts the parts as used at the store, once they are read.

        Args:
            registry: What is known of targets.
            tokens: The length of each part.
        """
        if self.store is None:
            return
        if self.saves:
            registry.read(self.store, self.store_chains, tokens)
        elif self.fetch_from is self.store:
            registry.read(self.store, self.store_chains[:-1], tokens[:-1])


def plan(
    states: Sequence[target_state.TargetState],
    stores: Sequence[target_state.TargetState],
    chosen: target_state.TargetState,
    work: choice.Work,
    now_ms: float,
) -> Plan:
    """Returns how the shared parts of a prompt get to a target.

    An engine that holds them is asked first, as its link is the faster one.
    A store holds what engines had to drop, so it is asked when none is known
    to hold them, and also when the chosen target should: what that one holds
    is not fetched.

    Args:
        states: The targets that may be asked.
        stores: The stores that answer.
        chosen: The target that gets the request.
        work: What the request asks.
        now_ms: The time.
    """
    source = choice.fetch_source(states, chosen, work, now_ms)
    store = store_of(stores, work)
    if store is None:
        return Plan(source)
    chains = store_chains(work, chosen)
    if store.cached.held_tokens(chains[:-1]) < work.shared_tokens:
        own_tokens = work.prompt_tokens - work.shared_tokens
        if own_tokens > work.shared_tokens:
            # all parts are moved, and the own one is of no use to others
            return Plan(source)
        return Plan(source, store, saves=True, store_chains=chains)
    shared = work.chains[:-1]
    held = source.cached.held_tokens(shared) if source is not None else 0
    if held < work.shared_tokens:
        source = store
    return Plan(source, store, store_chains=chains)


def store_of(
    stores: Sequence[target_state.TargetState], work: choice.Work
) -> target_state.TargetState | None:
    """Returns the store that all entries use for a prompt, if any."""
    if work.shared_tokens < LEAST_SAVED_TOKENS:
        return None
    order = choice.ranked(stores, work.chains[-2])
    return order[0] if order else None


def store_chains(
    work: choice.Work, chosen: target_state.TargetState
) -> tuple[int, ...]:
    """Returns the chains of a prompt for the weights of a target.

    A store keeps what was read with any weights, a target only what was read
    with its own.

    Args:
        work: What the request asks.
        chosen: The target that reads it.
    """
    version = work.version_at(chosen)
    return tuple(
        xxhash.xxh3_64_intdigest(b"%d" % chain, version)
        for chain in work.chains
    )


__all__ = ["Plan", "plan", "store_chains", "store_of"]
