"""The ledger of orders, which is part of the replicated state machine."""

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
class CommandResult:
    """The result of a command to the ledger.

    Attributes:
        is_accepted: Whether the command was accepted.
        refusal_reason: Why it was refused, empty if it was accepted.
        is_granted: Whether a claim was granted.
        has_same_digest: Whether earlier uses of the key had the same request.
        order: The order after the command, None if there is no such order.
    """

    is_accepted: bool
    refusal_reason: str = ""
    is_granted: bool = False
    has_same_digest: bool = True
    order: records.Order | None = None


class Ledger:
    """All orders that were claimed and not yet dropped.

    Claimed and unknown orders are kept until they are settled. Settled orders
    are dropped after their retention, in ledger time. Ledger time is the
    highest wall-clock time of all commands so far, so it never decreases.

    Attributes:
        now_ms: Ledger time.
        order_by_key: The order of the newest claim for each key.
        kept_bytes: Total size of all outcomes in the ledger.
    """

    def __init__(self, max_orders: int = MAX_ORDERS) -> None:
        self.now_ms = 0
        self.order_by_key: dict[records.OrderKey, records.Order] = {}
        self.kept_bytes = 0
        self._max_orders = max_orders
        self._key_by_order_id: dict[str, records.OrderKey] = {}
        self._expiry_heap: list[tuple[int, str]] = []
        self._open_order_ids: dict[str, None] = {}

    def snapshot(self) -> records.LedgerSnapshot:
        """Returns a snapshot of the ledger."""
        return records.LedgerSnapshot(
            self.now_ms, tuple(self.order_by_key.values())
        )

    def restore(self, snapshot: records.LedgerSnapshot) -> None:
        """Replaces the content of the ledger by that of a snapshot."""
        self.now_ms = snapshot.now_ms
        self.order_by_key = {}
        self._key_by_order_id = {}
        self._expiry_heap = []
        self._open_order_ids = {}
        self.kept_bytes = 0
        for order in snapshot.orders:
            self._put(order)

    def find(self, team: str, key: str) -> records.Order | None:
        """Returns the order of the newest claim for a key."""
        return self.order_by_key.get(records.OrderKey(team, key))

    def find_by_id(self, order_id: str) -> records.Order | None:
        """Returns an order by claim id, if no newer claim replaced it."""
        key = self._key_by_order_id.get(order_id)
        return self.order_by_key[key] if key is not None else None

    def open_orders(self) -> Iterator[records.Order]:
        """Yields the orders in state claimed or unknown, oldest first."""
        for order_id in list(self._open_order_ids):
            order = self.find_by_id(order_id)
            if order is not None:
                yield order

    def claim(
        self, request: messages.OrderClaim, fence: int, wall_ms: int
    ) -> CommandResult:
        """Grants a claim if no order with its key ran, or may still run.

        Args:
            request: The requested claim.
            fence: The fencing number that the claim gets if it is granted.
            wall_ms: The leader's wall-clock time.
        """
        self._advance_time(wall_ms)
        names = (request.team, request.key, request.digest, request.request_id)
        if not request.key or any(len(name) > MAX_NAME_CHARS for name in names):
            return CommandResult(False, messages.Reason.BAD_REQUEST)
        current = self.find(request.team, request.key)
        if current is not None and current.digest != request.digest:
            return CommandResult(
                False,
                messages.Reason.KEY_REUSED,
                has_same_digest=False,
                order=current,
            )
        if (
            current is not None
            and current.state != messages.OrderState.RELEASED
        ):
            return CommandResult(True, order=current)
        if current is None and self._is_full():
            return CommandResult(False, messages.Reason.FULL)
        retention_ms = min(max(0, int(request.retention_ms)), MAX_RETENTION_MS)
        order = records.Order(
            f"o{fence}",
            request.team,
            request.key,
            request.digest,
            messages.OrderState.CLAIMED,
            fence,
            request.target,
            request.agent_incarnation,
            request.request_id,
            self.now_ms,
            self.now_ms,
            retention_ms,
        )
        self._put(order)
        return CommandResult(True, is_granted=True, order=order)

    def finish(
        self, order_id: str, outcome: messages.OrderOutcome, wall_ms: int
    ) -> CommandResult:
        """Finishes an order and keeps its outcome.

        An outcome that exceeds the limit for one order or for the ledger is
        not kept, but the order is still finished.
        """
        size_bytes = len(outcome.body)
        fits = size_bytes <= MAX_OUTCOME_BYTES
        is_kept = fits and self.kept_bytes + size_bytes <= MAX_KEPT_BYTES
        # a report from the holder of the claim also settles an unknown order
        return self._transition(
            order_id,
            wall_ms,
            _OPEN_STATES,
            messages.OrderState.FINISHED,
            "" if is_kept else "answer too large to keep",
            outcome if is_kept else None,
        )

    def release(
        self, order_id: str, reason: str, wall_ms: int
    ) -> CommandResult:
        """Releases the claim of an order that neither ran nor will run."""
        return self._transition(
            order_id,
            wall_ms,
            _OPEN_STATES,
            messages.OrderState.RELEASED,
            reason,
        )

    def mark_unknown(
        self, order_id: str, reason: str, wall_ms: int
    ) -> CommandResult:
        """Records that it can't be determined whether an order ran."""
        allowed_states = (messages.OrderState.CLAIMED,)
        return self._transition(
            order_id,
            wall_ms,
            allowed_states,
            messages.OrderState.UNKNOWN,
            reason,
        )

    def resolve(
        self, order_id: str, ran: bool, reason: str, wall_ms: int
    ) -> CommandResult:
        """Settles an unknown order with the decision of an operator."""
        self._advance_time(wall_ms)
        order = self.find_by_id(order_id)
        if order is None:
            return CommandResult(False, messages.Reason.NOT_FOUND)
        if order.state != messages.OrderState.UNKNOWN:
            return CommandResult(False, order.state.value, order=order)
        state = messages.OrderState.RELEASED
        if ran:
            state = messages.OrderState.FINISHED
        return self._change_state(order, state, reason)

    def expire(self, wall_ms: int) -> int:
        """Drops orders whose retention has passed and returns their number."""
        self._advance_time(wall_ms)
        dropped = 0
        while self._expiry_heap and self._expiry_heap[0][0] <= self.now_ms:
            expiry_ms, order_id = heapq.heappop(self._expiry_heap)
            order = self.find_by_id(order_id)
            if order is not None and _expiry_ms(order) == expiry_ms:
                self._drop(order)
                dropped += 1
        return dropped

    def due_count(self, wall_ms: int) -> int:
        """Returns 1 if `expire` may drop an order at this time, else 0."""
        return int(
            bool(self._expiry_heap) and self._expiry_heap[0][0] <= wall_ms
        )

    def _advance_time(self, wall_ms: int) -> None:
        self.now_ms = max(self.now_ms, wall_ms)

    def _is_full(self) -> bool:
        return len(self.order_by_key) >= self._max_orders

    def _transition(
        self,
        order_id: str,
        wall_ms: int,
        allowed_states: tuple[messages.OrderState, ...],
        state: messages.OrderState,
        reason: str,
        outcome: messages.OrderOutcome | None = None,
    ) -> CommandResult:
        """Changes the state of an order if its current state allows it.

        An order that already has the new state is left unchanged.
        """
        self._advance_time(wall_ms)
        order = self.find_by_id(order_id)
        if order is None:
            return CommandResult(False, messages.Reason.NOT_FOUND)
        if order.state == state:
            return CommandResult(True, order=order)
        if order.state not in allowed_states:
            return CommandResult(False, order.state.value, order=order)
        return self._change_state(order, state, reason, outcome)

    def _change_state(
        self,
        order: records.Order,
        state: messages.OrderState,
        reason: str,
        outcome: messages.OrderOutcome | None = None,
    ) -> CommandResult:
        changed = msgspec.structs.replace(
            order,
            state=state,
            reason=reason[:MAX_NAME_CHARS],
            outcome=outcome,
            changed_ms=self.now_ms,
        )
        self._put(changed)
        return CommandResult(True, order=changed)

    def _put(self, order: records.Order) -> None:
        key = records.OrderKey(order.team, order.key)
        previous = self.order_by_key.pop(key, None)
        if previous is not None:
            self._remove_from_indexes(previous)
        self.order_by_key[key] = order
        self._key_by_order_id[order.order_id] = key
        self.kept_bytes += _outcome_bytes(order)
        if order.state in _OPEN_STATES:
            self._open_order_ids[order.order_id] = None
        else:
            heapq.heappush(
                self._expiry_heap, (_expiry_ms(order), order.order_id)
            )

    def _drop(self, order: records.Order) -> None:
        self._remove_from_indexes(order)
        del self.order_by_key[records.OrderKey(order.team, order.key)]

    def _remove_from_indexes(self, order: records.Order) -> None:
        self._key_by_order_id.pop(order.order_id, None)
        self._open_order_ids.pop(order.order_id, None)
        self.kept_bytes -= _outcome_bytes(order)


def _expiry_ms(order: records.Order) -> int:
    retention_ms = order.retention_ms
    if order.state == messages.OrderState.RELEASED:
        retention_ms = min(retention_ms, RELEASED_RETENTION_MS)
    return order.changed_ms + retention_ms


def _outcome_bytes(order: records.Order) -> int:
    return len(order.outcome.body) if order.outcome is not None else 0


__all__ = [
    "MAX_KEPT_BYTES",
    "MAX_NAME_CHARS",
    "MAX_ORDERS",
    "MAX_OUTCOME_BYTES",
    "MAX_RETENTION_MS",
    "RELEASED_RETENTION_MS",
    "Ledger",
    "CommandResult",
]
