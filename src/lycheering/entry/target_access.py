"""Gives attempts access to targets through connections to their agents."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.wire import api as wire_api
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.fleet import view_holder
    from lycheering.retries import circuit_breaker
    from lycheering.retries import crash_ledger
    from lycheering.retries import prompt_quarantine
    from lycheering.routing import router as routers
    from lycheering.telemetry import counters
    from lycheering.wire import byte_budget
    from lycheering.wire import client
    from lycheering.wire import pool as wire_pool

CONNECT_TIMEOUT_MS = 500.0
PROBE_TIMEOUT_MS = 200.0


class NotRunError(Exception):
    """The target did not run the request in this attempt, and won't.

    Attributes:
        reason: Why.
        retry_after_ms: Time until the agent expects to accept the request.
    """

    def __init__(
        self, reason: messages.Reason, detail: str, retry_after_ms: float = 0.0
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class LostFrameError(NotRunError):
    """The request was lost on its way, but the agent is reachable again."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            messages.Reason.UNREACHABLE,
            detail or "the request was lost on its way",
        )


@dataclasses.dataclass(frozen=True)
class TargetAccess:
    """The state that attempts need to reach targets.

    Attributes:
        clock: The process's clock.
        view: The current fleet view.
        router: Chooses targets, and learns from their answers.
        connections: The connections to agents.
        budget: Limits the bytes sent to agents besides requests.
        circuit_breakers: The circuit breakers of failing targets.
        crashes: Evidence of crashes of targets.
        quarantine: The prompt parts that crash targets.
        counters: The process's counters.
        max_silence_ms: Silence in ms after which an agent gets no new request.
    """

    clock: clock.Clock
    view: view_holder.ViewHolder
    router: routers.Router
    connections: wire_pool.ConnectionPool
    budget: byte_budget.ByteBudget
    circuit_breakers: circuit_breaker.CircuitBreakers
    crashes: crash_ledger.CrashLedger
    quarantine: prompt_quarantine.PromptQuarantine
    counters: counters.Counters
    max_silence_ms: float

    def is_usable(self, name: str) -> bool:
        """Returns whether a target can be sent a request now."""
        if not self.circuit_breakers.is_usable(name):
            return False
        if self.router.target_loads.is_draining(name):
            return False
        target = self.view.fleet.target_by_name.get(name)
        if target is None:
            return False
        address = wire_api.agent_address(target)
        connection = self.connections.find(address)
        if connection is None:
            return True
        if connection.is_connected:
            return connection.silent_ms < self.max_silence_ms
        # a connection that was never up may still come up, but one that was
        # lost means that the agent is unreachable for now
        return not connection.peer_incarnation

    async def connect(
        self,
        decision: routers.RoutingDecision,
        timeout_ms: float = CONNECT_TIMEOUT_MS,
    ) -> client.Connection:
        """Returns a live connection to the agent of a chosen target.

        A connection that was idle for long is probed first, and replaced if
        the agent does not reply.

        Raises:
            NotRunError: If the agent can't be reached within the timeout.
        """
        target = decision.target
        address = wire_api.agent_address(target)
        connection = self.connections.get(address)
        try:
            await connection.wait_ready(timeout_ms)
            await connection.probe(min(PROBE_TIMEOUT_MS, timeout_ms))
            await connection.wait_ready(timeout_ms)
        except errors.PeerUnreachableError as error:
            raise NotRunError(
                messages.Reason.UNREACHABLE,
                f"{target.name}: could not connect to the agent",
            ) from error
        return connection


__all__ = [
    "CONNECT_TIMEOUT_MS",
    "LostFrameError",
    "NotRunError",
    "TargetAccess",
]
