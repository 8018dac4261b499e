"""The rate limit that a target names, as one entry keeps it."""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import re

from lycheering.telemetry import logs

# How long a permit is valid. Permits that are not used in time are void, so
# an entry can't save them up.
PERMIT_TTL_MS = 1_500.0
# Without a reply from the leader for this long, an entry sends its equal part
# of each limit. The leader then no longer counts on it either.
LEADER_TIMEOUT_MS = 1_000.0
# Sends are unlimited for this long after a target began to name a limit, until
# the leader has had time to send the first permits.
SHARING_GRACE_MS = 400.0
# a limit that ended more recently than this gets no grace when it returns
GRACE_AFTER_UNLIMITED_MS = 10_000.0
# Some requests always pass, as only answers tell that a limit has ended.
MIN_RATE_PER_S = 0.2
# how often an unchanged limit is reported to the leader
CONFIRM_INTERVAL_MS = 5_000.0

# a decimal number without a sign or an exponent
_RATE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,20})?")

_LOG = logs.get("limits")


def parse_per_s(text: str) -> float | None:
    """Returns the limit in a header, in requests a second.

    Returns:
        The limit; infinity if the header is empty, None if it is malformed.
    """
    if not text:
        return math.inf
    return float(text) if _RATE.fullmatch(text.strip()) else None


@dataclasses.dataclass
class FleetShare:
    """What an entry knows of the other entries that share a limit.

    Attributes:
        entry_count: Number of entries; 0 if not known yet.
        leader_heard_ms: Time of the last exchange that the leader answered;
            None before the first one.
        rng: Source of randomness for the times of permits without a leader.
    """

    entry_count: int = 0
    leader_heard_ms: float | None = None
    rng: random.Random = dataclasses.field(default_factory=random.Random)

    def has_leader(self, now_ms: float) -> bool:
        """Returns whether the leader has answered recently."""
        if self.leader_heard_ms is None:
            return False
        return now_ms - self.leader_heard_ms < LEADER_TIMEOUT_MS


