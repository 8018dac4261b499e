"""Measures the load of prompt prefixes to decide how to place them."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

HALF_LIFE_MS = 8_000.0
MAX_PREFIXES = 20_000
# with more of its capacity spent on one prefix, a target builds up a queue
MAX_TARGET_SHARE = 0.6
# fraction of an equal share below which prefixes are dropped
MIN_SHARE_FRACTION = 1e-3


class PrefixLoad:
    """The share of the total load that each prompt prefix causes.

    The load is counted in prompt tokens and decays exponentially.
    """

    def __init__(self) -> None:
        self._tokens_by_prefix: dict[int, float] = collections.defaultdict(
            float
        )
        self._total_tokens = 0.0
        # New counts are scaled up over time, which has the same effect as
        # decaying all counts on each update.
        self._scale = 1.0
        self._scaled_at_ms: float | None = None

    def record(
        self, prefix_hashes: Sequence[int], tokens: int, now_ms: float
    ) -> None:
        """Adds a request to the load of each of its shared prefixes.

        Args:
            prefix_hashes: Hashes of the prefixes that may be shared.
            tokens: Number of tokens in its prompt.
            now_ms: The current time.
        """
        self._decay(now_ms)
        amount = tokens * self._scale
        self._total_tokens += amount
        for prefix_hash in prefix_hashes:
            self._tokens_by_prefix[prefix_hash] += amount

    def share(self, prefix_hash: int) -> float:
        """Returns the share of a prefix in the total load."""
        if self._total_tokens <= 0:
            return 0.0
        return self._tokens_by_prefix.get(prefix_hash, 0.0) / self._total_tokens

    def placement(
        self, prefix_hashes: Sequence[int], target_count: int
    ) -> tuple[int, int]:
        """Returns the prefix to route by and its number of target replicas.

        It is the shortest prefix whose load fits on one target, so that a
        widely shared prefix is prefilled on as few targets as possible. If
        even the longest one is too hot, it is replicated on several targets.

        Args:
            prefix_hashes: Hashes of the prefixes that may be shared, shortest
                first.
            target_count: Number of targets.
        """
        for prefix_hash in prefix_hashes:
            if self.share(prefix_hash) * target_count <= MAX_TARGET_SHARE:
                return prefix_hash, 1
        longest = prefix_hashes[-1]
        replica_count = math.ceil(
            self.share(longest) * target_count / MAX_TARGET_SHARE
        )
        return longest, max(1, min(replica_count, target_count))

    def _decay(self, now_ms: float) -> None:
        if self._scaled_at_ms is None:
            self._scaled_at_ms = now_ms
        elapsed_ms = now_ms - self._scaled_at_ms
        if elapsed_ms < HALF_LIFE_MS / 16:
            return
        self._scaled_at_ms = now_ms
        self._scale *= 2 ** (elapsed_ms / HALF_LIFE_MS)
        if self._scale > 1e6 or len(self._tokens_by_prefix) > MAX_PREFIXES:
            self._rescale()

    def _rescale(self) -> None:
        scale = self._scale
        self._total_tokens /= scale
        min_tokens = self._total_tokens * MIN_SHARE_FRACTION / MAX_PREFIXES
        self._tokens_by_prefix = collections.defaultdict(
            float,
            {
                prefix_hash: tokens / scale
                for prefix_hash, tokens in self._tokens_by_prefix.items()
                if tokens / scale > min_tokens
            },
        )
        self._scale = 1.0


__all__ = ["PrefixLoad"]
