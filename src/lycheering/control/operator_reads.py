"""What operators can look at."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from lycheering.control import commands
from lycheering.control import operator_answers as answers
from lycheering.control import operator_errors
from lycheering.control import operator_rows
from lycheering.fleet import options
from lycheering.fleet import view
from lycheering.replication import errors
from lycheering.wire import api as wire_api
from lycheering.wire import errors as wire_errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import fleet_status
    from lycheering.control import history
    from lycheering.control import replica
    from lycheering.fleet import records
    from lycheering.orders import records as order_records
    from lycheering.telemetry import counters
    from lycheering.wire import pool

COUNTERS_TIMEOUT_MS = 2_000
WAIT_POLL_MS = 200
MAX_WAIT_MS = 60_000


class OperatorReads:
    """Reads the state, current where a quorum can be asked."""

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

    async def _is_current(self) -> bool:
        try:
            await self._group.read_anywhere()
        except errors.ReplicationError:
            return False
        return True

    async def defaults(self) -> answers.DefaultsAnswer:
        """Returns all options and their defaults."""
        current = await self._is_current()
        fleet = self._fleet
        rows = [
            operator_rows.DefaultRow(
                name,
                fleet.value(name),
                option.default,
                name in fleet.value_by_option,
                option.help,
            )
            for name, option in options.OPTION_BY_NAME.items()
        ]
        return answers.DefaultsAnswer(
            current=current,
            config_revision=fleet.config_revision,
            view_revision=fleet.view_revision,
            defaults=rows,
        )

    async def exceptions(self) -> answers.ExceptionsAnswer:
        """Returns all exceptions."""
        current = await self._is_current()
        fleet = self._fleet
        found = fleet.exception_by_id.values()
        return answers.ExceptionsAnswer(
            current=current,
            config_revision=fleet.config_revision,
            view_revision=fleet.view_revision,
            exceptions=[
                operator_rows.ExceptionRow.of(record) for record in found
            ],
        )

    async def teams(self) -> answers.TeamsAnswer:
        """Returns all teams, without their keys."""
        current = await self._is_current()
        fleet = self._fleet
        rows = [
            operator_rows.TeamRow(team.name, len(team.key_digests))
            for team in fleet.team_by_name.values()
        ]
        return answers.TeamsAnswer(
            current=current,
            config_revision=fleet.config_revision,
            view_revision=fleet.view_revision,
            teams=rows,
        )

    async def history(self, limit: int) -> answers.HistoryAnswer:
        """Returns the newest accepted changes."""
        current = await self._is_current()
        fleet = self._fleet
        newest = reversed(self._group.machine.history.entries)
        rows = [_history_row(e) for e in itertools.islice(newest, limit)]
        return answers.HistoryAnswer(
            current=current,
            config_revision=fleet.config_revision,
            view_revision=fleet.view_revision,
            changes=rows,
        )

    async def targets(self) -> answers.TargetsAnswer:
        """Returns all targets with their last reports."""
        current = await self._is_current()
        picture = await self._status.collect()
        fleet = self._fleet
        rows = [
            _target_row(fleet, target, picture.report_by_target)
            for target in fleet.target_by_name.values()
        ]
        return answers.TargetsAnswer(
            current=current,
            config_revision=fleet.config_revision,
            view_revision=fleet.view_revision,
            targets=rows,
        )

    async def orders(self, state: str, limit: int) -> answers.OrdersAnswer:
        """Returns orders, only those of one state if it is not empty."""
        current = await self._is_current()
        fleet = self._fleet
        ledger = self._group.machine.orders
        if state in ("", messages.OrderState.FINISHED, "released"):
            found = iter(ledger.order_by_key.values())
        else:
            found = ledger.open_orders()
        rows = [
            order_row(order) for order in found if state in ("", order.state)
        ]
        return answers.OrdersAnswer(
            current=current,
            config_revision=fleet.config_revision,
            view_revision=fleet.view_revision,
            orders=rows[:limit],
        )

    async def order(self, team: str, key: str) -> answers.OrderAnswer:
        """Returns one order."""
        current = await self._is_current()
        found = self._group.machine.orders.find(team, key)
        if found is None:
            raise operator_errors.not_found(f"no order {key!r} of {team!r}")
        return self.order_answer(found, current)

    def order_answer(
        self, order: order_records.Order, current: bool
    ) -> answers.OrderAnswer:
        """Returns the answer that shows an order."""
        return answers.OrderAnswer(
            current=current,
            config_revision=self._fleet.config_revision,
            view_revision=self._fleet.view_revision,
            order=order_row(order),
        )

    async def members(self) -> answers.MembersAnswer:
        """Returns the group of control instances."""
        current = await self._is_current()
        return answers.MembersAnswer(
            current=current,
            config_revision=self._fleet.config_revision,
            view_revision=self._fleet.view_revision,
            instance=self._instance,
            leader=self._group.leader_name(),
            change=self._member_change(),
            members=self._member_rows(),
        )

    async def status(
        self, wait_revision: int, timeout_ms: float
    ) -> answers.StatusAnswer:
        """Returns all live processes, and who lacks a revision.

        Args:
            wait_revision: The config revision that all should have in force;
                0 for the one in force here.
            timeout_ms: How long to wait for that.
        """
        deadline_ms = self._clock.now_ms() + min(timeout_ms, MAX_WAIT_MS)
        while True:
            current = await self._is_current()
            picture = await self._status.collect()
            wanted = wait_revision or self._fleet.config_revision
            is_here = wanted <= self._fleet.config_revision
            lacking = picture.lacking(self._fleet.view_revision_of(wanted))
            if not is_here:
                lacking = sorted(picture.peer_by_name)
            is_late = self._clock.now_ms() >= deadline_ms
            if not lacking or is_late:
                return self._status_answer(current, picture, lacking)
            await self._clock.sleep(WAIT_POLL_MS)

    def _status_answer(
        self,
        current: bool,
        picture: fleet_status.FleetPicture,
        lacking: list[str],
    ) -> answers.StatusAnswer:
        processes = [
            operator_rows.ProcessRow.of(peer)
            for peer in picture.peer_by_name.values()
        ]
        return answers.StatusAnswer(
            current=current,
            config_revision=self._fleet.config_revision,
            view_revision=self._fleet.view_revision,
            instance=self._instance,
            leader=self._group.leader_name(),
            change=self._member_change(),
            members=self._member_rows(),
            processes=processes,
            unreachable=list(picture.unreachable),
            lacking=lacking,
            in_force=not lacking,
        )

    def counters(self) -> answers.CountersAnswer:
        """Returns the counters of this instance."""
        return answers.CountersAnswer(
            dict(self._counters.value_by_name),
            dict(self._counters.gauge_by_name),
        )

    async def target_counters(self, name: str) -> answers.CountersAnswer:
        """Returns the counters of the agent beside a target.

        Raises:
            OperatorError: If there is no such target or no answer.
        """
        target = self._fleet.target_by_name.get(name)
        if target is None:
            raise operator_errors.not_found(f"target {name!r}")
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
        """Returns whether this instance takes part in a group."""
        leader = self._group.leader_name()
        return answers.ReadyAnswer(bool(leader), leader)

    def _member_change(self) -> str:
        change = self._group.log.status().change
        if change is None:
            return ""
        return f"{change.joining} joins, {change.leaving} leaves"

    def _member_rows(self) -> list[operator_rows.MemberRow]:
        rows = []
        for member in self._group.log.status().members:
            ip, _, port = member.address.rpartition(":")
            rows.append(
                operator_rows.MemberRow(
                    member.id.instance,
                    ip,
                    int(port),
                    str(member.id),
                    member.is_voter,
                )
            )
        return rows


def order_row(order: order_records.Order) -> operator_rows.OrderRow:
    """Returns the row of an order."""
    outcome = None
    if order.outcome is not None:
        outcome = operator_rows.OutcomeRow(
            order.outcome.status,
            order.outcome.content_type,
            len(order.outcome.body),
        )
    return operator_rows.OrderRow(
        order_id=order.order_id,
        team=order.team,
        key=order.key,
        state=order.state,
        target=order.target,
        request_id=order.request_id,
        reason=order.reason,
        claimed_at_ms=order.claimed_ms,
        changed_at_ms=order.changed_ms,
        outcome=outcome,
    )


def _history_row(entry: history.HistoryEntry) -> operator_rows.HistoryRow:
    command = entry.command
    subject = ""
    value: options.OptionValue | None = None
    match command.edit:
        case commands.SetDefault(option, set_value):
            kind, subject, value = "default_set", option, set_value
        case commands.AddException(scope, option, set_value):
            kind, value = "exception_added", set_value
            subject = f"{option} for {scope.kind} {scope.name}"
        case commands.RemoveException(exception_id):
            kind, subject = "exception_removed", exception_id
        case commands.PutTeam(name):
            kind, subject = "team_put", name
        case commands.RemoveTeam(name):
            kind, subject = "team_removed", name
    return operator_rows.HistoryRow(
        entry.revision,
        command.change_id,
        command.operator,
        command.at_ms,
        command.reason,
        kind,
        subject,
        value,
    )


def _target_row(
    fleet: view.FleetView,
    target: records.Target,
    report_by_target: dict[str, messages.TargetReport],
) -> operator_rows.TargetRow:
    subject = view.subject_of_target(target)
    report = report_by_target.get(target.name)
    row = None
    if report is not None:
        row = operator_rows.ReportRow(
            report.engine_incarnation,
            report.weights_version,
            report.adapters,
            report.role,
            report.load.running,
            report.load.queued,
            report.load.draining,
        )
    return operator_rows.TargetRow(
        name=target.name,
        kind=target.kind,
        state=target.state,
        instance=target.instance,
        ip=target.ip,
        port=target.port,
        failure_domain=target.failure_domain,
        model=target.model,
        service=target.service,
        agent_incarnation=target.agent_incarnation,
        drained=fleet.flag("target.drained", subject),
        weights_wanted=fleet.text("weights.version", subject),
        report=row,
    )


__all__ = ["MAX_WAIT_MS", "OperatorReads", "order_row"]
