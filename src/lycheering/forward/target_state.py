"""The load, health and cache of one target, as known to this entry."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from lycheering.forward import api
from lycheering.forward import prefill_rates
from lycheering.forward import prefix_cache_model
from lycheering.forward import work_pace
from lycheering.limits import recent_rate
from lycheering.limits import target_rate
from lycheering.streams import events
from lycheering.telemetry import logs
from lycheering.telemetry import repeated_warning
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.fleet import records

# decay of the request counts of other entries since the target reported them
RUNNING_HALF_LIFE_MS = 1_500.0
WAITING_HALF_LIFE_MS = 1_000.0
# age at which the shared load of other entries is no longer used
SHARED_LOAD_TTL_MS = 500.0
WORK_HALF_LIFE_MS = 6_000.0
INITIAL_SUSPECT_MS = 300.0
MAX_SUSPECT_MS = 4_000.0
# requests that may still be sent to a target during its back-off
MAX_SENDS_DURING_BACK_OFF = 2
# how long a target that broke an event off is not trusted
BROKEN_OFF_TTL_MS = 60_000.0
# Streams in a row whose end is doubted; after them, it is the text that looks
# like ids in all answers of a target.
MAX_DOUBTFUL_ENDS = 3

_LOG = logs.get("targets")
_IMPOSSIBLE_LOAD = repeated_warning.RepeatedWarning(_LOG, "impossible_load")


@dataclasses.dataclass
class InFlightRequest:
    """A request that was sent to a target and has not finished.

    Attributes:
        sent_ms: Time at which it was sent.
        kv_cache_tokens: Tokens that it occupies in the target's KV cache.
        uncached_tokens: Prompt tokens that the target has to prefill for it.
        abort: Closes its connection at once.
        is_answering: Whether its answer has started.
        is_first: Whether the target reads it before less urgent ones.
    """

    sent_ms: float
    kv_cache_tokens: int
    uncached_tokens: int
    abort: Callable[[], None]
    is_answering: bool = False
    is_first: bool = False


class TargetState:
    """The state of one run of a target, as known to this entry.

    Attributes:
        target: Its record in the fleet view.
        digest: Hash that stands for its key in exchanges of loads.
        in_flight_by_id: This entry's requests that are in flight there.
        cache: Model of the prompt prefixes in its KV cache.
        prefill_rate: Estimate of its prefill rate while work takes as long
            as usual there.
        pace: How long work takes there now, as it reports.
        work_ms: How long requests without a prompt take at the targets of its
            service at the usual pace, once they run.
        last_byte_ms: Time at which its last byte arrived.
        last_connect_ms: Time at which a connection to it was last opened.
        suspect_until_ms: Time until which it gets work only if there is no
            other target.
        back_off_until_ms: End of the back-off that it asked for.
        has_version_mismatch: Whether it answered that it has other weights
            than its record says.
        is_unreachable: Whether probes found that it takes no connections, and
            none has succeeded since.
        is_shutting_down: Whether it announced its shutdown, or is found to be
            gone. This stays so for the rest of its run.
        rate: The rate limit that it names.
        max_connections: Number of connections that it accepts from all
            entries together; 0 if that is not known.
    """

    def __init__(
        self,
        target: records.DirectTarget,
        cache_tokens: int,
        now_ms: float,
        service_rate: prefill_rates.ServicePrefillRate,
        fleet_share: target_rate.FleetShare | None = None,
        work_ms: recent_rate.RecentMean | None = None,
    ) -> None:
        self.target = target
        self.in_flight_by_id: dict[int, InFlightRequest] = {}
        self.cache = prefix_cache_model.PrefixCacheModel(cache_tokens)
        self.last_byte_ms = now_ms
        self.suspect_until_ms = 0.0
        self.last_connect_ms = now_ms
        self.is_unreachable = False
        self.has_version_mismatch = False
        self.is_shutting_down = False
        self.max_connections = 0
        self.back_off_until_ms = 0.0
        self._sends_during_back_off = 0
        self._failures = 0
        self._has_ended_stream = False
        self._doubtful_ends = 0
        self._broken_off_ms = -math.inf
        self.prefill_rate = prefill_rates.TargetPrefillRate(service_rate)
        self.pace = work_pace.WorkPace()
        self.work_ms = work_ms or recent_rate.RecentMean(WORK_HALF_LIFE_MS)
        self.digest = target.digest
        self.rate = target_rate.TargetRate(
            target.target_id, fleet_share or target_rate.FleetShare()
        )
        self._other_load: messages.TargetLoad | None = None
        self._other_load_ms = 0.0
        self._other_running = 0.0
        self._other_waiting = 0.0
        self._reported_ms = now_ms
        self._last_id = 0

    def add_request(
        self,
        now_ms: float,
        kv_cache_tokens: int,
        uncached_tokens: int,
        abort: Callable[[], None],
        *,
        is_first: bool = False,
    ) -> int:
        """Adds a request that is about to be sent and returns its id.

        Args:
            now_ms: The current time.
            kv_cache_tokens: Tokens that it occupies in the target's KV cache.
            uncached_tokens: Prompt tokens that the target has to prefill.
            abort: Closes the request's connection at once.
            is_first: Whether the target reads it before less urgent ones.
        """
        self._last_id += 1
        if not self.in_flight_by_id:
            # silence counts only while a request is in flight
            self.last_byte_ms = now_ms
        self.in_flight_by_id[self._last_id] = InFlightRequest(
            now_ms, kv_cache_tokens, uncached_tokens, abort, is_first=is_first
        )
        return self._last_id

    def mark_answering(self, in_flight_id: int, now_ms: float) -> None:
        """Records that the answer to a request has started."""
        self.last_byte_ms = now_ms
        request = self.in_flight_by_id.get(in_flight_id)
        if request is not None:
            request.is_answering = True

    def remove_request(self, in_flight_id: int) -> None:
        """Removes a request that has finished."""
        self.in_flight_by_id.pop(in_flight_id, None)

    def apply_report(self, answer: api.AnswerMetadata, now_ms: float) -> None:
        """Applies the load and status that the target sent with an answer."""
        self.last_byte_ms = now_ms
        if answer.is_shutting_down and not self.is_shutting_down:
            self.is_shutting_down = True
            _LOG.event("target_leaving", target=self.target.target_id)
        if answer.retry_after_ms > 0:
            self._back_off(now_ms, answer.retry_after_ms)
        is_own_answer = answer.kind is not api.AnswerKind.WRONG_TARGET
        if answer.rate_limit_per_s is not None and is_own_answer:
            self.rate.apply_answer(answer.rate_limit_per_s, now_ms)
        if answer.work_percent is not None and is_own_answer:
            self.pace.observe(answer.work_percent, 0.0, now_ms)
        if answer.running is None or not self._may_wait(answer.waiting):
            return
        own = len(self.in_flight_by_id)
        own_waiting = sum(
            not request.is_answering
            for request in self.in_flight_by_id.values()
        )
        self._other_running = max(0.0, answer.running - (own - own_waiting))
        self._other_waiting = max(0.0, float(answer.waiting - own_waiting))
        self._reported_ms = now_ms

    def _may_wait(self, waiting: int) -> bool:
        """Returns whether so many requests can wait there.

        Each of them has a connection of its own.
        """
        if not self.max_connections or waiting <= self.max_connections:
            return True
        _IMPOSSIBLE_LOAD.warn(
            self.target.target_id,
            target=self.target.target_id,
            waiting=waiting,
        )
        return False

    def count_selection(self, now_ms: float) -> None:
        """Counts a request for which this target was selected.

        It is called before a connection is open, since more requests may be
        assigned to the target while one is being opened.
        """
        if self.is_backing_off(now_ms):
            self._sends_during_back_off += 1
        self.rate.spend_permit(now_ms)

    def _back_off(self, now_ms: float, duration_ms: float) -> None:
        if not self.is_backing_off(now_ms):
            self._sends_during_back_off = 0
            _LOG.event(
                "target_back_off",
                target=self.target.target_id,
                duration_ms=round(duration_ms),
            )
        self.back_off_until_ms = max(
            self.back_off_until_ms, now_ms + duration_ms
        )

    def is_backing_off(self, now_ms: float) -> bool:
        """Returns whether the target is in a back-off that it asked for."""
        return now_ms < self.back_off_until_ms

    def accepts_requests(self, now_ms: float) -> bool:
        """Returns whether any request may be sent to the target."""
        if self.is_shutting_down or not self.rate.allows_send(now_ms):
            return False
        if not self.is_backing_off(now_ms):
            return True
        return self._sends_during_back_off < MAX_SENDS_DURING_BACK_OFF

    def update_other_load(
        self, load: messages.TargetLoad, now_ms: float
    ) -> None:
        """Stores the total load that all other entries have there."""
        self._other_load = load
        self._other_load_ms = now_ms

    def other_load(self, now_ms: float) -> messages.TargetLoad | None:
        """Returns the load of all other entries, or None if it is outdated."""
        if now_ms - self._other_load_ms > SHARED_LOAD_TTL_MS:
            return None
        return self._other_load

    def other_prefill_tokens(self, now_ms: float) -> int:
        """Returns the tokens of other entries that still wait for prefill.

        The shared load is some time old. What the target is expected to have
        prefilled of it since then is subtracted.
        """
        load = self.other_load(now_ms)
        if load is None or not load.unread_tokens:
            return 0
        prefilled_tokens = self.tokens_per_ms(now_ms) * (
            now_ms - self._other_load_ms
        )
        share = load.unread_tokens / (
            load.unread_tokens + self.pending_prefill_tokens()
        )
        return max(0, round(load.unread_tokens - share * prefilled_tokens))

    def tokens_per_ms(self, now_ms: float) -> float:
        """Returns the prompt tokens that it prefills per millisecond now."""
        return self.prefill_rate.tokens_per_ms() / self.pace.time_factor(now_ms)

    def own_load(self) -> messages.TargetLoad:
        """Returns the load that this entry has there."""
        return messages.TargetLoad(
            self.digest,
            self.pending_prefill_tokens(),
            len(self.in_flight_by_id),
            self.kv_cache_tokens(),
            self._own_first_tokens(),
        )

    def other_running(self, now_ms: float) -> float:
        """Returns the estimated number of running requests of other entries."""
        age_ms = now_ms - self._reported_ms
        return self._other_running * float(
            0.5 ** (age_ms / RUNNING_HALF_LIFE_MS)
        )

    def other_waiting(self, now_ms: float) -> float:
        """Returns the estimated number of waiting requests of other entries."""
        age_ms = now_ms - self._reported_ms
        return self._other_waiting * float(
            0.5 ** (age_ms / WAITING_HALF_LIFE_MS)
        )

    def other_requests(self, now_ms: float) -> float:
        """Returns the estimated requests of other entries in flight there."""
        load = self.other_load(now_ms)
        if load is not None:
            return load.requests
        return self.other_running(now_ms) + self.other_waiting(now_ms)

    def slot_wait_ms(self, requests: float, now_ms: float) -> float:
        """Returns how long a request waits for a slot at the usual pace.

        Args:
            requests: Number of requests that are there before it.
            now_ms: The current time.
        """
        slots = max(1, self.target.slots)
        ahead = max(0.0, requests + 1.0 - slots)
        return ahead / slots * self.work_ms.mean(now_ms)

    def describe_load(self, now_ms: float) -> str:
        """Returns the known load as text for logs."""
        load = self.other_load(now_ms)
        pace = ""
        if self.pace.is_known:
            percent = self.pace.time_factor(now_ms) * work_pace.USUAL_PERCENT
            pace = f",work_percent:{percent:.0f}"
        if load is not None:
            return (
                f"own_requests:{len(self.in_flight_by_id)}"
                f",own_prefill_tokens:{self.pending_prefill_tokens()}"
                f",other_requests:{load.requests}"
                f",other_prefill_tokens:{load.unread_tokens}"
                f",age_ms:{now_ms - self._other_load_ms:.0f}{pace}"
            )
        return (
            f"own_requests:{len(self.in_flight_by_id)}"
            f",own_prefill_tokens:{self.pending_prefill_tokens()}"
            f",other_running:{self._other_running:.0f}"
            f",other_waiting:{self._other_waiting:.0f}"
            f",age_ms:{now_ms - self._reported_ms:.0f}{pace}"
        )

    def pending_prefill_tokens(self) -> int:
        """Returns this entry's tokens that the target still has to prefill."""
        return sum(
            request.uncached_tokens
            for request in self.in_flight_by_id.values()
            if not request.is_answering
        )

    def _own_first_tokens(self) -> int:
        return sum(
            request.uncached_tokens
            for request in self.in_flight_by_id.values()
            if request.is_first and not request.is_answering
        )

    def first_prefill_tokens(self, now_ms: float) -> int:
        """Returns the unread tokens of requests of the most urgent level.

        The target reads these first, so all that it is expected to have read
        since the shared load was reported is taken from them.

        Args:
            now_ms: The current time.
        """
        own = self._own_first_tokens()
        load = self.other_load(now_ms)
        if load is None or not load.first_tokens:
            return own
        read_tokens = self.tokens_per_ms(now_ms) * (
            now_ms - self._other_load_ms
        )
        share = load.first_tokens / (load.first_tokens + own)
        return own + max(0, round(load.first_tokens - share * read_tokens))

    def kv_cache_tokens(self) -> int:
        """Returns the KV cache tokens that this entry's requests occupy."""
        return sum(
            request.kv_cache_tokens for request in self.in_flight_by_id.values()
        )

    def silent_ms(self, now_ms: float) -> float:
        """Returns how long the target sent nothing with requests in flight."""
        if not self.in_flight_by_id:
            return 0.0
        oldest_ms = min(
            request.sent_ms for request in self.in_flight_by_id.values()
        )
        return now_ms - max(self.last_byte_ms, oldest_ms)

    def mark_unreachable(self, now_ms: float) -> None:
        """Marks the target as unreachable and aborts its requests."""
        self.record_failure(now_ms)
        self.is_unreachable = True
        for request in list(self.in_flight_by_id.values()):
            request.abort()

    def mark_gone(self) -> None:
        """Marks the run as over, as something else answered in its place.

        Such an answer comes at once. The target would look idle and attract
        all requests until the list of targets names its next run, so other
        entries are told as well, as of a target that leaves.
        """
        if not self.is_shutting_down:
            self.is_shutting_down = True
            _LOG.event("target_gone", target=self.target.target_id)

    def is_suspect(self, now_ms: float) -> bool:
        """Returns whether it gets work only if there is no other target."""
        if self.is_unreachable or self.is_backing_off(now_ms):
            return True
        return self.suspect_until_ms > now_ms

    def record_failure(self, now_ms: float) -> None:
        """Makes the target suspect, twice as long for each failure in a row."""
        suspect_ms = INITIAL_SUSPECT_MS * 2 ** min(self._failures, 6)
        self._failures += 1
        self.suspect_until_ms = now_ms + min(MAX_SUSPECT_MS, suspect_ms)

    def record_success(self) -> None:
        """Resets the failures after a complete answer."""
        self._failures = 0
        self.suspect_until_ms = 0.0

    def record_end(self, *, is_doubtful: bool) -> None:
        """Records that it ended a stream in a way that proves the end.

        Args:
            is_doubtful: Whether the last events may be joined with others.
        """
        self._doubtful_ends += is_doubtful
        self._has_ended_stream |= not is_doubtful

    def record_broken_off(self, now_ms: float) -> None:
        """Records that it broke an event off, or sent what is none."""
        self._broken_off_ms = now_ms
        self._doubtful_ends = 0

    def end_trust(self, now_ms: float, *, is_resumable: bool) -> events.Trust:
        """Returns what is believed of a stream whose end it proves.

        Args:
            now_ms: The current time.
            is_resumable: Whether another target can repeat what is doubted,
                so that doubt costs less.
        """
        if now_ms - self._broken_off_ms < BROKEN_OFF_TTL_MS:
            return events.Trust.NONE
        if self._has_ended_stream or self._doubtful_ends >= MAX_DOUBTFUL_ENDS:
            return events.Trust.ALL
        return events.Trust.NONE if is_resumable else events.Trust.LAST_EVENT


__all__ = ["InFlightRequest", "TargetState"]
