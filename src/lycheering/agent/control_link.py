"""Registers an agent with control and reports to it."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.fleet import records
from lycheering.telemetry import logs
from lycheering.wire import api as wire_api
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.agent import context as contexts
    from lycheering.settings import model
    from lycheering.wire import pool as pools
    from lycheering.wire import server as servers

REPORT_INTERVAL_MS = 2_000
VIEW_SETTLE_MS = 5_000
FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2_000
DEREGISTER_TRIES = 6

_LOG = logs.get("control_link")


class ControlLink(app_api.Part):
    """Keeps one control connection, by which the fleet view comes too."""

    def __init__(
        self,
        settings: model.Settings,
        context: contexts.Context,
        pool: pools.ConnectionPool,
        server: servers.Server,
        load: Callable[[], messages.LoadReport],
    ) -> None:
        self._settings = settings
        self._context = context
        self._pool = pool
        self._server = server
        self._load = load
        self._tasks = app_api.TaskOwner()
        self._address_by_name = {
            member.instance: wire_api.Address(
                member.instance, member.ip, member.port
            )
            for member in settings.control.members
        }
        names = list(self._address_by_name)
        random.shuffle(names)
        self._turns = itertools.cycle(names)
        self._member = next(self._turns)
        self._registered_ms = 0.0

    async def start(self) -> None:
        """Begins to register."""
        self._tasks.spawn(self._run(), "agent:control")

    async def drain(self) -> None:
        """Tells control that the target is leaving."""
        await self._tasks.cancel_all()
        identity = self._server.link.identity
        message = messages.Deregister(identity.name, identity.incarnation)
        for _ in range(DEREGISTER_TRIES):
            if await self._ask(message) is not None:
                return
            await self._context.clock.sleep(FIRST_BACKOFF_MS)
        _LOG.warning("deregister_failed")

    async def stop(self) -> None:
        """Stops reporting."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        backoff_ms = float(FIRST_BACKOFF_MS)
        while True:
            if await self._register():
                backoff_ms = FIRST_BACKOFF_MS
                await self._report_until_lost()
            pause_ms = backoff_ms * random.uniform(0.5, 1.5)
            await self._context.clock.sleep(pause_ms)
            backoff_ms = min(MAX_BACKOFF_MS, backoff_ms * 2)

    async def _register(self) -> bool:
        reply = await self._ask(messages.Register(self._target()))
        if not isinstance(reply, messages.Registered):
            return False
        self._context.desk.registered(reply.highest_fence)
        self._registered_ms = self._context.clock.now_ms()
        _LOG.event(
            "registered",
            control=self._member,
            highest_fence=reply.highest_fence,
        )
        return True

    async def _ask(self, message: messages.Message) -> messages.Message | None:
        connection = self._pool.get(self._address_by_name[self._member])
        try:
            return await connection.call(message)
        except errors.CallFailedError as error:
            leader = error.failure.leader
            if leader in self._address_by_name and leader != self._member:
                self._member = leader
            else:
                self._member = next(self._turns)
            _LOG.debug("control_refused", reason=error.failure.reason)
        except errors.WireError as error:
            self._member = next(self._turns)
            _LOG.debug("control_unreachable", error=repr(error))
        return None

    async def _report_until_lost(self) -> None:
        while self._is_in_view():
            connection = self._pool.get(self._address_by_name[self._member])
            try:
                connection.send(self._report())
            except errors.PeerUnreachableError:
                self._member = next(self._turns)
                return
            await self._context.clock.sleep(REPORT_INTERVAL_MS)

    def _is_in_view(self) -> bool:
        identity = self._server.link.identity
        now_ms = self._context.clock.now_ms()
        if now_ms - self._registered_ms < VIEW_SETTLE_MS:
            return True
        known = self._context.holder.fleet.target_by_name.get(identity.name)
        return (
            known is not None
            and known.agent_incarnation == identity.incarnation
            and known.state is not records.TargetState.GONE
        )

    def _target(self) -> records.Target:
        agent = self._context.settings
        instance = self._settings.instance
        return records.Target(
            name=agent.target,
            kind=records.TargetKind(agent.kind),
            instance=instance.name,
            ip=instance.ip,
            port=self._settings.wire.advertised_port or self._server.port,
            agent_incarnation=self._server.link.identity.incarnation,
            failure_domain=instance.failure_domain,
            region=instance.region,
            model=agent.model,
            service=agent.service,
            slots=self._context.state.slots,
        )

    def _report(self) -> messages.TargetReport:
        state = self._context.state
        identity = self._server.link.identity
        return messages.TargetReport(
            identity.name,
            identity.incarnation,
            state.incarnation if state.up else "",
            state.weights_version,
            state.adapters,
            state.role,
            self._load(),
        )


__all__ = ["REPORT_INTERVAL_MS", "ControlLink"]
