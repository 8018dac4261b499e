"""What this process learned of targets' caches and of hot prefixes."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.routing import levels
    from lycheering.wire import messages

MAX_HINTS = 50_000
MAX_WIDTHS = 20_000
WIDTH_LIFE_MS = 10_000
FIRST_LIFE_MS = 30_000
MIN_LIFE_MS = 500
MAX_LIFE_MS = 600_000
LIFE_GAIN = 0.2


@dataclasses.dataclass
class _Hint:
    """Pieces of a level that a target held when it was last asked.

    Attributes:
        pieces: How many.
        noted_ms: When.
        epoch: The cache that held them.
    """

    pieces: int
    noted_ms: float
    epoch: str


@dataclasses.dataclass
class _TargetCache:
    """What is known of one target's cache.

    Attributes:
        epoch: The agent incarnation and weights that fill it.
        life_ms: How long an unused entry tends to stay.
    """

    epoch: str = ""
    life_ms: float = FIRST_LIFE_MS


class CacheHints:
    """Which levels each target is likely to hold."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._hint_by_place: collections.OrderedDict[tuple[str, str], _Hint] = (
            collections.OrderedDict()
        )
        self._cache_by_target: dict[str, _TargetCache] = {}

    def __len__(self) -> int:
        """Returns how many hints are held."""
        return len(self._hint_by_place)

    def expected_pieces(self, target: str, request: levels.Levels) -> float:
        """Returns how many leading pieces a target likely holds."""
        cache = self._cache_by_target.get(target)
        if cache is None:
            return 0.0
        now_ms = self._clock.now_ms()
        best = 0.0
        for key in reversed(request.keys):
            hint = self._hint_by_place.get((key, target))
            if hint is None or hint.epoch != cache.epoch:
                continue
            age_ms = now_ms - hint.noted_ms
            kept = min(1.0, cache.life_ms / age_ms) if age_ms > 0 else 1.0
            best = max(best, hint.pieces * kept)
        return best

    def note(
        self,
        target: str,
        agent_incarnation: str,
        request: levels.Levels,
        started: messages.Started,
    ) -> None:
        """Learns from the start of an answer.

        Args:
            target: The target that answers.
            agent_incarnation: The agent that speaks for it.
            request: The levels of the request.
            started: What the target found in its cache.
        """
        cache = self._cache_by_target.setdefault(target, _TargetCache())
        epoch = f"{agent_incarnation}/{started.weights_version}"
        if epoch != cache.epoch:
            cache.epoch = epoch
            cache.life_ms = FIRST_LIFE_MS
        now_ms = self._clock.now_ms()
        self._learn_life(target, cache, request, started, now_ms)
        for key, pieces in zip(request.keys, request.pieces, strict=True):
            place = (key, target)
            self._hint_by_place[place] = _Hint(pieces, now_ms, epoch)
            self._hint_by_place.move_to_end(place)
        while len(self._hint_by_place) > MAX_HINTS:
            self._hint_by_place.popitem(last=False)

    def drop(self, target: str) -> None:
        """Forgets a target whose cache is no longer what it was."""
        self._cache_by_target.pop(target, None)

    def keep_only(self, incarnation_by_target: dict[str, str]) -> None:
        """Forgets targets that left or whose agent restarted."""
        for target, cache in list(self._cache_by_target.items()):
            incarnation = incarnation_by_target.get(target)
            if incarnation != cache.epoch.partition("/")[0]:
                del self._cache_by_target[target]

    def _learn_life(
        self,
        target: str,
        cache: _TargetCache,
        request: levels.Levels,
        started: messages.Started,
        now_ms: float,
    ) -> None:
        for key in reversed(request.keys):
            hint = self._hint_by_place.get((key, target))
            if hint is None or hint.epoch != cache.epoch or not hint.pieces:
                continue
            age_ms = now_ms - hint.noted_ms
            if started.cached_pieces >= hint.pieces:
                goal_ms = max(cache.life_ms, 2 * age_ms)
            else:
                goal_ms = min(cache.life_ms, age_ms)
            cache.life_ms += LIFE_GAIN * (goal_ms - cache.life_ms)
            cache.life_ms = min(MAX_LIFE_MS, max(MIN_LIFE_MS, cache.life_ms))
            return


class Widths:
    """How many targets each hot prefix may use at present."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._width_by_key: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )

    def width(self, level_key: str) -> int:
        """Returns a prefix's width, 1 where nothing newer is known."""
        known = self._width_by_key.get(level_key)
        if known is None:
            return 1
        width, noted_ms = known
        if self._clock.now_ms() - noted_ms > WIDTH_LIFE_MS:
            del self._width_by_key[level_key]
            return 1
        return width

    def note(self, hint: messages.WidthHint | None) -> None:
        """Takes an agent's hint over."""
        if hint is None:
            return
        width = max(1, hint.width)
        self._width_by_key[hint.level_key] = (width, self._clock.now_ms())
        self._width_by_key.move_to_end(hint.level_key)
        while len(self._width_by_key) > MAX_WIDTHS:
            self._width_by_key.popitem(last=False)


__all__ = ["MAX_HINTS", "MAX_WIDTHS", "WIDTH_LIFE_MS", "CacheHints", "Widths"]
