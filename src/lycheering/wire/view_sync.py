"""Synchronizes the fleet view between the two ends of a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.fleet import changes
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.wire import api

MAX_HELD_FRAMES = 1_000
# while a whole view is being fetched on another connection
BUSY_FETCH_RETRY_MS = 100.0

_VIEW_MESSAGES = (
    messages.ViewFetch,
    messages.ViewUpdate,
    messages.ViewPart,
    messages.ViewLater,
    messages.ViewNotice,
)


class ViewSync:
    """Synchronizes the fleet view and holds back frames that need a newer one.

    A frame that was sent at a newer view revision is held back until that
    view is applied here. Changes are pushed. A whole view is requested part
    by part, so that a slow receiver limits the data in flight.

    Attributes:
        peer_revision: The highest view revision seen in frames of the peer.
    """

    def __init__(
        self,
        link: api.Link,
        send: Callable[[messages.Message], None],
        *,
        peer_has_teams: bool = False,
    ) -> None:
        """Creates the synchronization of one connection.

        Args:
            link: The state shared by all connections of the process.
            send: Sends a message to the peer.
            peer_has_teams: Whether the peer can provide teams that this
                process lacks.
        """
        self.peer_revision = 0
        self._link = link
        self._view = link.view
        self._send = send
        self._peer_has_teams = peer_has_teams
        self._held_frames: list[messages.Envelope] = []
        self._is_fetch_pending = False
        self._fetch_not_before_ms = 0.0
        self._pushed_revision = 0

    @property
    def is_behind(self) -> bool:
        """Whether the peer's view is newer or frames are held back."""
        own_revision = self._view.revision()
        is_view_older = (
            self._view.takes_from_peers and self.peer_revision > own_revision
        )
        return is_view_older or bool(self._held_frames)

    def process_frame(
        self, envelope: messages.Envelope
    ) -> tuple[messages.Envelope, ...]:
        """Processes a received frame.

        Args:
            envelope: The frame.

        Returns:
            The frames that may be handled now, in order.

        Raises:
            PeerUnreachableError: If sending to the peer fails or too many
                frames are held back.
            MalformedFrameError: If the parts don't form a valid view.
        """
        self.peer_revision = max(self.peer_revision, envelope.view_revision)
        if isinstance(envelope.message, _VIEW_MESSAGES):
            return self._handle(envelope.message)
        self.push_changes()
        is_newer = envelope.view_revision > self._view.revision()
        if self._held_frames or (is_newer and self._view.takes_from_peers):
            self._hold_frame(envelope)
            return ()
        return (envelope,)

    def push_changes(self) -> None:
        """Pushes changes to the peer if its view is known to be older."""
        own_revision = self._view.revision()
        known_revision = max(self.peer_revision, self._pushed_revision)
        if known_revision >= own_revision:
            return
        numbered = self._view.changes_since(known_revision)
        self._pushed_revision = own_revision
        if numbered is None:
            self._send(messages.ViewNotice())
            return
        # the peer requests the rest
        batch = tuple(numbered[: changes.MAX_CHANGES_PER_FRAME])
        self._send(messages.ViewUpdate(numbered=batch))

    def note_hello(self, peer_revision: int) -> None:
        """Records the view revision of a peer that has sent Hello.

        Nothing is pushed: the revision in the Welcome frame shows the peer
        whether it must fetch changes.
        """
        self.peer_revision = peer_revision
        self._pushed_revision = self._view.revision()

    def tick(self) -> tuple[messages.Envelope, ...]:
        """Does periodic work: pushes, fetches and releases held frames.

        Returns:
            The frames that may be handled now, in order.

        Raises:
            PeerUnreachableError: If sending to the peer fails.
        """
        self.push_changes()
        self._fetch_if_behind()
        return self._release_held()

    def close(self) -> None:
        """Releases the state of the connection."""
        self._view.release(self)

    def _handle(
        self, message: messages.Message
    ) -> tuple[messages.Envelope, ...]:
        match message:
            case messages.ViewFetch():
                self._answer_fetch(message)
            case messages.ViewUpdate():
                return self._apply_update(message)
            case messages.ViewPart():
                return self._apply_part(message)
            case messages.ViewLater(retry_after_ms):
                self._is_fetch_pending = False
                now_ms = self._link.clock.now_ms()
                self._fetch_not_before_ms = now_ms + retry_after_ms
            case messages.ViewNotice():
                self._fetch_if_behind()
        return ()

    def _answer_fetch(self, fetch: messages.ViewFetch) -> None:
        now_ms = self._link.clock.now_ms()
        reply = self._view.answer(fetch, self, now_ms)
        if isinstance(reply, messages.ViewLater):
            self._link.counters.increment("wire.view_later")
        self._send(reply)

    def _hold_frame(self, envelope: messages.Envelope) -> None:
        if len(self._held_frames) >= MAX_HELD_FRAMES:
            raise errors.PeerUnreachableError("too many frames held back")
        self._held_frames.append(envelope)
        self._fetch_if_behind()

    def _fetch_if_behind(self) -> None:
        if not self._view.takes_from_peers or self._is_fetch_pending:
            return
        if self.peer_revision > self._view.revision():
            self._fetch(whole=False)
        elif self._peer_has_teams and self._view.lacks_teams():
            self._fetch(whole=True)

    def _fetch(self, *, whole: bool) -> None:
        now_ms = self._link.clock.now_ms()
        if now_ms < self._fetch_not_before_ms:
            return
        fetch = self._view.next_fetch(self, now_ms, whole=whole)
        if fetch is None:
            self._fetch_not_before_ms = now_ms + BUSY_FETCH_RETRY_MS
            return
        self._is_fetch_pending = True
        self._send(fetch)

    def _apply_update(
        self, update: messages.ViewUpdate
    ) -> tuple[messages.Envelope, ...]:
        if self._view.takes_from_peers and not self._view.take(update):
            # Changes are missing, perhaps since this update was pushed before
            # the reply to a pending fetch.
            if not self._is_fetch_pending:
                self._fetch(whole=True)
            return ()
        self._is_fetch_pending = False
        self._fetch_if_behind()
        return self._release_held()

    def _apply_part(
        self, part: messages.ViewPart
    ) -> tuple[messages.Envelope, ...]:
        self._is_fetch_pending = False
        if not self._view.takes_from_peers:
            return ()
        if self._view.take_part(part):
            self._fetch(whole=True)
            return ()
        self._fetch_if_behind()
        return self._release_held()

    def _release_held(self) -> tuple[messages.Envelope, ...]:
        own_revision = self._view.revision()
        if any(held.view_revision > own_revision for held in self._held_frames):
            return ()
        ready = tuple(self._held_frames)
        self._held_frames.clear()
        return ready


__all__ = ["MAX_HELD_FRAMES", "ViewSync"]
