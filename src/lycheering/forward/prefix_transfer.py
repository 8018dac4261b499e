"""Plans from where a target fetches cached prefixes, and where they go."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import xxhash

from lycheering.forward import target_selection

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering.forward import target_registry
    from lycheering.forward import target_state

# a shorter prefix is prefilled again faster than it is transferred
MIN_STORED_TOKENS = 1_000


@dataclasses.dataclass(frozen=True)
class TransferPlan:
    """How the KV cache blocks of a prompt are transferred.

    Attributes:
        fetch_from: Target that caches what the selected target lacks; None
            for no fetch.
        store: Store that all entries use for the prompt; None for none.
        is_saved: Whether the selected target saves the prompt to the store.
        store_hashes: Hash of each prefix of the prompt, as used for the store.
    """

    fetch_from: target_state.TargetState | None = None
    store: target_state.TargetState | None = None
    is_saved: bool = False
    store_hashes: tuple[int, ...] = ()

    def record_use(
        self, registry: target_registry.TargetRegistry, tokens: Sequence[int]
    ) -> None:
        """Records the use of the store once the prompt is prefilled.

        Args:
            registry: The states of all targets.
            tokens: Number of tokens in each part of the prompt.
        """
        if self.store is None:
            return
        if self.is_saved:
            registry.record_prefill(self.store, self.store_hashes, tokens)
        elif self.fetch_from is self.store:
            registry.record_prefill(
                self.store, self.store_hashes[:-1], tokens[:-1]
            )


def plan_transfer(
    states: Sequence[target_state.TargetState],
    stores: Sequence[target_state.TargetState],
    selected: target_state.TargetState,
    profile: target_selection.RequestProfile,
    now_ms: float,
) -> TransferPlan:
    """Returns how the KV cache blocks of a prompt are transferred.

    Engines are preferred as sources, since their links are faster. A store
    keeps what engines had to evict. It is the source if no engine is known to
    cache the whole shared prefix, even if the selected target is thought to
    cache it: a target does not fetch what it has.

    Args:
        states: The targets that may be asked.
        stores: The stores that may be asked.
        selected: The target that gets the request.
        profile: The request.
        now_ms: The current time.
    """
    source = target_selection.select_fetch_source(
        states, selected, profile, now_ms
    )
    store = select_store(stores, profile)
    if store is None:
        return TransferPlan(source)
    store_hashes = hash_for_store(profile, selected)
    if store.cache.cached_tokens(store_hashes[:-1]) < profile.shared_tokens:
        own_tokens = profile.prompt_tokens - profile.shared_tokens
        if own_tokens > profile.shared_tokens:
            # A save transfers all parts, and no other request can use the
            # part that is the request's own.
            return TransferPlan(source)
        return TransferPlan(
            source, store, is_saved=True, store_hashes=store_hashes
        )
    shared_hashes = profile.prefix_hashes[:-1]
    cached = (
        source.cache.cached_tokens(shared_hashes) if source is not None else 0
    )
    if cached < profile.shared_tokens:
        source = store
    return TransferPlan(source, store, store_hashes=store_hashes)


def select_store(
    stores: Sequence[target_state.TargetState],
    profile: target_selection.RequestProfile,
) -> target_state.TargetState | None:
    """Returns the store that all entries use for a prompt, or None."""
    if profile.shared_tokens < MIN_STORED_TOKENS:
        return None
    order = target_selection.rendezvous_order(stores, profile.prefix_hashes[-2])
    return order[0] if order else None


def hash_for_store(
    profile: target_selection.RequestProfile,
    selected: target_state.TargetState,
) -> tuple[int, ...]:
    """Returns the prefix hashes of a prompt combined with a weights version.

    A store keeps blocks of all weights versions, whereas the cache of a target
    only has blocks of its own version.

    Args:
        profile: The request.
        selected: The target whose weights version counts.
    """
    version = profile.version_at(selected)
    return tuple(
        xxhash.xxh3_64_intdigest(b"%d" % prefix_hash, version)
        for prefix_hash in profile.prefix_hashes
    )


__all__ = ["TransferPlan", "hash_for_store", "plan_transfer", "select_store"]
