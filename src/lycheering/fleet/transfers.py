"""Bounds how many whole views leave a process at once."""

from __future__ import annotations

import dataclasses

MAX_TRANSFERS = 16
# a receiver that asks for nothing gives its place up
STALE_MS = 1_000.0
FIRST_TRANSFER_MS = 50.0
MIN_RETRY_MS = 20.0
MAX_RETRY_MS = 2_000.0
SMOOTHING = 0.2


@dataclasses.dataclass
class _Transfer:
    """A whole view on its way.

    Attributes:
        started_ms: When its first part was asked for.
        asked_ms: When its last part was asked for.
    """

    started_ms: float
    asked_ms: float


class TransferSlots:
    """Gives places to receivers and tells the rest when to come back."""

    def __init__(self, limit: int = MAX_TRANSFERS) -> None:
        self._limit = limit
        self._transfer_by_peer: dict[object, _Transfer] = {}
        self._transfer_ms = FIRST_TRANSFER_MS
        self._next_free_ms = 0.0

    def enter(self, peer: object, now_ms: float) -> float:
        """Gives a receiver a place, or lets it keep the one it has.

        Args:
            peer: The receiver.
            now_ms: The time.

        Returns:
            0 if it has a place, else when it should come back, in ms.
        """
        self._drop_stale(now_ms)
        transfer = self._transfer_by_peer.get(peer)
        if transfer is not None:
            transfer.asked_ms = now_ms
            return 0.0
        if len(self._transfer_by_peer) < self._limit:
            self._transfer_by_peer[peer] = _Transfer(now_ms, now_ms)
            return 0.0
        # those turned away come back one after another
        share_ms = self._transfer_ms / self._limit
        self._next_free_ms = max(self._next_free_ms, now_ms) + share_ms
        wait_ms = self._next_free_ms - now_ms
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))

    def finish(self, peer: object, now_ms: float) -> None:
        """Frees the place of a receiver that has its last part."""
        transfer = self._transfer_by_peer.pop(peer, None)
        if transfer is not None:
            took_ms = now_ms - transfer.started_ms
            self._transfer_ms += SMOOTHING * (took_ms - self._transfer_ms)

    def release(self, peer: object) -> None:
        """Frees the place of a receiver that is gone."""
        self._transfer_by_peer.pop(peer, None)

    def _drop_stale(self, now_ms: float) -> None:
        stale = [
            peer
            for peer, transfer in self._transfer_by_peer.items()
            if now_ms - transfer.asked_ms >= STALE_MS
        ]
        for peer in stale:
            del self._transfer_by_peer[peer]


__all__ = ["MAX_TRANSFERS", "TransferSlots"]
