"""Hands a fleet view over to peers that lack some of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.fleet import changes
from lycheering.fleet import transfers
from lycheering.fleet import whole
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.fleet import view

TEAMS_RETRY_MS = 500.0


class ViewSource:
    """Answers what peers ask of a fleet view.

    Attributes:
        teams_wanted: Whether a peer asked for teams that are not held here.
    """

    def __init__(self) -> None:
        self.teams_wanted = False
        self._encoded = whole.EncodedViews()
        self._slots = transfers.TransferSlots()

    def answer(
        self,
        fleet: view.FleetView,
        fetch: messages.ViewFetch,
        peer: object,
        now_ms: float,
    ) -> messages.ViewUpdate | messages.ViewPart | messages.ViewLater:
        """Returns the changes that a peer lacks, or a part of the view.

        Args:
            fleet: The view to hand over.
            fetch: What the peer asks for.
            peer: The peer.
            now_ms: The time.
        """
        if not fetch.whole:
            numbered = fleet.changes_since(fetch.since)
            if numbered is not None:
                some = tuple(numbered[: changes.MAX_CHANGES_PER_FRAME])
                return messages.ViewUpdate(numbered=some)
        if fetch.with_teams and not fleet.has_teams:
            self.teams_wanted = True
            return messages.ViewLater(TEAMS_RETRY_MS)
        wait_ms = self._slots.enter(peer, now_ms)
        if wait_ms:
            return messages.ViewLater(wait_ms)
        encoded = self._encoded.find(fetch.digest)
        if encoded is None or encoded.view_revision < fetch.since:
            encoded = self._encoded.current(
                fleet, fetch.since, with_teams=fetch.with_teams
            )
        goes_on = encoded.digest == fetch.digest
        part = encoded.part(fetch.part if goes_on else 0)
        if not part.is_last:
            return part
        self._slots.finish(peer, now_ms)
        # the receiver must not put a view in force that is known to be old
        later = fleet.changes_since(part.view_revision) or []
        some = tuple(later[: changes.MAX_CHANGES_PER_FRAME])
        return msgspec.structs.replace(part, later=some)

    def release(self, peer: object) -> None:
        """Forgets a peer whose connection ended."""
        self._slots.release(peer)


__all__ = ["ViewSource"]
