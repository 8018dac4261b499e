"""Keeps both ends of a connection at the newer fleet view."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.wire import api

MAX_HELD_FRAMES = 1_000
WHOLE_VIEW = -1


class ViewGate:
    """Holds frames of a newer view back until that view is in force here.

    Attributes:
        peer_revision: The highest view revision seen from the peer.
    """

    def __init__(
        self,
        view: api.ViewExchange,
        send: Callable[[messages.Message], None],
    ) -> None:
        self.peer_revision = 0
        self._view = view
        self._send = send
        self._held: list[messages.Envelope] = []
        self._fetching = False
        self._offered = 0

    def admit(
        self, envelope: messages.Envelope
    ) -> tuple[messages.Envelope, ...]:
        """Takes a frame in.

        Args:
            envelope: The frame.

        Returns:
            The frames that may be handled now, in order.

        Raises:
            PeerUnreachableError: If the peer can't be sent to, or sends
                more than may be held back.
        """
        revision = envelope.view_revision
        self.peer_revision = max(self.peer_revision, revision)
        if isinstance(envelope.message, messages.ViewFetch):
            self._send(self._view.update_since(envelope.message.since))
            return ()
        if isinstance(envelope.message, messages.ViewUpdate):
            return self._take(envelope.message)
        self.offer()
        own = self._view.revision()
        if self._held or (revision > own and self._view.takes_from_peers):
            self._hold(envelope)
            return ()
        return (envelope,)

    def offer(self) -> None:
        """Sends the view to a peer whose own is known to be older."""
        own = self._view.revision()
        known = max(self.peer_revision, self._offered)
        if known < own:
            self._send(self._view.update_since(known))
            self._offered = own

    def _hold(self, envelope: messages.Envelope) -> None:
        if len(self._held) >= MAX_HELD_FRAMES:
            raise errors.PeerUnreachableError("too many frames held back")
        self._held.append(envelope)
        if not self._fetching:
            self._fetching = True
            self._send(messages.ViewFetch(self._view.revision()))

    def _take(
        self, update: messages.ViewUpdate
    ) -> tuple[messages.Envelope, ...]:
        self._fetching = False
        if self._view.takes_from_peers and not self._view.take(update):
            self._fetching = True
            self._send(messages.ViewFetch(WHOLE_VIEW))
            return ()
        own = self._view.revision()
        if any(held.view_revision > own for held in self._held):
            self._fetching = True
            self._send(messages.ViewFetch(own))
            return ()
        ready = tuple(self._held)
        self._held.clear()
        return ready


__all__ = ["MAX_HELD_FRAMES", "WHOLE_VIEW", "ViewGate"]
