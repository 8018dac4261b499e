"""What an entry knows of one target that it sends requests to."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.forward import cached_parts
from lycheering.forward import read_rates
from lycheering.telemetry import logs
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.fleet import records
    from lycheering.forward import api

# how long requests of other entries, once told of, are taken to be there
RUNNING_HALF_LIFE_MS = 1_500.0
WAITING_HALF_LIFE_MS = 1_000.0
# what other entries told is used for so long
FRESH_LOADS_MS = 500.0
FIRST_SUSPECT_MS = 300.0
MAX_SUSPECT_MS = 4_000.0
# requests that a target gets all the same while it asks to be spared
SENDS_WHILE_SPARED = 2

_LOG = logs.get("targets")


@dataclasses.dataclass
class Outstanding:
    """A request that a target has and has not finished.

    Attributes:
        sent_ms: When it was sent.
        tokens: Tokens that it takes in the target's memory.
        unread_tokens: Tokens that the target has to read for it.
        abort: Breaks the exchange off.
        answered: Whether the answer has begun.
    """

    sent_ms: float
    tokens: int
    unread_tokens: int
    abort: Callable[[], None]
    answered: bool = False


class TargetState:
    """What is known of one run of a target.

    Attributes:
        target: Its record in the fleet view.
        outstanding_by_id: Requests of this entry that it has.
        cached: What its cache is taken to hold.
        heard_ms: When its last byte came.
        suspect_until_ms: Until when it gets work only if all others fail.
        reached_ms: When a connection to it was last opened.
        is_version_doubtful: Whether it said that its weights are others.
        is_unreachable: Whether no connection to it could be opened of late.
        rate: How fast it reads prompts.
        is_leaving: Whether it said that it is about to leave; that holds
            for as long as it runs.
        spared_until_ms: Until when it asked to be spared.
    """

    def __init__(
        self,
        target: records.DirectTarget,
        cache_tokens: int,
        now_ms: float,
        service_rate: read_rates.ServiceRate,
    ) -> None:
        self.target = target
        self.outstanding_by_id: dict[int, Outstanding] = {}
        self.cached = cached_parts.CachedParts(cache_tokens)
        self.heard_ms = now_ms
        self.suspect_until_ms = 0.0
        self.reached_ms = now_ms
        self.is_unreachable = False
        self.is_version_doubtful = False
        self.is_leaving = False
        self.spared_until_ms = 0.0
        self._sends_while_spared = 0
        self._failures = 0
        self.rate = read_rates.ReadRate(service_rate)
        self.digest = target.digest
        self._others: messages.TargetLoad | None = None
        self._others_ms = 0.0
        self._running = 0.0
        self._waiting = 0.0
        self._reported_ms = now_ms
        self._next_id = 0

    def begin(
        self,
        now_ms: float,
        tokens: int,
        unread_tokens: int,
        abort: Callable[[], None],
    ) -> int:
        """Counts a request as sent and returns a number for it.

        Args:
            now_ms: The time.
            tokens: Tokens that it takes in the target's memory.
            unread_tokens: Tokens that the target has to read for it.
            abort: Breaks the exchange off.
        """
        self._next_id += 1
        if not self.outstanding_by_id:
            # silence counts only while something is waited for
            self.heard_ms = now_ms
        self.outstanding_by_id[self._next_id] = Outstanding(
            now_ms, tokens, unread_tokens, abort
        )
        return self._next_id

    def answered(self, number: int, now_ms: float) -> None:
        """Counts a request's answer as begun."""
        self.heard_ms = now_ms
        item = self.outstanding_by_id.get(number)
        if item is not None:
            item.answered = True

    def end(self, number: int) -> None:
        """Counts a request as over."""
        self.outstanding_by_id.pop(number, None)

    def reported(self, answer: api.AnswerTraits, now_ms: float) -> None:
        """Takes over what the target told of itself with an answer."""
        self.heard_ms = now_ms
        if answer.is_leaving and not self.is_leaving:
            self.is_leaving = True
            _LOG.event("target_leaving", target=self.target.target_id)
        if answer.retry_after_ms > 0:
            self._spare(now_ms, answer.retry_after_ms)
        if answer.running is None:
            return
        own = len(self.outstanding_by_id)
        own_waiting = sum(
            not item.answered for item in self.outstanding_by_id.values()
        )
        self._running = max(0.0, answer.running - (own - own_waiting))
        self._waiting = max(0.0, float(answer.waiting - own_waiting))
        self._reported_ms = now_ms

    def chosen(self, now_ms: float) -> None:
        """Counts a request as meant for it, before a connection is had.

        Others may be chosen for while that is awaited.
        """
        if self.is_spared(now_ms):
            self._sends_while_spared += 1

    def _spare(self, now_ms: float, for_ms: float) -> None:
        if not self.is_spared(now_ms):
            self._sends_while_spared = 0
            _LOG.event(
                "target_spared",
                target=self.target.target_id,
                for_ms=round(for_ms),
            )
        self.spared_until_ms = max(self.spared_until_ms, now_ms + for_ms)

    def is_spared(self, now_ms: float) -> bool:
        """Returns whether it asked to be spared for now."""
        return now_ms < self.spared_until_ms

    def may_get_work(self, now_ms: float) -> bool:
        """Returns whether a request may be sent there at all."""
        if self.is_leaving:
            return False
        if not self.is_spared(now_ms):
            return True
        return self._sends_while_spared < SENDS_WHILE_SPARED

    def take_others(self, load: messages.TargetLoad, now_ms: float) -> None:
        """Takes over what all other entries have there."""
        self._others = load
        self._others_ms = now_ms

    def others(self, now_ms: float) -> messages.TargetLoad | None:
        """Returns what all other entries have there, if that is known."""
        if now_ms - self._others_ms > FRESH_LOADS_MS:
            return None
        return self._others

    def others_unread(self, now_ms: float) -> int:
        """Returns what other entries' requests still have to have read.

        What they told is some time old, and the target has read on since.
        """
        others = self.others(now_ms)
        if others is None or not others.unread_tokens:
            return 0
        read_tokens = self.rate.tokens_per_ms() * (now_ms - self._others_ms)
        share = others.unread_tokens / (
            others.unread_tokens + self.unread_tokens()
        )
        return max(0, round(others.unread_tokens - share * read_tokens))

    def own_load(self) -> messages.TargetLoad:
        """Returns what this entry has there."""
        return messages.TargetLoad(
            self.digest,
            self.unread_tokens(),
            len(self.outstanding_by_id),
            self.held_tokens(),
        )

    def others_running(self, now_ms: float) -> float:
        """Returns how many requests of other entries it may run."""
        age_ms = now_ms - self._reported_ms
        return self._running * float(0.5 ** (age_ms / RUNNING_HALF_LIFE_MS))

    def others_waiting(self, now_ms: float) -> float:
        """Returns how many requests of other entries may wait there."""
        age_ms = now_ms - self._reported_ms
        return self._waiting * float(0.5 ** (age_ms / WAITING_HALF_LIFE_MS))

    def describe(self, now_ms: float) -> str:
        """Returns what is known of its load, for logs."""
        others = self.others(now_ms)
        if others is not None:
            return (
                f"own:{len(self.outstanding_by_id)}"
                f",unread:{self.unread_tokens()}"
                f",others:{others.requests}"
                f",others_unread:{others.unread_tokens}"
                f",age_ms:{now_ms - self._others_ms:.0f}"
            )
        return (
            f"own:{len(self.outstanding_by_id)}"
            f",unread:{self.unread_tokens()}"
            f",running:{self._running:.0f},waiting:{self._waiting:.0f}"
            f",age_ms:{now_ms - self._reported_ms:.0f}"
        )

    def unread_tokens(self) -> int:
        """Returns the tokens of this entry's requests still to be read."""
        return sum(
            item.unread_tokens
            for item in self.outstanding_by_id.values()
            if not item.answered
        )

    def held_tokens(self) -> int:
        """Returns the tokens that this entry's requests take there."""
        return sum(item.tokens for item in self.outstanding_by_id.values())

    def silent_ms(self, now_ms: float) -> float:
        """Returns how long nothing came though answers are waited for."""
        if not self.outstanding_by_id:
            return 0.0
        oldest_ms = min(
            item.sent_ms for item in self.outstanding_by_id.values()
        )
        return now_ms - max(self.heard_ms, oldest_ms)

    def lost(self, now_ms: float) -> None:
        """Breaks off what it has, since it can't be reached any more."""
        self.failed(now_ms)
        self.is_unreachable = True
        for item in list(self.outstanding_by_id.values()):
            item.abort()

    def is_suspect(self, now_ms: float) -> bool:
        """Returns whether it gets work only if all others fail."""
        if self.is_unreachable or self.is_spared(now_ms):
            return True
        return self.suspect_until_ms > now_ms

    def failed(self, now_ms: float) -> None:
        """Counts a failure; the pause doubles with each in a row."""
        pause_ms = FIRST_SUSPECT_MS * 2 ** min(self._failures, 6)
        self._failures += 1
        self.suspect_until_ms = now_ms + min(MAX_SUSPECT_MS, pause_ms)

    def succeeded(self) -> None:
        """Counts a whole answer."""
        self._failures = 0
        self.suspect_until_ms = 0.0


__all__ = ["Outstanding", "TargetState"]
