"""Assembles a control instance."""

from __future__ import annotations

import zmq.asyncio

from lycheering import clock
from lycheering.app import api as app_api
from lycheering.control import fleet_status
from lycheering.control import handler
from lycheering.control import leader_reachability
from lycheering.control import log_failure
from lycheering.control import operator_http
from lycheering.control import operator_reads
from lycheering.control import operator_writes
from lycheering.control import order_handler
from lycheering.control import publisher
from lycheering.control import registrations
from lycheering.control import replica
from lycheering.control import target_membership
from lycheering.control import target_orders
from lycheering.control import transport
from lycheering.control.direct import api as direct_api
from lycheering.control.direct import group_membership
from lycheering.control.direct import load_aggregator
from lycheering.control.direct import membership_plan
from lycheering.control.direct import rollout_plan
from lycheering.control.direct import route_admin
from lycheering.control.direct import store_watcher
from lycheering.control.direct import target_list_poller
from lycheering.control.direct import team_allowances
from lycheering.control.direct import weights_rollout
from lycheering.limits import allowance_terms
from lycheering.membership import watcher
from lycheering.orders import order_reconciler
from lycheering.replication import members
from lycheering.settings import model
from lycheering.telemetry import counters
from lycheering.telemetry import histograms
from lycheering.telemetry import metrics
from lycheering.web import head_limits
from lycheering.web import held_bytes
from lycheering.web import server as web_server
from lycheering.wire import api as wire_api
from lycheering.wire import link_factory
from lycheering.wire import messages
from lycheering.wire import pool
from lycheering.wire import server
from lycheering.wire import sockets

# a voter that is silent for longer counts as lost
MAX_SILENT_ELECTION_TIMEOUTS = 2
# an election takes less than this
REMOVAL_DOUBT_ELECTION_TIMEOUTS = 3


class _HandlerPart(app_api.Part):
    """Cancels the open calls of peers when the instance stops."""

    def __init__(self, calls: handler.ControlHandler) -> None:
        self._calls = calls

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Cancels all open calls."""
        await self._calls.stop()


class _ContextPart(app_api.Part):
    """Closes the keys and the ZeroMQ context after all their users."""

    def __init__(
        self, context: zmq.asyncio.Context, keys: wire_api.Security
    ) -> None:
        self._context = context
        self._keys = keys

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Closes the keys, the context and any socket left open in it."""
        self._keys.close()
        self._context.destroy(linger=0)


