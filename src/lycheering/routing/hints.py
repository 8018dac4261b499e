"""Estimates of what targets have cached, and widths of hot prefixes."""

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
WIDTH_TTL_MS = 10_000
INITIAL_LIFETIME_MS = 30_000
MIN_LIFETIME_MS = 500
MAX_LIFETIME_MS = 600_000
LIFETIME_GAIN = 0.2


@dataclasses.dataclass
class _Hint:
    """How much of a prefix level a target had cached when it last ran one.

    Attributes:
        pieces: Number of leading pieces that were cached.
        observed_ms: When this was observed.
        epoch: The epoch of the cache that held them.
    """

    pieces: int
    observed_ms: float
    epoch: str


@dataclasses.dataclass
class _TargetCache:
    """What is known about the cache of one target.

    Attributes:
        epoch: Agent incarnation and weights version. The cache is empty
            after either one changes.
        lifetime_ms: Estimate of how long an unused piece stays cached.
    """

    epoch: str = ""
    lifetime_ms: float = INITIAL_LIFETIME_MS


class CacheHints:
    """Estimates which prefix levels each target has cached."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._hint_by_key_and_target: collections.OrderedDict[
            tuple[str, str], _Hint
        ] = collections.OrderedDict()
        self._cache_by_target: dict[str, _TargetCache] = {}

    def __len__(self) -> int:
        """Returns the number of stored hints."""
        return len(self._hint_by_key_and_target)

    def expected_pieces(self, target: str, request: levels.Levels) -> float:
        """Returns how many leading pieces a target is likely to hold."""
        cache = self._cache_by_target.get(target)
        if cache is None:
            return 0.0
        now_ms = self._clock.now_ms()
        best = 0.0
        for key in reversed(request.keys):
            hint = self._hint_by_key_and_target.get((key, target))
            if hint is None or hint.epoch != cache.epoch:
                continue
            age_ms = now_ms - hint.observed_ms
            remaining = (
                min(1.0, cache.lifetime_ms / age_ms) if age_ms > 0 else 1.0
            )
            best = max(best, hint.pieces * remaining)
        return best

    def record_start(
        self,
        target: str,
        agent_incarnation: str,
        request: levels.Levels,
        started: messages.Started,
    ) -> None:
        """Updates the hints of a target that starts to answer a request.

        Args:
            target: The name of the target.
            agent_incarnation: The incarnation of the target's agent.
            request: The prefix levels of the request.
            started: The message with the target's cache hits.
        """
        cache = self._cache_by_target.setdefault(target, _TargetCache())
        epoch = f"{agent_incarnation}/{started.weights_version}"
        if epoch != cache.epoch:
            cache.epoch = epoch
            cache.lifetime_ms = INITIAL_LIFETIME_MS
        now_ms = self._clock.now_ms()
        self._update_lifetime(target, cache, request, started, now_ms)
        for key, pieces in zip(
            request.keys, request.cumulative_pieces, strict=True
        ):
            hint_key = (key, target)
            self._hint_by_key_and_target[hint_key] = _Hint(
                pieces, now_ms, epoch
            )
            self._hint_by_key_and_target.move_to_end(hint_key)
        while len(self._hint_by_key_and_target) > MAX_HINTS:
            self._hint_by_key_and_target.popitem(last=False)

    def drop(self, target: str) -> None:
        """Forgets a target whose cache contents were lost."""
        self._cache_by_target.pop(target, None)

    def keep_only(self, incarnation_by_target: dict[str, str]) -> None:
        """Forgets removed targets and those whose agent restarted."""
        for target, cache in list(self._cache_by_target.items()):
            incarnation = incarnation_by_target.get(target)
            if incarnation != cache.epoch.partition("/")[0]:
                del self._cache_by_target[target]

    def _update_lifetime(
        self,
        target: str,
        cache: _TargetCache,
        request: levels.Levels,
        started: messages.Started,
        now_ms: float,
    ) -> None:
        for key in reversed(request.keys):
            hint = self._hint_by_key_and_target.get((key, target))
            if hint is None or hint.epoch != cache.epoch or not hint.pieces:
                continue
            age_ms = now_ms - hint.observed_ms
            if started.cached_pieces >= hint.pieces:
                sample_ms = max(cache.lifetime_ms, 2 * age_ms)
            else:
                sample_ms = min(cache.lifetime_ms, age_ms)
            cache.lifetime_ms += LIFETIME_GAIN * (sample_ms - cache.lifetime_ms)
            cache.lifetime_ms = min(
                MAX_LIFETIME_MS, max(MIN_LIFETIME_MS, cache.lifetime_ms)
            )
            return


class PrefixWidths:
    """Keeps how many targets each hot prefix may use now."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._width_by_key: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )

    def width(self, level_key: str) -> int:
        """Returns a prefix's width, or 1 without a recent hint."""
        entry = self._width_by_key.get(level_key)
        if entry is None:
            return 1
        width, received_ms = entry
        if self._clock.now_ms() - received_ms > WIDTH_TTL_MS:
            del self._width_by_key[level_key]
            return 1
        return width

    def record_hint(self, hint: messages.WidthHint | None) -> None:
        """Stores a width hint that an agent sent, if there is one."""
        if hint is None:
            return
        width = max(1, hint.width)
        self._width_by_key[hint.level_key] = (width, self._clock.now_ms())
        self._width_by_key.move_to_end(hint.level_key)
        while len(self._width_by_key) > MAX_WIDTHS:
            self._width_by_key.popitem(last=False)


__all__ = [
    "MAX_HINTS",
    "MAX_WIDTHS",
    "WIDTH_TTL_MS",
    "CacheHints",
    "PrefixWidths",
]
