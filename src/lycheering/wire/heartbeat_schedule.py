"""Schedules the heartbeats of a connection and detects a silent peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.wire import byte_budget
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.settings import model


class HeartbeatSchedule:
    """The heartbeat schedule of one connection.

    A connection without calls in flight is idle. Its heartbeat interval may
    be longer, as agreed with the peer at the handshake; the interval of an
    entry's connection to an agent also changes later with the byte budget.

    Attributes:
        last_received_ms: Time of the peer's last frame.
        idle_heartbeat_ms: Heartbeat interval while the connection is idle.
    """

    def __init__(
        self,
        settings: model.WireSettings,
        process_clock: clock.Clock,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        """Creates the schedule of a connection that is not open yet.

        Args:
            settings: The settings of the inner protocol.
            process_clock: The process's clock.
            budget: The byte budget that sets the heartbeat interval while
                the connection is idle; None if it is not limited.
        """
        self.last_received_ms = 0.0
        self.idle_heartbeat_ms: float = settings.heartbeat_ms
        self._settings = settings
        self._clock = process_clock
        self._budget = budget
        self._is_adaptive = False
        self._last_sent_ms = 0.0
        self._expected_since_ms: float | None = None
        self._announced_interval_ms: float | None = None

    @property
    def has_long_interval(self) -> bool:
        """Whether the heartbeat interval is longer while idle."""
        return self.idle_heartbeat_ms > self._settings.heartbeat_ms

    @property
    def is_frame_expected(self) -> bool:
        """Whether the peer has been sent something that it must answer."""
        return self._expected_since_ms is not None

    @property
    def silent_ms(self) -> float:
        """How long the peer has been silent although a frame is expected."""
        now_ms = self._clock.now_ms()
        since_ms = self.last_received_ms
        if self.has_long_interval:
            expected_since_ms = (
                now_ms
                if self._expected_since_ms is None
                else self._expected_since_ms
            )
            since_ms = max(
                since_ms, expected_since_ms - self._settings.heartbeat_ms
            )
        return now_ms - since_ms

    def requested_interval_ms(self) -> int:
        """Returns the idle heartbeat interval to request from an agent.

        Returns:
            0 to request none.
        """
        if self._budget is None:
            return 0
        return round(self._budget.heartbeat_interval_ms())

    def reset(self, agreed_interval_ms: float) -> None:
        """Restarts the schedule after a handshake.

        Args:
            agreed_interval_ms: Heartbeat interval while idle; 0 if none was
                agreed.
        """
        self._is_adaptive = self._budget is not None and agreed_interval_ms > 0
        self.note_received()
        self.note_sent()
        self._announced_interval_ms = None
        self.idle_heartbeat_ms = max(
            agreed_interval_ms, self._settings.heartbeat_ms
        )

    def note_received(self) -> None:
        """Records that a frame of the peer has arrived."""
        self.last_received_ms = self._clock.now_ms()
        self._expected_since_ms = None

    def note_sent(self) -> None:
        """Records that a frame has been sent to the peer."""
        self._last_sent_ms = self._clock.now_ms()

    def expect_frame(self) -> None:
        """Records that a live peer will send a frame soon."""
        if self._expected_since_ms is None:
            self._expected_since_ms = self._clock.now_ms()

    def is_silent(self) -> bool:
        """Returns whether the peer has been silent for too long.

        With a long interval, the time counts only from when a frame is
        expected of the peer, after a heartbeat or a call.
        """
        return self.silent_ms >= self._settings.silence_ms

    def uses_long_interval(self, *, is_busy: bool) -> bool:
        """Returns whether the long heartbeat interval applies now.

        Args:
            is_busy: Whether calls are in flight.
        """
        return self._is_adaptive and self.has_long_interval and not is_busy

    def make_heartbeat(self, *, is_busy: bool) -> messages.Heartbeat:
        """Returns a heartbeat to send now.

        Args:
            is_busy: Whether calls are in flight, or a caller waits for the
                reply to this heartbeat.
        """
        self.expect_frame()
        if self._budget is None:
            return messages.Heartbeat()
        if is_busy:
            # heartbeats of idle connections have their own share of the budget
            self._budget.spend(1, byte_budget.HEARTBEAT_BYTES)
            return messages.Heartbeat()
        return messages.Heartbeat(self._announce_interval())

    def _announce_interval(self) -> int:
        interval_ms = self.requested_interval_ms()
        if not self._is_adaptive or interval_ms == self.idle_heartbeat_ms:
            return 0
        self._announced_interval_ms = interval_ms
        return interval_ms

    def apply_announced(self) -> None:
        """Applies the announced interval, once the peer has replied."""
        if self._announced_interval_ms is not None:
            self.idle_heartbeat_ms = self._announced_interval_ms
            self._announced_interval_ms = None

    def until_heartbeat_ms(self) -> float:
        """Returns the time until an idle connection needs a heartbeat."""
        earlier_ms = min(self.last_received_ms, self._last_sent_ms)
        return max(
            0.0, earlier_ms + self.idle_heartbeat_ms - self._clock.now_ms()
        )

    def is_heartbeat_due(self, *, is_busy: bool) -> bool:
        """Returns whether to send a heartbeat now.

        While frames of the peer arrive, a heartbeat is needed only so that
        the peer doesn't take this process for silent.

        Args:
            is_busy: Whether calls are in flight.
        """
        now_ms = self._clock.now_ms()
        interval_ms = self.idle_heartbeat_ms
        if is_busy or self._expected_since_ms is not None:
            interval_ms = self._settings.heartbeat_ms
        max_send_gap_ms = self._settings.silence_ms / 2
        if not is_busy:
            max_send_gap_ms = max(max_send_gap_ms, self.idle_heartbeat_ms)
        silent_since_ms = self.last_received_ms
        if self.has_long_interval and self._expected_since_ms is not None:
            # the frame sent at that time makes the peer reply by itself
            silent_since_ms = max(silent_since_ms, self._expected_since_ms)
        is_quiet = now_ms - silent_since_ms >= interval_ms
        return is_quiet or now_ms - self._last_sent_ms >= max_send_gap_ms


__all__ = ["HeartbeatSchedule"]
