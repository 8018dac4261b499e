"""Converts records of the state to the items of operators' answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.control import commands
from lycheering.fleet import options
from lycheering.fleet import view
from lycheering.operator import answers
from lycheering.operator import items

if TYPE_CHECKING:
    from lycheering.control import history
    from lycheering.fleet import records
    from lycheering.orders import records as order_records
    from lycheering.replication import log
    from lycheering.wire import messages


def default(fleet: view.FleetView, name: str) -> items.DefaultItem:
    """Returns the item for an option and its default in force."""
    option = options.OPTION_BY_NAME[name]
    return items.DefaultItem(
        option=name,
        value=fleet.value(name),
        is_set=name in fleet.value_by_option,
        built_in=option.default,
        help=option.help,
    )


def exception(record: records.ExceptionRecord) -> items.ExceptionItem:
    """Returns the item for an exception."""
    return items.ExceptionItem(
        exception_id=record.exception_id,
        scope=items.Scope(record.scope.kind, record.scope.name),
        option=record.option,
        value=record.value,
        reason=record.reason,
        operator=record.operator,
        revision=record.revision,
    )


def change(entry: history.HistoryEntry) -> items.ChangeItem:
    """Returns the item for an accepted change."""
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
    return items.ChangeItem(
        revision=entry.revision,
        at_ms=command.at_ms,
        operator=command.operator,
        kind=kind,
        subject=subject,
        reason=command.reason,
        change_id=command.change_id,
        value=value,
    )


def target(
    fleet: view.FleetView,
    record: records.Target,
    report: messages.TargetReport | None,
) -> items.TargetItem:
    """Returns the item for a target and its agent's last report."""
    subject = view.target_subject(record)
    return items.TargetItem(
        name=record.name,
        kind=record.kind,
        state=record.state,
        drained=fleet.boolean_option("target.drained", subject),
        failure_domain=record.failure_domain,
        ip=record.ip,
        port=record.port,
        model=record.model,
        service=record.service,
        instance=record.instance,
        agent_incarnation=record.agent_incarnation,
        weights_wanted=fleet.text("weights.version", subject),
        report=None if report is None else _report(report),
    )


def _report(report: messages.TargetReport) -> items.ReportItem:
    return items.ReportItem(
        engine_incarnation=report.engine_incarnation,
        weights_version=report.weights_version,
        adapters=report.adapters,
        role=report.role,
        running=report.load.running,
        queued=report.load.queued,
        draining=report.load.draining,
    )


def order(record: order_records.Order) -> items.OrderItem:
    """Returns the item for an order, without the body of its answer."""
    outcome = None
    if record.outcome is not None:
        outcome = items.OutcomeItem(
            record.outcome.status,
            record.outcome.content_type,
            len(record.outcome.body),
        )
    return items.OrderItem(
        order_id=record.order_id,
        team=record.team,
        key=record.key,
        state=record.state,
        target=record.target,
        request_id=record.request_id,
        reason=record.reason,
        claimed_at_ms=record.claimed_ms,
        changed_at_ms=record.changed_ms,
        outcome=outcome,
    )


def member(status: log.MemberStatus) -> items.MemberItem:
    """Returns the item for a member of the group."""
    ip, _, port = status.address.rpartition(":")
    return items.MemberItem(
        instance=status.id.instance,
        ip=ip,
        port=int(port),
        id=str(status.id),
        votes=status.is_voter,
    )


def process(peer: messages.PeerStatus) -> items.ProcessItem:
    """Returns the item for a live process."""
    return items.ProcessItem(
        name=peer.name,
        role=peer.role,
        failure_domain=peer.failure_domain,
        view_revision=peer.view_revision,
        last_heard_ms=peer.last_heard_ms,
        incarnation=peer.incarnation,
    )


def winner(accepted: commands.Winner) -> answers.Winner:
    """Returns the item for the change that another one conflicts with."""
    return answers.Winner(
        accepted.revision, accepted.operator, accepted.change_id
    )


__all__ = [
    "change",
    "default",
    "exception",
    "member",
    "order",
    "process",
    "target",
    "winner",
]
