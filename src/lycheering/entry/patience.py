"""How long an attempt waits for an agent that says nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.entry import endings
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.entry import target_access
    from lycheering.fleet import records
    from lycheering.wire import client

POLL_MS = 250.0
ACCEPT_POLL_MS = 100.0
RENEW_POLLS = 2
MAX_ACCEPT_POLLS = 3
RECONNECT_MS = 500.0
BOUND_RECONNECT_MS = 5_000.0  # while no other target could go on


class Patience:
    """Gives up an agent that stands still or is gone.

    Attributes:
        accepted: Whether the agent has taken the request.
        started: Whether the answer has begun.
    """

    def __init__(
        self,
        targets: target_access.Targets,
        target: records.Target,
        *,
        is_order: bool,
    ) -> None:
        """Begins to wait for an agent.

        Args:
            targets: What attempts know of the targets.
            target: The agent's target.
            is_order: Whether the request may run once only, so that it is
                not tried elsewhere.
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
        """How long to wait for the next event before a check."""
        waits = self.accepted and not self._renewed
        return POLL_MS if waits else ACCEPT_POLL_MS

    def heard(self) -> None:
        """Learns that an event came."""
        self._lost_since_ms = None

    def reconnected(self) -> None:
        """Learns that the agent answers on another connection."""
        self._polls = 0

    def check(self, connection: client.Connection, *, bound: bool) -> None:
        """Goes on waiting, or gives the agent up.

        Args:
            connection: The connection to the agent.
            bound: Whether only this target can go on with the answer.

        Raises:
            BrokenError: If the request is better tried elsewhere.
        """
        if not self.started:
            self._check_moving(connection)
        self._check_alive(connection, bound=bound)

    def _check_moving(self, connection: client.Connection) -> None:
        """Gives up an agent that stands still before the answer began.

        A silent connection is replaced first: the agent then tells whether
        the request reached it.
        """
        # counted in polls, as a pause of this process makes up only one
        self._polls += 1
        suspect = connection.silent_ms >= self._targets.suspect_ms
        if not self.accepted and not self._is_order:
            waited_ms = self._polls * ACCEPT_POLL_MS
            suspect = (
                self._polls >= RENEW_POLLS and connection.silent_ms >= waited_ms
            )
        if suspect and not self._renewed:
            self._renewed = True
            connection.renew()
            return
        if self._is_order:
            return
        silent = messages.Reason.SILENT
        if not self.accepted and self._polls >= MAX_ACCEPT_POLLS:
            raise endings.BrokenError(silent, "not accepted in time")
        if self.accepted and suspect:
            raise endings.BrokenError(silent, "silent before the answer began")

    def _check_alive(
        self, connection: client.Connection, *, bound: bool
    ) -> None:
        if connection.connected:
            self._lost_since_ms = None
            return
        now_ms = self._targets.clock.now_ms()
        if self._lost_since_ms is None:
            self._lost_since_ms = now_ms
        target = self._target
        known = self._targets.view.fleet.target_by_name.get(target.name)
        restarted = known is None or (
            known.agent_incarnation != target.agent_incarnation
        )
        patience_ms = BOUND_RECONNECT_MS if bound else RECONNECT_MS
        if restarted or now_ms - self._lost_since_ms >= patience_ms:
            raise endings.BrokenError(
                messages.Reason.UNREACHABLE, f"{target.name}: connection lost"
            )


__all__ = ["Patience"]
