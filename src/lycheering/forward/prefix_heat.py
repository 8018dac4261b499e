"""Which level of a prompt requests are kept together by."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

HALF_LIFE_MS = 8_000.0
MAX_CHAINS = 20_000
# a target that spends more of its time on one prefix has a long queue
TARGET_SHARE = 0.6
FLOOR = 1e-3


class PrefixHeat:
    """The share of the work that each prefix takes, as seen here.

    Work is counted in prompt tokens; old work counts less and less.
    """

    def __init__(self) -> None:
        self._heat_by_chain: dict[int, float] = collections.defaultdict(float)
        self._total = 0.0
        # grows with time, in place of shrinking every count
        self._scale = 1.0
        self._scaled_at_ms: float | None = None

    def count(self, chains: Sequence[int], tokens: int, now_ms: float) -> None:
        """Counts a request under each of its shared levels.

        Args:
            chains: The chains of the levels that may be shared.
            tokens: The tokens of its prompt.
            now_ms: The time.
        """
        self._age(now_ms)
        amount = tokens * self._scale
        self._total += amount
        for chain in chains:
            self._heat_by_chain[chain] += amount

    def share(self, chain: int) -> float:
        """Returns the part of all work that a prefix takes."""
        if self._total <= 0:
            return 0.0
        return self._heat_by_chain.get(chain, 0.0) / self._total

    def level(self, chains: Sequence[int], targets: int) -> tuple[int, int]:
        """Returns the level to keep together, and on how many targets.

        It is the outermost one that is not too hot for one target, so that
        what is shared most is read at as few targets as can do it.

        Args:
            chains: The chains of the levels that may be shared, from the
                outermost one.
            targets: How many targets there are.
        """
        for chain in chains:
            if self.share(chain) * targets <= TARGET_SHARE:
                return chain, 1
        hottest = chains[-1]
        width = math.ceil(self.share(hottest) * targets / TARGET_SHARE)
        return hottest, max(1, min(width, targets))

    def _age(self, now_ms: float) -> None:
        if self._scaled_at_ms is None:
            self._scaled_at_ms = now_ms
        passed_ms = now_ms - self._scaled_at_ms
        if passed_ms < HALF_LIFE_MS / 16:
            return
        self._scaled_at_ms = now_ms
        self._scale *= 2 ** (passed_ms / HALF_LIFE_MS)
        if self._scale > 1e6 or len(self._heat_by_chain) > MAX_CHAINS:
            self._rescale()

    def _rescale(self) -> None:
        scale = self._scale
        self._total /= scale
        least = self._total * FLOOR / MAX_CHAINS
        self._heat_by_chain = collections.defaultdict(
            float,
            {
                chain: heat / scale
                for chain, heat in self._heat_by_chain.items()
                if heat / scale > least
            },
        )
        self._scale = 1.0


__all__ = ["PrefixHeat"]
