"""The operators' read calls."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from lycheering.control import operator_errors
from lycheering.control import operator_items
from lycheering.fleet import options
from lycheering.operator import answers
from lycheering.operator import items
from lycheering.replication import errors
from lycheering.wire import api as wire_api
from lycheering.wire import errors as wire_errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import fleet_status
    from lycheering.control import replica
    from lycheering.fleet import view
    from lycheering.orders import records as order_records
    from lycheering.telemetry import counters
    from lycheering.wire import pool

COUNTERS_TIMEOUT_MS = 2_000
WAIT_POLL_MS = 200
MAX_WAIT_MS = 60_000

AnswerT = TypeVar("AnswerT", bound=answers.ReadAnswer)


class OperatorReads:
    """Reads the state; answers say whether a quorum confirmed it as current."""

    def __init__(
        self,
        group: replica.Replica,
        status: fleet_status.FleetStatus,
        time: clock.Clock,
        counts: counters.Counters,
        connections: pool.ConnectionPool,
        instance: str,
    ) -> None:
        self._group = group
        self._status = status
        self._clock = time
        self._counters = counts
        self._connections = connections
        self._instance = instance

    @property
    def _fleet(self) -> view.FleetView:
        return self._group.machine.fleet

    def _with_revisions(self, answer: AnswerT, is_current: bool) -> AnswerT:
        """Returns an answer with the revisions of the state that was read."""
        return msgspec.structs.replace(
            answer,
            current=is_current,
            config_revision=self._fleet.config_revision,
            view_revision=self._fleet.view_revision,
        )

    async def _is_current(self) -> bool:
        try:
            await self._group.wait_until_current()
        except errors.ReplicationError:
            return False
        return True

    async def defaults(self) -> answers.DefaultsAnswer:
        """Returns all options with their defaults."""
        is_current = await self._is_current()
        fleet = self._fleet
        item_list = [
            operator_items.default(fleet, name)
            for name in options.OPTION_BY_NAME
        ]
        answer = answers.DefaultsAnswer(defaults=tuple(item_list))
        return self._with_revisions(answer, is_current)

    async def exceptions(self) -> answers.ExceptionsAnswer:
        """Returns all exceptions."""
        is_current = await self._is_current()
        fleet = self._fleet
        found = fleet.exception_by_id.values()
        answer = answers.ExceptionsAnswer(
            exceptions=tuple(
                operator_items.exception(record) for record in found
            ),
        )
        return self._with_revisions(answer, is_current)

    async def teams(self) -> answers.TeamsAnswer:
        """Returns all teams, without their keys."""
        is_current = await self._is_current()
        fleet = self._fleet
        item_list = [
            items.TeamItem(team.name, len(team.key_digests))
            for team in fleet.team_by_name.values()
        ]
        answer = answers.TeamsAnswer(teams=tuple(item_list))
        return self._with_revisions(answer, is_current)

    async def history(self, limit: int) -> answers.HistoryAnswer:
        """Returns the newest accepted changes, newest first."""
        is_current = await self._is_current()
        newest = reversed(self._group.machine.history.entries)
        item_list = [
            operator_items.change(entry)
            for entry in itertools.islice(newest, limit)
        ]
        answer = answers.HistoryAnswer(changes=tuple(item_list))
        return self._with_revisions(answer, is_current)

    async def targets(self) -> answers.TargetsAnswer:
        """Returns all targets with their last reports."""
        is_current = await self._is_current()
        snapshot = await self._status.collect()
        fleet = self._fleet
        item_list = [
            operator_items.target(
                fleet, target, snapshot.report_by_target.get(target.name)
            )
            for target in fleet.target_by_name.values()
        ]
        answer = answers.TargetsAnswer(targets=tuple(item_list))
        return self._with_revisions(answer, is_current)

    async def orders(self, state: str, limit: int) -> answers.OrdersAnswer:
        """Returns orders, only those in the given state unless it is empty."""
        is_current = await self._is_current()
        ledger = self._group.machine.orders
        if state in ("", messages.OrderState.FINISHED, "released"):
            found = iter(ledger.order_by_key.values())
        else:
            found = ledger.open_orders()
        item_list = [
            operator_items.order(order)
            for order in found
            if state in ("", order.state)
        ]
        answer = answers.OrdersAnswer(orders=tuple(item_list[:limit]))
        return self._with_revisions(answer, is_current)

    async def order(self, team: str, key: str) -> answers.OrderAnswer:
        """Returns one order."""
        is_current = await self._is_current()
        found = self._group.machine.orders.find(team, key)
        if found is None:
            raise operator_errors.not_found(f"no order {key!r} of {team!r}")
        return self.order_answer(found, is_current)

    def order_answer(
        self, order: order_records.Order, is_current: bool
    ) -> answers.OrderAnswer:
        """Returns the answer for an order."""
        answer = answers.OrderAnswer(order=operator_items.order(order))
        return self._with_revisions(answer, is_current)

    async def members(self) -> answers.MembersAnswer:
        """Returns the members of the group of control instances."""
        is_current = await self._is_current()
        answer = answers.MembersAnswer(
            instance=self._instance,
            leader=self._group.leader_name(),
            change=self._member_change(),
            members=self._members(),
        )
        return self._with_revisions(answer, is_current)

    async def status(
        self, wait_revision: int, timeout_ms: float
    ) -> answers.StatusAnswer:
        """Returns all live processes and those that lack a revision.

        Args:
            wait_revision: The config revision that all processes should have
                in force; 0 for the one in force on this instance.
            timeout_ms: How long to wait until they have it.
        """
        deadline_ms = self._clock.now_ms() + min(timeout_ms, MAX_WAIT_MS)
        while True:
            is_current = await self._is_current()
            snapshot = await self._status.collect()
            revision = wait_revision or self._fleet.config_revision
            has_revision = revision <= self._fleet.config_revision
            behind = snapshot.names_behind(
                self._fleet.first_view_revision(revision)
            )
            if not has_revision:
                behind = sorted(snapshot.peer_by_name)
            is_timed_out = self._clock.now_ms() >= deadline_ms
            if not behind or is_timed_out:
                return self._status_answer(is_current, snapshot, behind)
            await self._clock.sleep(WAIT_POLL_MS)

    def _status_answer(
        self,
        is_current: bool,
        snapshot: fleet_status.FleetSnapshot,
        behind: list[str],
    ) -> answers.StatusAnswer:
        processes = [
            operator_items.process(peer)
            for peer in snapshot.peer_by_name.values()
        ]
        answer = answers.StatusAnswer(
            instance=self._instance,
            leader=self._group.leader_name(),
            change=self._member_change(),
            members=self._members(),
            processes=tuple(processes),
            unreachable=tuple(snapshot.unreachable),
            lacking=tuple(behind),
            in_force=not behind,
        )
        return self._with_revisions(answer, is_current)

    def counters(self) -> answers.CountersAnswer:
        """Returns the counters of this instance."""
        return answers.CountersAnswer(
            dict(self._counters.value_by_name),
            dict(self._counters.gauge_by_name),
        )

    async def target_counters(self, name: str) -> answers.CountersAnswer:
        """Returns the counters of the agent beside a target.

        Raises:
            OperatorError: If the target is unknown or its agent can't be
                reached.
        """
        target = self._fleet.target_by_name.get(name)
        if target is None:
            raise operator_errors.not_found(f"no target {name!r}")
        connection = self._connections.get(wire_api.agent_address(target))
        try:
            reply = await connection.call(
                messages.CountersFetch(), COUNTERS_TIMEOUT_MS
            )
        except wire_errors.WireError as error:
            raise operator_errors.OperatorError(
                503, "unreachable", f"agent of {name!r}: {error}"
            ) from error
        assert isinstance(reply, messages.CountersReply)
        return answers.CountersAnswer(reply.value_by_name, reply.gauge_by_name)

    def health(self) -> answers.ReadyAnswer:
        """Returns whether this instance knows a leader."""
        leader = self._group.leader_name()
        return answers.ReadyAnswer(bool(leader), leader)

    def _member_change(self) -> str:
        change = self._group.log.status().change
        if change is None:
            return ""
        return f"{change.joining} joins, {change.leaving} leaves"

    def _members(self) -> tuple[items.MemberItem, ...]:
        found = self._group.log.status().members
        return tuple(operator_items.member(status) for status in found)


__all__ = ["MAX_WAIT_MS", "OperatorReads"]
