"""Models which prompt prefixes a target's KV cache holds."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering.forward import api


class PrefixCacheModel:
    """The prompt parts that a target has prefilled, evicted in LRU order.

    A cached part is of use only after the same preceding parts. Each part is
    therefore identified by a hash of the prompt from its start to the end of
    the part.
    """

    def __init__(self, max_tokens: int) -> None:
        """Creates an empty cache.

        Args:
            max_tokens: Tokens that fit into the target's KV cache.
        """
        self._max_tokens = max_tokens
        self._tokens = 0
        self._tokens_by_prefix: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def cached_tokens(self, prefix_hashes: Sequence[int]) -> int:
        """Returns the number of leading prompt tokens that are cached.

        Args:
            prefix_hashes: Hash of each prefix of the prompt, shortest first.
        """
        cached = 0
        for prefix_hash in prefix_hashes:
            tokens = self._tokens_by_prefix.get(prefix_hash)
            if tokens is None:
                break
            cached += tokens
        return cached

    def add(self, prefix_hashes: Sequence[int], tokens: Sequence[int]) -> None:
        """Adds a prefilled prompt.

        Args:
            prefix_hashes: Hash of each prefix of the prompt, shortest first.
            tokens: Number of tokens in each part.
        """
        # The first parts are touched last, so that they are evicted after the
        # parts that depend on them.
        for prefix_hash, size in reversed(
            list(zip(prefix_hashes, tokens, strict=True))
        ):
            known = self._tokens_by_prefix.pop(prefix_hash, None)
            if known is not None:
                self._tokens -= known
            self._tokens_by_prefix[prefix_hash] = size
            self._tokens += size
        while self._tokens > self._max_tokens:
            _, evicted = self._tokens_by_prefix.popitem(last=False)
            self._tokens -= evicted

    def clear(self) -> None:
        """Removes everything."""
        self._tokens_by_prefix.clear()
        self._tokens = 0


def hash_prefixes(scope: str, parts: Sequence[api.PromptPart]) -> list[int]:
    """Returns the hash of each prefix of a prompt, shortest first.

    Args:
        scope: Prompts of different scopes have no hashes in common.
        parts: The parts of the prompt, in order.
    """
    prefix_hashes = []
    hasher = xxhash.xxh3_64(scope.encode())
    for part in parts:
        hasher.update(f"/{part.key}".encode())
        prefix_hashes.append(hasher.intdigest())
    return prefix_hashes


__all__ = ["PrefixCacheModel", "hash_prefixes"]
