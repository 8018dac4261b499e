"""What an entry takes a target's cache to hold."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering.forward import api


class CachedParts:
    """The parts that a target has read, those unused longest dropped first.

    A part counts only below the parts that it was read behind, so its key
    here is a digest of the chain of keys from the start of the prompt.
    """

    def __init__(self, most_tokens: int) -> None:
        """Makes an empty cache.

        Args:
            most_tokens: The tokens that the target's memory holds.
        """
        self._most_tokens = most_tokens
        self._tokens = 0
        self._tokens_by_chain: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def held_tokens(self, chains: Sequence[int]) -> int:
        """Returns how many leading tokens of a prompt are held.

        Args:
            chains: The chain of each part of the prompt.
        """
        held = 0
        for chain in chains:
            tokens = self._tokens_by_chain.get(chain)
            if tokens is None:
                break
            held += tokens
        return held

    def add(self, chains: Sequence[int], tokens: Sequence[int]) -> None:
        """Counts a prompt as read.

        Args:
            chains: The chain of each part.
            tokens: The length of each part.
        """
        # the outer parts are used latest, so that they outlive inner ones
        for chain, size in reversed(list(zip(chains, tokens, strict=True))):
            known = self._tokens_by_chain.pop(chain, None)
            if known is not None:
                self._tokens -= known
            self._tokens_by_chain[chain] = size
            self._tokens += size
        while self._tokens > self._most_tokens:
            _, dropped = self._tokens_by_chain.popitem(last=False)
            self._tokens -= dropped

    def clear(self) -> None:
        """Forgets everything."""
        self._tokens_by_chain.clear()
        self._tokens = 0


def chains_of(scope: str, parts: Sequence[api.PromptPart]) -> list[int]:
    """Returns the chain of each part of a prompt.

    Args:
        scope: Prompts of other scopes share nothing with it.
        parts: The parts, in order.
    """
    chains = []
    chain = xxhash.xxh3_64(scope.encode())
    for part in parts:
        chain.update(f"/{part.key}".encode())
        chains.append(chain.intdigest())
    return chains


__all__ = ["CachedParts", "chains_of"]
