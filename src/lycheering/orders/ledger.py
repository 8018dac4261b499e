"""The ledger of orders that run at most once, as the log decides it."""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

import msgspec

from lycheering.orders import records
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_ORDERS = 50_000
MAX_KEPT_BYTES = 16_777_216
MAX_OUTCOME_BYTES = 1_048_576
MAX_NAME_CHARS = 512
RELEASED_RETENTION_MS = 600_000
MAX_RETENTION_MS = 30 * 24 * 3_600_000

_OPEN_STATES = (messages.OrderState.CLAIMED, messages.OrderState.UNKNOWN)


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What the ledger made of a command.

    Attributes:
        done: Whether it took effect.
        refusal: Why not.
        granted: Whether a claim was granted.
        same_digest: Whether the key was used with the same request.
        order: The order after the command, if it is known.
    """

    done: bool
    refusal: str = ""
    granted: bool = False
    same_digest: bool = True
    order: records.Order | None = None


class Ledger:
    """Every order claimed and not yet dropped.

    Claims and unknown orders stay until they are settled. What is settled
    is dropped after its retention, in ledger time, which is the highest
    wall-clock time seen in a command and so never steps back.

    Attributes:
        now_ms: Ledger time.
        order_by_key: The newest claim of each key.
        kept_bytes: Size of all outcomes kept.
    """

    def __init__(self, max_orders: int = MAX_ORDERS) -> None:
        self.now_ms = 0
        self.order_by_key: dict[records.OrderKey, records.Order] = {}
        self.kept_bytes = 0
        self._max_orders = max_orders
        self._key_by_order_id: dict[str, records.OrderKey] = {}
        self._expiries: list[tuple[int, str]] = []
        self._open_ids: dict[str, None] = {}

    def snapshot(self) -> records.LedgerSnapshot:
        """Returns all that the ledger keeps."""
        return records.LedgerSnapshot(
            self.now_ms, tuple(self.order_by_key.values())
        )

    def restore(self, snapshot: records.LedgerSnapshot) -> None:
        """Replaces all that the ledger keeps."""
        self.now_ms = snapshot.now_ms
        self.order_by_key = {}
        self._key_by_order_id = {}
        self._expiries = []
        self._open_ids = {}
        self.kept_bytes = 0
        for order in snapshot.orders:
            self._put(order)

    def find(self, team: str, key: str) -> records.Order | None:
        """Returns the newest claim of a key."""
        return self.order_by_key.get(records.OrderKey(team, key))

    def find_id(self, order_id: str) -> records.Order | None:
        """Returns a claim that is the newest of its key."""
        key = self._key_by_order_id.get(order_id)
        return self.order_by_key[key] if key is not None else None

    def open_orders(self) -> Iterator[records.Order]:
        """Yields the orders that are claimed or unknown, oldest first."""
        for order_id in list(self._open_ids):
            order = self.find_id(order_id)
            if order is not None:
                yield order

    def claim(
        self, asked: messages.OrderClaim, fence: int, at_ms: int
    ) -> Verdict:
        """Grants a claim if nothing has run or may run under its key.

        Args:
            asked: The claim.
            fence: The fencing number it gets if granted.
            at_ms: The leader's wall-clock time.
        """
        self._advance(at_ms)
        names = (asked.team, asked.key, asked.digest, asked.request_id)
        if not asked.key or any(len(name) > MAX_NAME_CHARS for name in names):
            return Verdict(False, messages.Reason.BAD_REQUEST)
        known = self.find(asked.team, asked.key)
        if known is not None and known.digest != asked.digest:
            return Verdict(
                False,
                messages.Reason.KEY_REUSED,
                same_digest=False,
                order=known,
            )
        if known is not None and known.state != messages.OrderState.RELEASED:
            return Verdict(True, order=known)
        if known is None and self._is_full():
            return Verdict(False, messages.Reason.FULL)
        retention_ms = min(max(0, int(asked.retention_ms)), MAX_RETENTION_MS)
        order = records.Order(
            f"o{fence}",
            asked.team,
            asked.key,
            asked.digest,
            messages.OrderState.CLAIMED,
            fence,
            asked.target,
            asked.agent_incarnation,
            asked.request_id,
            self.now_ms,
            self.now_ms,
            retention_ms,
        )
        self._put(order)
        return Verdict(True, granted=True, order=order)

    def finish(
        self, order_id: str, outcome: messages.OrderOutcome, at_ms: int
    ) -> Verdict:
        """Keeps a claim's outcome.

        An outcome that is too large, or for which there is no room, is not
        kept; the order is finished all the same.
        """
        size = len(outcome.body)
        fits = size <= MAX_OUTCOME_BYTES
        kept = fits and self.kept_bytes + size <= MAX_KEPT_BYTES
        # the holder's own word settles what had become unknown
        return self._move(
            order_id,
            at_ms,
            _OPEN_STATES,
            messages.OrderState.FINISHED,
            "" if kept else "answer too large to keep",
            outcome if kept else None,
        )

    def release(self, order_id: str, reason: str, at_ms: int) -> Verdict:
        """Gives a claim back that was never run and never will be."""
        return self._move(
            order_id, at_ms, _OPEN_STATES, messages.OrderState.RELEASED, reason
        )

    def mark_unknown(self, order_id: str, reason: str, at_ms: int) -> Verdict:
        """Records that nobody can tell whether a claim ran."""
        claimed = (messages.OrderState.CLAIMED,)
        return self._move(
            order_id, at_ms, claimed, messages.OrderState.UNKNOWN, reason
        )

    def resolve(
        self, order_id: str, ran: bool, reason: str, at_ms: int
    ) -> Verdict:
        """Settles an unknown order by an operator's word."""
        self._advance(at_ms)
        order = self.find_id(order_id)
        if order is None:
            return Verdict(False, messages.Reason.NOT_FOUND)
        if order.state != messages.OrderState.UNKNOWN:
            return Verdict(False, order.state.value, order=order)
        state = messages.OrderState.RELEASED
        if ran:
            state = messages.OrderState.FINISHED
        return self._settle(order, state, reason)

    def expire(self, at_ms: int) -> int:
        """Drops what was kept long enough and returns how many."""
        self._advance(at_ms)
        dropped = 0
        while self._expiries and self._expiries[0][0] <= self.now_ms:
            due_ms, order_id = heapq.heappop(self._expiries)
            order = self.find_id(order_id)
            if order is not None and _expiry_ms(order) == due_ms:
                self._drop(order)
                dropped += 1
        return dropped

    def due_count(self, at_ms: int) -> int:
        """Returns whether anything would be dropped, as 0 or 1."""
        return int(bool(self._expiries) and self._expiries[0][0] <= at_ms)

    def _advance(self, at_ms: int) -> None:
        self.now_ms = max(self.now_ms, at_ms)

    def _is_full(self) -> bool:
        return len(self.order_by_key) >= self._max_orders

    def _move(
        self,
        order_id: str,
        at_ms: int,
        sources: tuple[messages.OrderState, ...],
        state: messages.OrderState,
        reason: str,
        outcome: messages.OrderOutcome | None = None,
    ) -> Verdict:
        """Moves a claim to a state; one that is there already stays."""
        self._advance(at_ms)
        order = self.find_id(order_id)
        if order is None:
            return Verdict(False, messages.Reason.NOT_FOUND)
        if order.state == state:
            return Verdict(True, order=order)
        if order.state not in sources:
            return Verdict(False, order.state.value, order=order)
        return self._settle(order, state, reason, outcome)

    def _settle(
        self,
        order: records.Order,
        state: messages.OrderState,
        reason: str,
        outcome: messages.OrderOutcome | None = None,
    ) -> Verdict:
        settled = msgspec.structs.replace(
            order,
            state=state,
            reason=reason[:MAX_NAME_CHARS],
            outcome=outcome,
            changed_ms=self.now_ms,
        )
        self._put(settled)
        return Verdict(True, order=settled)

    def _put(self, order: records.Order) -> None:
        key = records.OrderKey(order.team, order.key)
        before = self.order_by_key.pop(key, None)
        if before is not None:
            self._forget(before)
        self.order_by_key[key] = order
        self._key_by_order_id[order.order_id] = key
        self.kept_bytes += _kept_bytes(order)
        if order.state in _OPEN_STATES:
            self._open_ids[order.order_id] = None
        else:
            heapq.heappush(self._expiries, (_expiry_ms(order), order.order_id))

    def _drop(self, order: records.Order) -> None:
        self._forget(order)
        del self.order_by_key[records.OrderKey(order.team, order.key)]

    def _forget(self, order: records.Order) -> None:
        self._key_by_order_id.pop(order.order_id, None)
        self._open_ids.pop(order.order_id, None)
        self.kept_bytes -= _kept_bytes(order)


def _expiry_ms(order: records.Order) -> int:
    retention_ms = order.retention_ms
    if order.state == messages.OrderState.RELEASED:
        retention_ms = min(retention_ms, RELEASED_RETENTION_MS)
    return order.changed_ms + retention_ms


def _kept_bytes(order: records.Order) -> int:
    return len(order.outcome.body) if order.outcome is not None else 0


__all__ = [
    "MAX_KEPT_BYTES",
    "MAX_NAME_CHARS",
    "MAX_ORDERS",
    "MAX_OUTCOME_BYTES",
    "MAX_RETENTION_MS",
    "RELEASED_RETENTION_MS",
    "Ledger",
    "Verdict",
]