class TargetRate:
    """The limit of one target and the permits of this entry under it.

    The leader hands out permits of all entries together. An entry that gets no
    reply from the leader gives itself an equal part of the limit, at random
    times so that the entries do not all send at once.

    Attributes:
        per_s: Requests a second that the target takes from all entries
            together; infinite without a limit.
        named_ms: Time of the last answer that said so; None if none did.
        is_unreported: Whether the leader has to be told of a change.
    """

    def __init__(self, target_id: str, share: FleetShare) -> None:
        self.per_s = math.inf
        self.named_ms: float | None = None
        self.is_unreported = False
        self._reported_ms = 0.0
        self._target_id = target_id
        self._share = share
        self._grace_until_ms = 0.0
        self._unlimited_since_ms: float | None = None
        self._permit_expiries_ms: collections.deque[float] = collections.deque()
        # time of the next permit without a leader; None while there is one
        self._next_own_permit_ms: float | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the target names a limit."""
        return not math.isinf(self.per_s)

    def apply_answer(self, per_s: float, now_ms: float) -> None:
        """Applies what an answer of the target to this entry says.

        Args:
            per_s: The limit in requests a second; infinite for none.
            now_ms: The current time.
        """
        if per_s != self.per_s:
            self.is_unreported = True
        if not self.is_limited and not math.isinf(per_s):
            since_ms = self._unlimited_since_ms
            if since_ms is None or (
                now_ms - since_ms > GRACE_AFTER_UNLIMITED_MS
            ):
                self._grace_until_ms = now_ms + SHARING_GRACE_MS
        self._set(per_s, now_ms, now_ms, "answer")

    def apply_report(
        self, per_s: float, named_ms: float, now_ms: float
    ) -> None:
        """Applies what the leader says, or corrects it if that is older.

        Args:
            per_s: The limit in requests a second; infinite for none.
            named_ms: Time of the answer that said so.
            now_ms: The current time.
        """
        if self.named_ms is not None and named_ms < self.named_ms:
            self.is_unreported |= per_s != self.per_s
            return
        self._set(per_s, named_ms, now_ms, "entries")

    def is_report_due(self, now_ms: float) -> bool:
        """Returns whether the leader is told with the next report.

        A limit is repeated without answers, too: an entry that has missed its
        end gets no permits, hence no answers, and is corrected by the leader.
        """
        if self.is_unreported:
            return True
        return self.is_limited and (
            now_ms - self._reported_ms >= CONFIRM_INTERVAL_MS
        )

    def mark_reported(self, now_ms: float) -> None:
        """Records that the leader was told what this entry knows."""
        self.is_unreported = False
        self._reported_ms = now_ms

    def _set(
        self, per_s: float, named_ms: float, now_ms: float, source: str
    ) -> None:
        self.named_ms = named_ms
        if per_s == self.per_s:
            return
        _LOG.event(
            "target_rate_limit",
            target=self._target_id,
            per_s=per_s,
            before_per_s=self.per_s,
            source=source,
            age_ms=round(now_ms - named_ms),
        )
        if per_s < self.per_s:
            # the part of the permits that the lower limit would have allowed
            kept = math.ceil(len(self._permit_expiries_ms) * per_s / self.per_s)
            while len(self._permit_expiries_ms) > kept:
                self._permit_expiries_ms.popleft()
        self.per_s = per_s
        if not self.is_limited:
            self._unlimited_since_ms = now_ms
            self._permit_expiries_ms.clear()
            self._next_own_permit_ms = None

    def add_permits(self, count: int, issued_ms: float) -> None:
        """Adds permits from the leader.

        Args:
            count: Number of requests that may be sent.
            issued_ms: Time before which the leader did not issue them.
        """
        self._grace_until_ms = 0.0
        self._permit_expiries_ms.extend([issued_ms + PERMIT_TTL_MS] * count)

    def permit_count(self, now_ms: float) -> int:
        """Returns how many requests this entry may send now."""
        self._add_own_permits(now_ms)
        while (
            self._permit_expiries_ms and self._permit_expiries_ms[0] <= now_ms
        ):
            self._permit_expiries_ms.popleft()
        return len(self._permit_expiries_ms)

    def allows_send(self, now_ms: float) -> bool:
        """Returns whether a request may be sent to the target."""
        if not self.is_limited or now_ms < self._grace_until_ms:
            return True
        return self.permit_count(now_ms) > 0

    def next_permit_ms(self, now_ms: float) -> float:
        """Returns the time until this entry has a permit without a leader."""
        if self.allows_send(now_ms) or self._next_own_permit_ms is None:
            return 0.0
        return self._next_own_permit_ms - now_ms

    def spend_permit(self, now_ms: float) -> None:
        """Counts a request that is about to be sent."""
        if self.is_limited and self.permit_count(now_ms):
            self._permit_expiries_ms.popleft()

    def _add_own_permits(self, now_ms: float) -> None:
        """Adds this entry's equal part of the limit if there is no leader."""
        share = self._share
        if (
            not self.is_limited
            or not share.entry_count
            or share.has_leader(now_ms)
        ):
            self._next_own_permit_ms = None
            return
        interval_ms = (
            share.entry_count * 1_000.0 / max(self.per_s, MIN_RATE_PER_S)
        )
        if self._next_own_permit_ms is None:
            self._next_own_permit_ms = now_ms + interval_ms * share.rng.random()
        # permits that would be void by now are skipped
        oldest_ms = now_ms - PERMIT_TTL_MS
        if self._next_own_permit_ms <= oldest_ms:
            skipped = (oldest_ms - self._next_own_permit_ms) // interval_ms + 1
            self._next_own_permit_ms += skipped * interval_ms
        while self._next_own_permit_ms <= now_ms:
            self._permit_expiries_ms.append(
                self._next_own_permit_ms + PERMIT_TTL_MS
            )
            self._next_own_permit_ms += interval_ms

    def describe(self, now_ms: float) -> str:
        """Returns the limit in force as text for logs; empty for none."""
        if self.named_ms is None or not self.is_limited:
            return ""
        return (
            f"per_s:{self.per_s:.3f},age_ms:{now_ms - self.named_ms:.0f}"
            f",permits:{self.permit_count(now_ms)}"
        )


__all__ = [
    "GRACE_AFTER_UNLIMITED_MS",
    "LEADER_TIMEOUT_MS",
    "MIN_RATE_PER_S",
    "PERMIT_TTL_MS",
    "SHARING_GRACE_MS",
    "FleetShare",
    "TargetRate",
    "parse_per_s",
]
