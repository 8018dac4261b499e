"""Keeps both ends of a connection at the newer fleet view."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.fleet import changes
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.wire import api

MAX_HELD_FRAMES = 1_000
# while another connection hands a whole view over
OTHER_GIVER_MS = 100.0

_VIEW_MESSAGES = (
    messages.ViewFetch,
    messages.ViewUpdate,
    messages.ViewPart,
    messages.ViewLater,
    messages.ViewNotice,
)


class ViewGate:
    """Holds frames of a newer view back until that view is in force here.

    Changes are pushed. A whole view is asked for part by part, so that the
    receiver's pace bounds what is on its way.

    Attributes:
        peer_revision: The highest view revision seen from the peer.
    """

    def __init__(
        self,
        link: api.Link,
        send: Callable[[messages.Message], None],
        *,
        asks_teams: bool = False,
    ) -> None:
        """Makes the gate of one connection.

        Args:
            link: What connections of this process share.
            send: Hands a frame to the peer.
            asks_teams: Whether the peer has teams that this process lacks.
        """
        self.peer_revision = 0
        self._link = link
        self._view = link.view
        self._send = send
        self._asks_teams = asks_teams
        self._held: list[messages.Envelope] = []
        self._asked = False
        self._ask_at_ms = 0.0
        self._offered = 0

    @property
    def is_behind(self) -> bool:
        """Whether frames or the peer's view wait to be taken in."""
        own = self._view.revision()
        is_older = self._view.takes_from_peers and self.peer_revision > own
        return is_older or bool(self._held)

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
            MalformedFrameError: If what it handed over makes no view.
        """
        self.peer_revision = max(self.peer_revision, envelope.view_revision)
        if isinstance(envelope.message, _VIEW_MESSAGES):
            return self._handle(envelope.message)
        self.offer()
        is_newer = envelope.view_revision > self._view.revision()
        if self._held or (is_newer and self._view.takes_from_peers):
            self._hold(envelope)
            return ()
        return (envelope,)

    def offer(self) -> None:
        """Tells a peer whose view is known to be older what is new."""
        own = self._view.revision()
        known = max(self.peer_revision, self._offered)
        if known >= own:
            return
        numbered = self._view.changes_since(known)
        self._offered = own
        if numbered is None:
            self._send(messages.ViewNotice())
            return
        # the peer asks for the rest
        some = tuple(numbered[: changes.MAX_CHANGES_PER_FRAME])
        self._send(messages.ViewUpdate(numbered=some))

    def greeted(self, peer_revision: int) -> None:
        """Notes the view of a peer that said hello.

        The revision of the frame that welcomes it tells it what is new.
        """
        self.peer_revision = peer_revision
        self._offered = self._view.revision()

    def tick(self) -> tuple[messages.Envelope, ...]:
        """Does what is due by time.

        Returns:
            The frames that may be handled now, in order.

        Raises:
            PeerUnreachableError: If the peer can't be sent to.
        """
        self.offer()
        self._ask_if_older()
        return self._released()

    def close(self) -> None:
        """Ends what the connection had going on."""
        self._view.release(self)

    def _handle(
        self, message: messages.Message
    ) -> tuple[messages.Envelope, ...]:
        match message:
            case messages.ViewFetch():
                self._answer(message)
            case messages.ViewUpdate():
                return self._take(message)
            case messages.ViewPart():
                return self._take_part(message)
            case messages.ViewLater(retry_after_ms):
                self._asked = False
                now_ms = self._link.clock.now_ms()
                self._ask_at_ms = now_ms + retry_after_ms
            case messages.ViewNotice():
                self._ask_if_older()
        return ()

    def _answer(self, fetch: messages.ViewFetch) -> None:
        now_ms = self._link.clock.now_ms()
        reply = self._view.answer(fetch, self, now_ms)
        if isinstance(reply, messages.ViewLater):
            self._link.counters.increment("wire.view_later")
        self._send(reply)

    def _hold(self, envelope: messages.Envelope) -> None:
        if len(self._held) >= MAX_HELD_FRAMES:
            raise errors.PeerUnreachableError("too many frames held back")
        self._held.append(envelope)
        self._ask_if_older()

    def _ask_if_older(self) -> None:
        if not self._view.takes_from_peers or self._asked:
            return
        if self.peer_revision > self._view.revision():
            self._ask(whole=False)
        elif self._asks_teams and self._view.lacks_teams():
            self._ask(whole=True)

    def _ask(self, *, whole: bool) -> None:
        now_ms = self._link.clock.now_ms()
        if now_ms < self._ask_at_ms:
            return
        fetch = self._view.next_fetch(self, now_ms, whole=whole)
        if fetch is None:
            self._ask_at_ms = now_ms + OTHER_GIVER_MS
            return
        self._asked = True
        self._send(fetch)

    def _take(
        self, update: messages.ViewUpdate
    ) -> tuple[messages.Envelope, ...]:
        if self._view.takes_from_peers and not self._view.take(update):
            # a change pushed ahead of an answer that is on its way
            if not self._asked:
                self._ask(whole=True)
            return ()
        self._asked = False
        self._ask_if_older()
        return self._released()

    def _take_part(
        self, part: messages.ViewPart
    ) -> tuple[messages.Envelope, ...]:
        self._asked = False
        if not self._view.takes_from_peers:
            return ()
        if self._view.take_part(part):
            self._ask(whole=True)
            return ()
        self._ask_if_older()
        return self._released()

    def _released(self) -> tuple[messages.Envelope, ...]:
        own = self._view.revision()
        if any(held.view_revision > own for held in self._held):
            return ()
        ready = tuple(self._held)
        self._held.clear()
        return ready


__all__ = ["MAX_HELD_FRAMES", "ViewGate"]
