"""Assembles and runs an agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import zmq.asyncio

from lycheering import clock as clocks
from lycheering.agent import context as contexts
from lycheering.agent import control_link
from lycheering.agent import drain_watch
from lycheering.agent import kv_transfer
from lycheering.agent import leave_export
from lycheering.agent import order_registry
from lycheering.agent import peer_departures
from lycheering.agent import sessions
from lycheering.agent import target_orders
from lycheering.agent import target_state
from lycheering.app import api as app_api
from lycheering.cache import block_index
from lycheering.cache import cached_levels
from lycheering.cache import eviction_age as eviction_ages
from lycheering.cache import index_sync
from lycheering.cache import piece_uses
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.fleet import view_holder
from lycheering.limits import admission
from lycheering.limits import cost_model
from lycheering.limits import prefix_width
from lycheering.limits import target_rate
from lycheering.targets import engine
from lycheering.targets import kv_store_client
from lycheering.targets import service
from lycheering.telemetry import counters as counting
from lycheering.telemetry import logs
from lycheering.wire import api as wire_api
from lycheering.wire import link_factory
from lycheering.wire import messages
from lycheering.wire import pool as pools
from lycheering.wire import server as servers

if TYPE_CHECKING:
    from lycheering.settings import model


SOCKET_LINGER_MS = 200


class TransportOwner(app_api.Part):
    """Closes the sockets and security context after all other parts."""

    def __init__(self, link: wire_api.Link) -> None:
        self._link = link

    async def start(self) -> None:
        """Does nothing; there is nothing to start."""

    async def stop(self) -> None:
        """Closes all sockets after a short time to flush the last frames."""
        self._link.security.close()
        self._link.context.destroy(linger=SOCKET_LINGER_MS)


class LoadReporter:
    """Creates the load reports of one agent."""

    def __init__(self, context: contexts.Context) -> None:
        self._context = context

    def report(self) -> messages.LoadReport:
        """Returns the present load."""
        context = self._context
        admission_queue = context.admission
        return messages.LoadReport(
            running=admission_queue.running_count,
            queued=len(admission_queue.queue),
            slots=admission_queue.limits.max_running,
            queue_ms=admission_queue.backlog_ms(),
            piece_ms=context.cost_model.piece_ms if context.is_engine else 0.0,
            draining=admission_queue.is_draining or not context.state.is_up,
            use=admission_queue.utilization(),
        )


def _subject(
    settings: model.Settings, agent: model.AgentSettings
) -> view.Subject:
    return view.Subject(
        target=agent.target,
        service=agent.service,
        model=agent.model,
        failure_domain=settings.instance.failure_domain,
    )


def _make_link(
    settings: model.Settings,
    agent: model.AgentSettings,
    clock: clocks.Clock,
    holder: view_holder.ViewHolder,
    counters: counting.Counters,
) -> wire_api.Link:
    return link_factory.make_link(
        settings,
        agent.target,
        messages.Role.AGENT,
        zmq.asyncio.Context(),
        clock,
        holder,
        counters,
    )


def build(settings: model.Settings) -> app_api.Application:
    """Returns an agent that is ready to be run.

    Args:
        settings: The settings; they need an agent section.

    Raises:
        ValueError: If the agent section is missing.
    """
    agent = settings.agent
    if agent is None:
        raise ValueError("the settings have no agent section")
    clock = clocks.Clock()
    counters = counting.Counters(settings.metrics)
    holder = view_holder.ViewHolder(with_teams=False)
    link = _make_link(settings, agent, clock, holder, counters)
    state = target_state.TargetState(agent, clock)
    eviction_age = eviction_ages.EvictionAge(clock)
    index = block_index.BlockIndex(eviction_age)
    driver: engine.EngineDriver | service.ServiceDriver
    application = app_api.Application(settings.instance.drain_timeout_ms)
    application.add(TransportOwner(link))
    if agent.kind == records.TargetKind.ENGINE.value:
        driver = engine.EngineDriver(agent, settings.wire)
        application.add(
            index_sync.IndexSynchronizer(driver, index, clock, counters)
        )
    else:
        driver = service.ServiceDriver(agent, settings.wire)
    transfer = None
    if agent.kv_store_url and agent.kind == records.TargetKind.ENGINE.value:
        transfer = kv_transfer.KvTransfer(
            kv_store_client.HttpKvStoreClient(agent, settings.wire), clock
        )
        application.add(transfer)
    subject = _subject(settings, agent)
    context = contexts.Context(
        agent,
        settings.wire,
        subject,
        clock,
        counters,
        holder,
        driver,
        state,
        index,
        eviction_age,
        piece_uses.PieceUseCounter(clock),
        cached_levels.CachedLevels(index, clock),
        cost_model.CostModel(),
        admission.TargetAdmission(clock),
        target_rate.TargetRate(
            agent.target, target_rate.FleetShare(entry_count=1)
        ),
        order_registry.OrderRegistry(clock, 0.0),
        prefix_width.PrefixWidthController(clock),
        peer_departures.PeerDepartures(holder, clock, subject),
        transfer,
    )
    _add_parts(settings, application, context, link)
    return application


def _add_parts(
    settings: model.Settings,
    application: app_api.Application,
    context: contexts.Context,
    link: wire_api.Link,
) -> None:
    load = LoadReporter(context).report
    order_executor = target_orders.TargetOrderExecutor(context)
    handler = sessions.AgentSessions(
        context, order_executor, settings.instance.drain_timeout_ms
    )
    pool = pools.ConnectionPool(link)
    server = servers.Server(link, settings.instance.ip, handler, load)
    export = None
    if context.kv_transfer is not None:
        export = leave_export.LeaveExport(context, context.kv_transfer)
        application.add(export)
        context.holder.listen(context.peer_departures.apply_view)
    watch = drain_watch.DrainWatch(
        context,
        link.identity,
        application.stop_requested,
        handler.begin_drain,
        export,
    )
    context.refresh_limits()
    context.holder.listen(watch.apply_view)
    context.holder.listen(server.push_view)
    poll_ms = context.settings.load_poll_ms
    application.add(
        target_state.TargetMonitor(
            context.driver, context.state, context.clock, poll_ms
        )
    )
    application.add(pool)
    application.add(handler)
    application.add(server)
    application.add(
        control_link.ControlLink(settings, context, pool, server, load)
    )
    # parts drain in reverse order, so the last one added drains first
    application.add(watch)


def main(settings: model.Settings) -> None:
    """Runs an agent until it is asked to stop."""
    agent = settings.agent
    name = agent.target if agent is not None else settings.instance.name
    logs.install("agent", name, settings.log.level)
    asyncio.run(build(settings).run())


__all__ = ["TransportOwner", "LoadReporter", "build", "main"]
