"""Limits how many whole views a process sends at the same time."""

from __future__ import annotations

import dataclasses

MAX_TRANSFERS = 16
# a receiver that requests no part for this long loses its slot
IDLE_TIMEOUT_MS = 1_000.0
INITIAL_TRANSFER_MS = 50.0
MIN_RETRY_MS = 20.0
MAX_RETRY_MS = 2_000.0
EWMA_WEIGHT = 0.2


@dataclasses.dataclass
class _Transfer:
    """A whole view that is being sent to a receiver.

    Attributes:
        started_ms: When its first part was requested.
        last_request_ms: When a part was last requested.
    """

    started_ms: float
    last_request_ms: float


class TransferSlots:
    """Grants slots to receivers and tells the others when to retry."""

    def __init__(self, limit: int = MAX_TRANSFERS) -> None:
        self._limit = limit
        self._transfer_by_peer: dict[object, _Transfer] = {}
        self._average_transfer_ms = INITIAL_TRANSFER_MS
        self._next_retry_ms = 0.0

    def acquire(self, peer: object, now_ms: float) -> float:
        """Grants a receiver a slot, or extends the one that it has.

        Args:
            peer: The receiver.
            now_ms: The current time.

        Returns:
            0 if it has a slot, else the delay before it should retry, in ms.
        """
        self._release_idle(now_ms)
        transfer = self._transfer_by_peer.get(peer)
        if transfer is not None:
            transfer.last_request_ms = now_ms
            return 0.0
        if len(self._transfer_by_peer) < self._limit:
            self._transfer_by_peer[peer] = _Transfer(now_ms, now_ms)
            return 0.0
        # spreads the retries, one per slot that is expected to become free
        interval_ms = self._average_transfer_ms / self._limit
        self._next_retry_ms = max(self._next_retry_ms, now_ms) + interval_ms
        wait_ms = self._next_retry_ms - now_ms
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))

    def complete(self, peer: object, now_ms: float) -> None:
        """Frees the slot of a receiver that was sent its last part."""
        transfer = self._transfer_by_peer.pop(peer, None)
        if transfer is not None:
            duration_ms = now_ms - transfer.started_ms
            self._average_transfer_ms += EWMA_WEIGHT * (
                duration_ms - self._average_transfer_ms
            )

    def release(self, peer: object) -> None:
        """Frees the slot of a receiver whose connection has ended."""
        self._transfer_by_peer.pop(peer, None)

    def _release_idle(self, now_ms: float) -> None:
        idle = [
            peer
            for peer, transfer in self._transfer_by_peer.items()
            if now_ms - transfer.last_request_ms >= IDLE_TIMEOUT_MS
        ]
        for peer in idle:
            del self._transfer_by_peer[peer]


__all__ = ["MAX_TRANSFERS", "TransferSlots"]
