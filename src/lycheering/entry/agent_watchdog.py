"""Limits how long an attempt waits for a silent agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.entry import attempt_errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.entry import target_access
    from lycheering.fleet import records
    from lycheering.wire import client

POLL_MS = 250.0
ACCEPT_POLL_MS = 100.0
POLLS_BEFORE_RENEWAL = 2
MAX_ACCEPT_POLLS = 3
RECONNECT_MS = 500.0
PINNED_RECONNECT_MS = 5_000.0  # if no other target can continue


class AgentWatchdog:
    """Ends an attempt whose agent makes no progress or is unreachable.

    Attributes:
        accepted: Whether the agent has accepted the request.
        started: Whether the answer has started.
    """

    def __init__(
        self,
        targets: target_access.TargetAccess,
        target: records.Target,
        *,
        is_order: bool,
    ) -> None:
        """Starts to watch an agent.

        Args:
            targets: The access to targets.
            target: The agent's target.
            is_order: Whether the request may run only once, so that it must
                not be retried on another target.
        """
        self.accepted = False
        self.started = False
        self._targets = targets
        self._target = target
        self._is_order = is_order
        self._polls = 0
        self._renewed = False
        self._lost_since_ms: float | None = None

    @property
    def poll_ms(self) -> float:
        """The time to wait for the next event before a check."""
        can_poll_slowly = self.accepted and not self._renewed
        return POLL_MS if can_poll_slowly else ACCEPT_POLL_MS

    def record_event(self) -> None:
        """Records that an event arrived."""
        self._lost_since_ms = None

    def record_reconnect(self) -> None:
        """Records that the agent replies on a new connection."""
        self._polls = 0

    def check(self, connection: client.Connection, *, is_pinned: bool) -> None:
        """Raises an error if it is no longer worth waiting for the agent.

        Args:
            connection: The connection to the agent.
            is_pinned: Whether only this target can continue the answer.

        Raises:
            BrokenError: If the request should be retried on another target.
        """
        if not self.started:
            self._check_progress(connection)
        self._check_connection(connection, is_pinned=is_pinned)

    def _check_progress(self, connection: client.Connection) -> None:
        """Raises an error if the agent is stuck before the answer starts.

        A silent connection is replaced first, as the agent reports on the
        new one whether it has received the request.
        """
        # counts polls instead of time, so that a pause of this process is not
        # taken for silence of the agent
        self._polls += 1
        suspect = connection.silent_ms >= self._targets.max_silence_ms
        if not self.accepted and not self._is_order:
            waited_ms = self._polls * ACCEPT_POLL_MS
            suspect = (
                self._polls >= POLLS_BEFORE_RENEWAL
                and connection.silent_ms >= waited_ms
            )
        if suspect and not self._renewed:
            self._renewed = True
            connection.reconnect()
            return
        if self._is_order:
            return
        silent = messages.Reason.SILENT
        if not self.accepted and self._polls >= MAX_ACCEPT_POLLS:
            raise attempt_errors.BrokenError(
                silent, "the agent did not accept the request in time"
            )
        if self.accepted and suspect:
            raise attempt_errors.BrokenError(
                silent, "the agent was silent before the answer started"
            )

    def _check_connection(
        self, connection: client.Connection, *, is_pinned: bool
    ) -> None:
        if connection.is_connected:
            self._lost_since_ms = None
            return
        now_ms = self._targets.clock.now_ms()
        if self._lost_since_ms is None:
            self._lost_since_ms = now_ms
        target = self._target
        registered = self._targets.view.fleet.target_by_name.get(target.name)
        is_gone = registered is None or (
            registered.agent_incarnation != target.agent_incarnation
        )
        timeout_ms = PINNED_RECONNECT_MS if is_pinned else RECONNECT_MS
        if is_gone or now_ms - self._lost_since_ms >= timeout_ms:
            raise attempt_errors.BrokenError(
                messages.Reason.UNREACHABLE,
                f"{target.name}: the connection was lost",
            )


__all__ = ["AgentWatchdog"]
