"""Sends the fleet view to peers that have an older one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.fleet import changes
from lycheering.fleet import transfers
from lycheering.fleet import view_parts
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.fleet import view

TEAMS_RETRY_MS = 500.0


class ViewSource:
    """Answers the requests of peers for a fleet view.

    Attributes:
        teams_requested: Whether a peer requested teams that this view lacks.
    """

    def __init__(self) -> None:
        self.teams_requested = False
        self._encoded_views = view_parts.EncodedViewCache()
        self._slots = transfers.TransferSlots()

    def answer(
        self,
        fleet: view.FleetView,
        fetch: messages.ViewFetch,
        peer: object,
        now_ms: float,
    ) -> messages.ViewUpdate | messages.ViewPart | messages.ViewLater:
        """Returns the changes that a peer lacks, or a part of the whole view.

        Args:
            fleet: The view to send.
            fetch: The request of the peer.
            peer: The connection of the peer.
            now_ms: The current time.

        Returns:
            A ViewLater if the peer has to repeat the request later.
        """
        if not fetch.whole:
            numbered = fleet.changes_since(fetch.since)
            if numbered is not None:
                batch = tuple(numbered[: changes.MAX_CHANGES_PER_FRAME])
                return messages.ViewUpdate(numbered=batch)
        if fetch.with_teams and not fleet.has_teams:
            self.teams_requested = True
            return messages.ViewLater(TEAMS_RETRY_MS)
        wait_ms = self._slots.acquire(peer, now_ms)
        if wait_ms:
            return messages.ViewLater(wait_ms)
        encoded = self._encoded_views.find(fetch.digest)
        if encoded is None or encoded.view_revision < fetch.since:
            encoded = self._encoded_views.current(
                fleet, fetch.since, with_teams=fetch.with_teams
            )
        is_resumed = encoded.digest == fetch.digest
        part = encoded.part(fetch.part if is_resumed else 0)
        if not part.is_last:
            return part
        self._slots.complete(peer, now_ms)
        # includes newer changes, as the receiver must not apply a view that
        # is known to be outdated
        later = fleet.changes_since(part.view_revision) or []
        batch = tuple(later[: changes.MAX_CHANGES_PER_FRAME])
        return msgspec.structs.replace(part, later=batch)

    def release(self, peer: object) -> None:
        """Frees the slot of a peer whose connection has ended."""
        self._slots.release(peer)


__all__ = ["ViewSource"]