class ControlDaemon:
    """A control instance with all its parts.

    Attributes:
        application: Starts and stops the parts.
        group: The replicated log and its state machine.
        listener: The server that peers connect to.
        web: The HTTP server that operators connect to.
    """

    def __init__(
        self,
        settings: model.Settings,
        direct: direct_api.DirectAdapter | None = None,
    ) -> None:
        """Creates the parts.

        Args:
            settings: The instance's settings.
            direct: The adapter of a deployment without agents, if it is one.
        """
        assert settings.log_store is not None
        self._settings = settings
        self._store_settings = settings.log_store
        self._clock = clock.Clock()
        self._counters = counters.Counters(settings.metrics)
        self._held = held_bytes.from_settings(
            settings.web, self._counters, self._clock
        )
        self._context = sockets.new_context()
        self.application = app_api.Application(
            settings.instance.drain_timeout_ms
        )
        self._build_log()
        self._build_wire()
        self._build_leader_tasks()
        self._build_web()
        self._direct_parts: list[app_api.Part] = []
        if direct is not None:
            assert settings.direct is not None
            self._build_direct(settings.direct, direct)
        self._add_parts()

    def _build_log(self) -> None:
        settings = self._settings
        machine = replica.ReplicatedMachine()
        self._link = link_factory.make_link(
            settings,
            settings.instance.name,
            messages.Role.CONTROL,
            self._context,
            self._clock,
            publisher.ReplicatedView(machine),
            self._counters,
        )
        self._connections = pool.ConnectionPool(self._link)
        self._transport = transport.WireTransport(
            self._connections, settings.control_peers()
        )
        self.group = replica.Replica(
            settings,
            machine,
            self._transport,
            self._clock,
            lambda: self.listener.port,
            self._has_recent_message,
        )

    def _has_recent_message(self, name: str) -> bool:
        timeout_ms = self._store_settings.election_timeout_ms
        return self._status.has_recent_message(name, timeout_ms)

    def _build_wire(self) -> None:
        self._status = fleet_status.FleetStatus(
            self.group, self._link, self._connections
        )
        self._order_reconciler = order_reconciler.OrderReconciler(
            order_handler.ReplicatedOrderLedger(self.group, self._clock),
            order_handler.WireInquirer(self.group, self._connections),
            self._clock,
            self._counters,
        )
        self._registrations = registrations.RegistrationBatcher(
            self.group, self._clock, self._counters
        )
        self._handler = handler.ControlHandler(
            self.group,
            order_handler.OrderHandler(
                self.group, self._order_reconciler, self._clock
            ),
            self._registrations,
            self._status,
            self._counters,
            self._clock,
        )
        self.listener = server.Server(
            self._link, self._settings.instance.ip, self._handler
        )
        self._status.set_server(self.listener)

    def _build_leader_tasks(self) -> None:
        self._publisher = publisher.ViewPublisher(
            self.group.machine, self.listener, self._clock
        )
        self._watcher = watcher.MembershipWatcher(
            target_membership.ReplicatedMembership(self.group, self._status),
            self._store_settings,
            self._clock,
            self._counters,
        )
        self._target_orders = target_orders.TargetOrdersTask(
            self.group,
            self._status,
            self._connections,
            self._clock,
            self._counters,
        )

        self._leader_reachability = leader_reachability.LeaderReachability(
            self.group,
            self._transport,
            self._status,
            self._clock,
            self._counters,
        )

    def _build_web(self) -> None:
        reads = operator_reads.OperatorReads(
            self.group,
            self._status,
            self._clock,
            self._counters,
            self._connections,
            self._settings.instance.name,
        )
        writes = operator_writes.OperatorWrites(self.group, reads, self._clock)
        endpoint = operator_http.OperatorEndpoint(
            reads,
            writes,
            operator_http.load_keys(self._store_settings.operator_key_file),
            self._counters,
        )
        self.web = web_server.WebServer(
            endpoint.application,
            self._settings.instance.ip,
            self._store_settings.operator_port,
            head_limits.HeadLimits(max_body_bytes=operator_http.MAX_BODY_BYTES),
            self._held,
        )

    def _build_direct(
        self, settings: model.DirectSettings, direct: direct_api.DirectAdapter
    ) -> None:
        instance = self._settings.instance
        peers = [
            members.PeerAddress(peer.instance, f"{peer.ip}:{peer.port}")
            for peer in self._settings.control_peers()
        ]
        own = members.PeerAddress(
            instance.name, f"{instance.ip}:{self._settings.wire.port}"
        )
        self.group_membership = group_membership.GroupMembership(
            self.group,
            self._transport,
            tuple(peers),
            own,
            self._membership_policy(settings, len(peers)),
            self._clock,
            self._counters,
        )
        self._handler.group_membership = self.group_membership
        aggregator = load_aggregator.LoadAggregator(self._clock)
        self._handler.load_aggregator = aggregator
        self._handler.allowances = team_allowances.TeamAllowances(
            self.group.machine,
            allowance_terms.AllowanceRule(
                settings.quota_window_s,
                settings.quota_over,
                settings.quota_slack,
            ),
            self._clock,
            self._counters,
        )
        self._direct_parts = [
            self.group_membership,
            *self._target_parts(settings, direct, aggregator),
            *self._direct_endpoints(settings, direct),
        ]

    def _membership_policy(
        self, settings: model.DirectSettings, founders: int
    ) -> membership_plan.MembershipPolicy:
        timeout_ms = self._store_settings.election_timeout_ms
        losses = dict(settings.tolerated_losses)
        tolerated_members = losses.pop(model.LOST_MEMBERS, 0)
        wanted = max(founders, 2 * tolerated_members + 1)
        if any(losses.values()):
            # the loss of a group of instances, as of a failure domain, may
            # take several voters
            wanted = membership_plan.MAX_VOTERS
        return membership_plan.MembershipPolicy(
            wanted,
            MAX_SILENT_ELECTION_TIMEOUTS * timeout_ms,
            REMOVAL_DOUBT_ELECTION_TIMEOUTS * timeout_ms,
        )

    def _target_parts(
        self,
        settings: model.DirectSettings,
        direct: direct_api.DirectAdapter,
        aggregator: load_aggregator.LoadAggregator,
    ) -> list[app_api.Part]:
        """Returns the parts that reconcile targets, stores and weights."""
        rollout_settings = weights_rollout.RolloutSettings(
            plan=rollout_plan.RolloutPlanSettings(
                max_engines=settings.loads_at_once,
                max_outdated_ms=settings.old_weights_ms,
            ),
            hold_ms=settings.hold_ms,
            lease_ms=settings.order_lease_ms,
        )
        return [
            target_list_poller.TargetListPoller(
                self.group,
                direct.targets,
                settings.list_poll_ms,
                self._clock,
                self._counters,
                aggregator.streams.observe,
            ),
            store_watcher.StoreWatcher(
                self.group, direct.stores, self._clock, self._counters
            ),
            weights_rollout.WeightsRollout(
                self.group,
                direct.engines,
                rollout_settings,
                aggregator,
                self._settings.instance.name,
                self._clock,
                self._counters,
            ),
        ]

    def _direct_endpoints(
        self, settings: model.DirectSettings, direct: direct_api.DirectAdapter
    ) -> list[app_api.Part]:
        """Returns the HTTP endpoints for operators and for metrics."""
        ip, port = model.split_address(settings.operator_address)
        admin = route_admin.RouteAdmin(self.group, self._clock)
        return [
            web_server.WebServer(
                direct.create_operator_app(admin),
                ip,
                port,
                # a larger document can't be passed to the other instances
                head_limits.HeadLimits(
                    max_body_bytes=self._settings.wire.max_frame_bytes
                ),
                self._held,
            ),
            metrics.MetricsServer(
                self._settings.instance.ip,
                settings.metrics_port,
                histograms.Histograms(self._counters),
                self._held,
            ),
        ]

    def _add_parts(self) -> None:
        parts: list[app_api.Part] = [
            _ContextPart(self._context, self._link.security),
            self._connections,
            self.listener,
            # the group starts once the port is known and stops before it closes
            self.group,
            _HandlerPart(self._handler),
            self._publisher,
            self._registrations,
            self._order_reconciler,
            self._watcher,
            self._target_orders,
            self._leader_reachability,
            self.web,
            *self._direct_parts,
            log_failure.LogFailureWatch(
                self.group, self.application, self._clock
            ),
        ]
        for part in parts:
            self.application.add(part)


def build(settings: model.Settings) -> app_api.Application:
    """Returns the application of a control instance.

    Args:
        settings: The instance's settings, with a `log_store` section.
    """
    return ControlDaemon(settings).application


__all__ = ["ControlDaemon", "build"]
