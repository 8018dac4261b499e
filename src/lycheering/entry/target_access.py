"""The targets as attempts reach them: through agents' connections."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.wire import api as wire_api
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.fleet import holder
    from lycheering.retries import circuit
    from lycheering.routing import router as routers
    from lycheering.telemetry import counters
    from lycheering.wire import byte_budget
    from lycheering.wire import client
    from lycheering.wire import pool as wire_pool

CONNECT_MS = 500.0
PROBE_MS = 200.0


class NotRunError(Exception):
    """The request did not reach the target in this attempt, and won't.

    Attributes:
        reason: Why.
        retry_after_ms: When the agent expects to take such a request.
    """

    def __init__(
        self, reason: messages.Reason, detail: str, retry_after_ms: float = 0.0
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class LostFrameError(NotRunError):
    """The request was lost on its way to an agent that answers again."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            messages.Reason.UNREACHABLE, detail or "lost on its way"
        )


@dataclasses.dataclass(frozen=True)
class Targets:
    """What attempts need to reach targets.

    Attributes:
        clock: The process's clock.
        view: The fleet view in force.
        router: Learns from what targets answer.
        connections: The connections to agents.
        budget: The bytes for agents besides requests.
        circuits: The failing targets.
        counters: The process's counters.
        suspect_ms: Silence after which an agent gets no new request.
    """

    clock: clock.Clock
    view: holder.ViewHolder
    router: routers.Router
    connections: wire_pool.ConnectionPool
    budget: byte_budget.ByteBudget
    circuits: circuit.Circuits
    counters: counters.Counters
    suspect_ms: float

    def usable(self, name: str) -> bool:
        """Returns whether a target is worth a try now."""
        if not self.circuits.usable(name):
            return False
        if self.router.loads.draining(name):
            return False
        target = self.view.fleet.target_by_name.get(name)
        if target is None:
            return False
        address = wire_api.agent_address(target)
        connection = self.connections.known(address)
        if connection is None:
            return True
        if connection.connected:
            return connection.silent_ms < self.suspect_ms
        # a new connection may yet come up, a lost one is being replaced
        return not connection.peer_incarnation

    async def connect(
        self, choice: routers.Choice, timeout_ms: float = CONNECT_MS
    ) -> client.Connection:
        """Returns a live connection to the agent of a chosen target.

        One that was idle for long is first asked for a sign of life, and
        replaced if none comes.

        Raises:
            NotRunError: If there is none.
        """
        target = choice.target
        address = wire_api.agent_address(target)
        connection = self.connections.get(address)
        try:
            await connection.ready(timeout_ms)
            await connection.probe(min(PROBE_MS, timeout_ms))
            await connection.ready(timeout_ms)
        except errors.PeerUnreachableError as error:
            raise NotRunError(
                messages.Reason.UNREACHABLE, f"{target.name}: no connection"
            ) from error
        return connection


__all__ = ["CONNECT_MS", "LostFrameError", "NotRunError", "Targets"]
