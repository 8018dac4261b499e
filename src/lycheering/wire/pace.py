"""When a connection asks for signs of life, and when it is silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.wire import byte_budget
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.settings import model


class Pace:
    """The times of the frames of one connection.

    Attributes:
        received_ms: When the peer's last frame came.
        idle_heartbeat_ms: Time between heartbeats while nothing is in
            flight, as agreed with the peer.
    """

    def __init__(
        self,
        settings: model.WireSettings,
        time: clock.Clock,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        """Makes the pace of a connection that is not there yet.

        Args:
            settings: The inner protocol's settings.
            time: The clock.
            budget: What heartbeats may take while nothing is in flight, if
                that is bounded.
        """
        self.received_ms = 0.0
        self.idle_heartbeat_ms: float = settings.heartbeat_ms
        self._settings = settings
        self._clock = time
        self._budget = budget
        self._adapts = False
        self._sent_ms = 0.0
        self._asked_ms: float | None = None
        self._announced_ms: float | None = None

    @property
    def is_slow(self) -> bool:
        """Whether few signs of life were agreed for idle times."""
        return self.idle_heartbeat_ms > self._settings.heartbeat_ms

    @property
    def is_asked(self) -> bool:
        """Whether the peer owes a sign of life."""
        return self._asked_ms is not None

    @property
    def quiet_ms(self) -> float:
        """Time that the peer has been silent though it should not be."""
        now_ms = self._clock.now_ms()
        since_ms = self.received_ms
        if self.is_slow:
            asked_ms = now_ms if self._asked_ms is None else self._asked_ms
            since_ms = max(since_ms, asked_ms - self._settings.heartbeat_ms)
        return now_ms - since_ms

    def wish_ms(self) -> int:
        """Returns the time between idle heartbeats to ask an agent for."""
        if self._budget is None:
            return 0
        return round(self._budget.heartbeat_ms())

    def welcomed(self, agreed_ms: float) -> None:
        """Begins anew, with what was agreed for idle times; 0 for nothing."""
        self._adapts = self._budget is not None and agreed_ms > 0
        self.received()
        self.sent()
        self._announced_ms = None
        self.idle_heartbeat_ms = max(agreed_ms, self._settings.heartbeat_ms)

    def received(self) -> None:
        """Notes a frame of the peer."""
        self.received_ms = self._clock.now_ms()
        self._asked_ms = None

    def sent(self) -> None:
        """Notes a frame to the peer."""
        self._sent_ms = self._clock.now_ms()

    def expect_answer(self) -> None:
        """Notes that a live peer would send something from now on."""
        if self._asked_ms is None:
            self._asked_ms = self._clock.now_ms()

    def is_silent(self) -> bool:
        """Returns whether the peer is taken for gone.

        A peer that was agreed to be asked for few signs of life is silent
        only once it is asked for one, by a heartbeat or a call.
        """
        return self.quiet_ms >= self._settings.silence_ms

    def idles(self, *, busy: bool) -> bool:
        """Returns whether few signs of life are needed now.

        Args:
            busy: Whether calls are in flight.
        """
        return self._adapts and self.is_slow and not busy

    def heartbeat(self, *, busy: bool) -> messages.Heartbeat:
        """Returns a heartbeat to send now.

        Args:
            busy: Whether calls are in flight, or one waits for the answer.
        """
        self.expect_answer()
        if self._budget is None:
            return messages.Heartbeat()
        if busy:
            # those on idle connections have a share of their own
            self._budget.spend(1, byte_budget.HEARTBEAT_BYTES)
            return messages.Heartbeat()
        return messages.Heartbeat(self._announce())

    def _announce(self) -> int:
        idle_ms = self.wish_ms()
        if not self._adapts or idle_ms == self.idle_heartbeat_ms:
            return 0
        self._announced_ms = idle_ms
        return idle_ms

    def confirm(self) -> None:
        """Puts what was announced in force, once the peer has answered."""
        if self._announced_ms is not None:
            self.idle_heartbeat_ms = self._announced_ms
            self._announced_ms = None

    def rest_ms(self) -> float:
        """Returns the time until an idle connection needs a heartbeat."""
        last_ms = min(self.received_ms, self._sent_ms)
        return max(0.0, last_ms + self.idle_heartbeat_ms - self._clock.now_ms())

    def heartbeat_due(self, *, busy: bool) -> bool:
        """Returns whether the peer is asked for a sign of life now.

        While the peer sends, it is asked for none, and needs ours just
        before it would take us for silent.

        Args:
            busy: Whether calls are in flight.
        """
        now_ms = self._clock.now_ms()
        period_ms = self.idle_heartbeat_ms
        if busy or self._asked_ms is not None:
            period_ms = self._settings.heartbeat_ms
        longest_ms = self._settings.silence_ms / 2
        if not busy:
            longest_ms = max(longest_ms, self.idle_heartbeat_ms)
        quiet_since_ms = self.received_ms
        if self.is_slow and self._asked_ms is not None:
            # what was sent first asks for a sign of life itself
            quiet_since_ms = max(quiet_since_ms, self._asked_ms)
        is_quiet = now_ms - quiet_since_ms >= period_ms
        return is_quiet or now_ms - self._sent_ms >= longest_ms


__all__ = ["Pace"]
