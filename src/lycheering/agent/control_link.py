"""Registers an agent with control and sends it reports."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from lycheering.app import api as app_api
from lycheering.fleet import records
from lycheering.telemetry import logs
from lycheering.wire import control_selector
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.agent import context as contexts
    from lycheering.settings import model
    from lycheering.wire import api as wire_api
    from lycheering.wire import client
    from lycheering.wire import pool as pools
    from lycheering.wire import server as servers

REPORT_INTERVAL_MS = 2_000
VIEW_SETTLE_MS = 5_000
FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2_000
DEREGISTER_ATTEMPTS = 6
DEREGISTER_TIMEOUT_SHARE = 0.25  # of the drain timeout

_NO_LOAD = messages.LoadReport()
_LOG = logs.get("control_link")


class ControlLink(app_api.Part):
    """Keeps the agent registered at one control instance.

    The fleet view arrives over the same connection.
    """

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
        self._control_selector = control_selector.ControlSelector(
            settings.control.members, context.settings.target, context.clock
        )
        self._registered_ms = 0.0
        self._report_number = 0
        self._numbered_report: messages.TargetReport | None = None
        self._last_control_name = ""

    async def start(self) -> None:
        """Starts to register and report in the background."""
        self._tasks.spawn_with_restarts(self._run, "agent:control")

    async def drain(self) -> None:
        """Deregisters the target from control."""
        await self._tasks.cancel_all()
        limit_ms = (
            DEREGISTER_TIMEOUT_SHARE * self._settings.instance.drain_timeout_ms
        )
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                deregistered = await self._deregister()
        except TimeoutError:
            deregistered = False
        if not deregistered:
            _LOG.warning("deregister_failed")

    async def _deregister(self) -> bool:
        identity = self._server.link.identity
        message = messages.Deregister(identity.name, identity.incarnation)
        for _ in range(DEREGISTER_ATTEMPTS):
            if await self._call_control(message) is not None:
                return True
            await self._context.clock.sleep(FIRST_BACKOFF_MS)
        return False

    async def stop(self) -> None:
        """Stops registering and reporting."""
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
        reply = await self._call_control(
            messages.Register(self._create_target())
        )
        if not isinstance(reply, messages.Registered):
            return False
        self._context.order_registry.set_highest_fence(reply.highest_fence)
        self._registered_ms = self._context.clock.now_ms()
        _LOG.event(
            "registered",
            control=self._control_selector.address.name,
            highest_fence=reply.highest_fence,
        )
        return True

    async def _call_control(
        self, message: messages.Message
    ) -> messages.Message | None:
        try:
            return await self._pool.get(self._control_selector.address).call(
                message
            )
        except errors.CallFailedError as error:
            _LOG.debug("control_refused", reason=error.failure.reason)
            leader = self._control_selector.find_address(error.failure.leader)
            if error.failure.reason == messages.Reason.NOT_LEADER and leader:
                reply = await self._call_leader(leader, message)
                if reply is not None:
                    return reply
        except errors.WireError as error:
            _LOG.debug("control_unreachable", error=repr(error))
        self._control_selector.select_next()
        return None

    async def _call_leader(
        self, leader: wire_api.Address, message: messages.Message
    ) -> messages.Message | None:
        try:
            return await self._pool.get(leader).call(message)
        except errors.WireError as error:
            _LOG.debug("leader_unreachable", error=repr(error))
        return None

    async def _report_until_lost(self) -> None:
        settings = self._settings.wire
        interval_ms = max(REPORT_INTERVAL_MS, settings.control_heartbeat_ms)
        reported_state = None
        reported_ms = 0.0
        while self._is_registered_in_view():
            connection = self._pool.get(self._control_selector.address)
            report = self._create_report()
            state = msgspec.structs.replace(report, load=_NO_LOAD)
            now_ms = self._context.clock.now_ms()
            is_due = (
                state != reported_state or now_ms - reported_ms >= interval_ms
            )
            try:
                await connection.wait_ready(0)
                if is_due:
                    self._send(connection, report)
                    reported_state, reported_ms = state, now_ms
            except errors.PeerUnreachableError:
                self._control_selector.select_next()
                return
            await self._context.clock.sleep(REPORT_INTERVAL_MS)
            self._return_to_preferred()

    def _send(
        self, connection: client.Connection, report: messages.TargetReport
    ) -> None:
        state = msgspec.structs.replace(report, load=_NO_LOAD)
        control_name = connection.address.name
        if (
            state != self._numbered_report
            or control_name != self._last_control_name
        ):
            self._report_number += 1
            self._numbered_report = state
            self._last_control_name = control_name
        connection.send(
            msgspec.structs.replace(report, number=self._report_number)
        )

    def _return_to_preferred(self) -> None:
        """Switches back to the preferred instance once it is connected."""
        preferred = self._control_selector.find_return_address()
        if preferred is not None and self._pool.get(preferred).is_connected:
            self._control_selector.select_preferred()

    def _is_registered_in_view(self) -> bool:
        identity = self._server.link.identity
        now_ms = self._context.clock.now_ms()
        if now_ms - self._registered_ms < VIEW_SETTLE_MS:
            return True
        own_target = self._context.holder.fleet.target_by_name.get(
            identity.name
        )
        return (
            own_target is not None
            and own_target.agent_incarnation == identity.incarnation
            and own_target.state is not records.TargetState.GONE
        )

    def _create_target(self) -> records.Target:
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

    def _create_report(self) -> messages.TargetReport:
        state = self._context.state
        identity = self._server.link.identity
        return messages.TargetReport(
            identity.name,
            identity.incarnation,
            state.incarnation if state.is_up else "",
            state.weights_version,
            state.adapters,
            state.role,
            self._load(),
            state.loading_version or state.reported_loading,
        )


__all__ = ["REPORT_INTERVAL_MS", "ControlLink"]
