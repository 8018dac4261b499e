"""Reports the rate limits of targets to the leader and applies its replies."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lycheering.limits import rate_hub
from lycheering.limits import recent_rate
from lycheering.limits import target_rate
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheering import clock

DEMAND_HALF_LIFE_MS = 2_000.0
MIN_RETRY_MS = 300.0
MAX_RETRY_MS = 5_000.0
NO_PERMITS_RETRY_MS = 1_000.0


class RateReporter:
    """Reports the limits that an entry was told and applies the replies.

    Attributes:
        share: What is known of the entries that share the limits.
    """

    def __init__(self, time: clock.Clock) -> None:
        self.share = target_rate.FleetShare()
        self._clock = time
        self._epoch = ""
        self._cursor = 0
        self._sent_ms = 0.0
        self._requests = recent_rate.RecentRate(DEMAND_HALF_LIFE_MS)
        self._refused = recent_rate.RecentRate(DEMAND_HALF_LIFE_MS)
        self._permits = recent_rate.RecentRate(DEMAND_HALF_LIFE_MS)
        self._reported: list[target_rate.TargetRate] = []

    def count_request(self) -> None:
        """Counts a request that this entry received."""
        self._requests.add(1, self._clock.now_ms())

    def retry_after_ms(self) -> float:
        """Counts a refusal for lack of permits and returns its retry delay.

        It is the time in which the permits of this entry would suffice for
        the requests that were refused lately.
        """
        now_ms = self._clock.now_ms()
        self._refused.add(1, now_ms)
        permits_per_s = self._permits.per_s(now_ms)
        if not permits_per_s:
            return NO_PERMITS_RETRY_MS
        waiting = self._refused.count(now_ms)
        return min(
            MAX_RETRY_MS,
            max(MIN_RETRY_MS, waiting / permits_per_s * 1_000),
        )

    def next_report(
        self, rate_by_target: Mapping[int, target_rate.TargetRate]
    ) -> messages.RateReport:
        """Returns the next report.

        Args:
            rate_by_target: What is known of each target, by digest.
        """
        now_ms = self._clock.now_ms()
        self._sent_ms = now_ms
        self._reported = []
        named: list[messages.NamedRate] = []
        for target, rate in rate_by_target.items():
            if rate.named_ms is None or not rate.is_report_due(now_ms):
                continue
            if len(named) >= rate_hub.MAX_NAMED_PER_MESSAGE:
                break
            self._reported.append(rate)
            rate.mark_reported(now_ms)
            named.append(
                messages.NamedRate(
                    target,
                    rate.per_s if rate.is_limited else None,
                    round(now_ms - rate.named_ms),
                )
            )
        return messages.RateReport(
            tuple(named),
            round(self._requests.per_s(now_ms), 2),
            self._epoch,
            self._cursor,
        )

    def record_failure(self) -> None:
        """Records that the last report got no reply, so it is repeated."""
        for rate in self._reported:
            rate.is_unreported = True

    def apply_reply(
        self,
        reply: messages.RateReply,
        rate_by_target: Mapping[int, target_rate.TargetRate],
    ) -> None:
        """Applies the reply to the last report.

        Args:
            reply: The reply.
            rate_by_target: What is known of each target, by digest.
        """
        if not reply.epoch:
            return  # an older release that issues no permits leads
        now_ms = self._clock.now_ms()
        self.share.leader_heard_ms = now_ms
        if reply.epoch != self._epoch:
            for rate in rate_by_target.values():
                rate.is_unreported |= rate.is_limited
        self._epoch = reply.epoch
        self._cursor = reply.cursor
        for named in reply.named:
            named_rate = rate_by_target.get(named.target)
            if named_rate is not None:
                per_s = math.inf if named.per_s is None else named.per_s
                named_rate.apply_report(per_s, now_ms - named.age_ms, now_ms)
        for permits in reply.permits:
            self._permits.add(permits.count, now_ms)
            permitted_rate = rate_by_target.get(permits.target)
            if permitted_rate is not None:
                permitted_rate.add_permits(permits.count, self._sent_ms)


__all__ = ["RateReporter"]
