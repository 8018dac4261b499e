"""The allowance of one team, as one entry keeps it."""

from __future__ import annotations

import dataclasses

from lycheering.limits import allowance_terms
from lycheering.limits import recent_rate

# An entry asks to hold what recent requests used in this time, and one of
# their mean size. That lasts until another leader is elected.
EXPECTED_S = 1.5
DEMAND_HALF_LIFE_MS = 2_000.0
# with fewer requests than this lately, an entry holds nothing
MIN_RECENT_REQUESTS = 1.2
# a team without a request for this long is forgotten if that changes nothing
FORGET_MS = 5_000.0
# what it holds beyond this multiple of what it expects goes back as well
SURPLUS_RATIO = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """What a request used, by the part that it was taken from.

    Attributes:
        session: The session in which the leader granted it.
        granted: Amount taken from what the leader granted in that session.
        other: Amount taken from the rest.
    """

    session: int
    granted: int
    other: int

    @property
    def amount(self) -> int:
        """The whole amount."""
        return self.granted + self.other


class TeamAllowance:
    """What an entry may use of a team's allowance without asking first.

    It consists of what the leader granted in this session, what is left of the
    session before, and a small base part of the entry's own, which needs no
    leader. The base part starts at 0, so that entries that restart add
    nothing.

    Attributes:
        name: The team's name.
        terms: The terms of the allowance.
        granted: How much the leader granted in this session.
        used: How much of that was used.
        returned: How much of that was given back.
        exhausted_until_ms: Time until which the leader has nothing to grant.
        first_at_ms: Time at which it has enough for the first request that
            waits.
        retry_at_ms: Time at which it is expected to have enough again.
        asked_ms: Time of the last request.
        refused_ms: Time of the last refusal; None if none was refused since
            the team was last within its allowance.
        refused_count: Number of refusals since then.
        unreported: How much was refused since the last exchange.
    """

    def __init__(
        self,
        name: str,
        terms: allowance_terms.AllowanceTerms,
        began_ms: float,
        entry_count: int,
        now_ms: float,
    ) -> None:
        """Creates the record of a team that holds its base part only.

        Args:
            name: The team's name.
            terms: The terms of the allowance.
            began_ms: Time from which the entry knew how many entries there
                are, as it earns its base part from then on.
            entry_count: Number of entries; 0 if not known.
            now_ms: The current time.
        """
        self.name = name
        self.terms = terms
        self.granted = 0
        self.used = 0
        self.returned = 0
        self.exhausted_until_ms = 0.0
        self.first_at_ms = 0.0
        self.retry_at_ms = 0.0
        self.asked_ms = now_ms
        self.refused_ms: float | None = None
        self.refused_count = 0
        self.unreported = 0
        self._session = 0
        self._carried = 0
        self._carried_until_ms = 0.0
        self._base = 0.0
        self._base_ms = began_ms
        self._entry_count = entry_count
        self._demand = recent_rate.RecentRate(DEMAND_HALF_LIFE_MS)
        self._requests = recent_rate.RecentRate(DEMAND_HALF_LIFE_MS)

    @property
    def balance(self) -> int:
        """What is left of the grants of this session."""
        return max(0, self.granted - self.used - self.returned)

    def set_terms(self, terms: allowance_terms.AllowanceTerms) -> None:
        """Applies other terms; of a lower allowance, less stays in hand."""
        before = self.terms.capacity
        self.terms = terms
        if terms.capacity < before:
            part = terms.capacity / before
            # what is given up counts as used: the leader, which lowers its own
            # level, must not grant it again
            balance = self.balance
            self.used += balance - int(balance * part)
            self._carried = int(self._carried * part)
            self._base *= part
            self.exhausted_until_ms = 0.0

    def begin_session(
        self, session: int, carried_until_ms: float, now_ms: float
    ) -> None:
        """Begins a session with a leader that has granted nothing yet.

        Args:
            session: Its number.
            carried_until_ms: Time until which the grants of the session before
                are valid.
            now_ms: The current time.
        """
        self._carried = self.balance if now_ms < carried_until_ms else 0
        self._carried_until_ms = carried_until_ms
        self._session = session
        self.granted = 0
        self.used = 0
        self.returned = 0
        self.exhausted_until_ms = 0.0

    def count_demand(self, amount: int, now_ms: float) -> None:
        """Counts a request that asks for an amount."""
        self.asked_ms = now_ms
        self._demand.add(amount, now_ms)
        self._requests.add(1, now_ms)

    def set_entry_count(self, entry_count: int, now_ms: float) -> None:
        """Sets the number of entries that divide the base part."""
        if entry_count != self._entry_count:
            self._refill_base(now_ms)
            self._entry_count = entry_count
            self._refill_base(now_ms)

    def available(self, now_ms: float, *, is_connected: bool) -> int:
        """Returns how much may be used now.

        Args:
            now_ms: The current time.
            is_connected: Whether the leader's grants are valid.
        """
        granted = self.balance if is_connected else 0
        return granted + self._carried_now(now_ms) + int(self._base_now(now_ms))

    def try_use(
        self, amount: int, now_ms: float, *, is_connected: bool
    ) -> Charge | None:
        """Uses an amount; returns None if there isn't as much.

        Args:
            amount: The amount.
            now_ms: The current time.
            is_connected: Whether the leader's grants are valid.
        """
        if amount > self.available(now_ms, is_connected=is_connected):
            return None
        carried = min(amount, self._carried)
        self._carried -= carried
        granted = 0
        if is_connected:
            granted = min(amount - carried, self.balance)
        self.used += granted
        self._base -= amount - carried - granted
        return Charge(self._session, granted, amount - granted)

    def refund(self, charge: Charge, now_ms: float) -> None:
        """Gives back what a request used that certainly did not run."""
        if charge.session == self._session:
            self.used -= charge.granted
        self._base += charge.other
        self._refill_base(now_ms)

    def expected(self, now_ms: float) -> int:
        """Returns how much the entry would like to hold."""
        count = self._requests.count(now_ms)
        if count < MIN_RECENT_REQUESTS:
            return 0
        mean = self._demand.count(now_ms) / count
        return int(self._demand.per_s(now_ms) * EXPECTED_S + mean)

    def return_surplus(self, now_ms: float) -> bool:
        """Gives back what is held in vain; returns whether that is any."""
        expected = self.expected(now_ms)
        if self.balance <= SURPLUS_RATIO * expected:
            return False
        self.returned += self.balance - expected
        return True

    def close(self) -> None:
        """Records that the leader has closed its account of this entry.

        It does so when told that nothing is held, waits or is expected. It
        begins to count anew then.
        """
        self.granted -= self.used + self.returned
        self.used = 0
        self.returned = 0

    @property
    def is_closed(self) -> bool:
        """Whether the leader may have forgotten what this entry had."""
        return not (self.granted or self.used or self.returned)

    def is_idle(self, now_ms: float) -> bool:
        """Returns whether nothing is held or expected."""
        return not self.balance and not self.expected(now_ms)

    def is_forgettable(self, now_ms: float) -> bool:
        """Returns whether a new record would allow the same."""
        return (
            now_ms - self.asked_ms >= FORGET_MS
            and self.is_closed
            and self.is_idle(now_ms)
            and self.refused_ms is None
            and self._base_now(now_ms) >= self._base_capacity()
        )

    def base_wait_ms(self, amount: int, now_ms: float) -> float | None:
        """Returns the time until the base part suffices; None for never."""
        if not self._entry_count or amount > self._base_capacity():
            return None
        lacking = max(0.0, amount - self._base_now(now_ms))
        per_s = self.terms.base_per_s(self._entry_count)
        return lacking / per_s * 1_000

    def _carried_now(self, now_ms: float) -> int:
        if now_ms >= self._carried_until_ms:
            self._carried = 0
        return self._carried

    def _base_capacity(self) -> float:
        if not self._entry_count:
            return 0.0
        return self.terms.base_capacity(self._entry_count)

    def _base_now(self, now_ms: float) -> float:
        self._refill_base(now_ms)
        return self._base

    def _refill_base(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._base_ms) / 1_000
        self._base_ms = max(now_ms, self._base_ms)
        if not self._entry_count:
            return
        per_s = self.terms.base_per_s(self._entry_count)
        self._base = min(self._base_capacity(), self._base + elapsed_s * per_s)


__all__ = ["Charge", "TeamAllowance"]
