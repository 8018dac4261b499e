"""Asks agents what their targets hold of a prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.routing import api as routing_api
from lycheering.wire import api as wire_api
from lycheering.wire import byte_budget
from lycheering.wire import channels
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.entry import job as jobs
    from lycheering.entry import target_access
    from lycheering.fleet import records


async def ask(
    targets: target_access.Targets,
    asked: Iterable[records.Target],
    job: jobs.Job,
    timeout_ms: float,
) -> dict[str, routing_api.Seen]:
    """Returns what each agent tells that answers in time.

    Args:
        targets: The way to agents.
        asked: The targets to ask about, those that matter most first.
        job: The request.
        timeout_ms: Time for the answers.
    """
    inquiry = messages.CacheInquiry(
        job.levels.short_keys, job.levels.rank_index, job.team, job.priority
    )
    deadline_ms = targets.clock.now_ms() + timeout_ms
    # all are sent before the first answer is read, which needs no tasks
    channel_by_name: dict[str, channels.Channel] = {}
    report_by_name: dict[str, messages.CacheReport] = {}
    try:
        for target in _allowed(targets, asked):
            channel = _send(targets, target, inquiry, timeout_ms)
            if channel is not None:
                channel_by_name[target.name] = channel
        for name, channel in channel_by_name.items():
            left_ms = deadline_ms - targets.clock.now_ms()
            report = await _read(targets, channel, max(0.0, left_ms))
            if report is not None:
                report_by_name[name] = report
    finally:
        for channel in channel_by_name.values():
            channel.close()
    return {
        name: routing_api.Seen(
            report.held_pieces,
            report.queue_ms,
            report.piece_ms,
            report.life_ms,
            report.prefix_use,
        )
        for name, report in report_by_name.items()
    }


def _allowed(
    targets: target_access.Targets, asked: Iterable[records.Target]
) -> list[records.Target]:
    """Returns the targets that are worth their bytes.

    In a large fleet no connection is made to ask, and no more agents are
    asked than the budget has bytes for.
    """
    if not targets.budget.is_large:
        return list(asked)
    known = targets.connections.known
    connected = [
        target
        for target in asked
        if (connection := known(wire_api.agent_address(target))) is not None
        and connection.connected
    ]
    allowed = connected[: targets.budget.asks()]
    unasked = len(connected) - len(allowed)
    if unasked:
        targets.counters.increment("cache_inquiry.over_budget", unasked)
    targets.budget.spend(len(allowed), byte_budget.ASK_BYTES)
    return allowed


def _send(
    targets: target_access.Targets,
    target: records.Target,
    inquiry: messages.CacheInquiry,
    timeout_ms: float,
) -> channels.Channel | None:
    address = wire_api.agent_address(target)
    connection = targets.connections.get(address)
    if not connection.connected or not targets.usable(target.name):
        return None
    try:
        return connection.ask(inquiry, timeout_ms)
    except errors.PeerUnreachableError:
        targets.counters.increment("cache_inquiry.unanswered")
        return None


async def _read(
    targets: target_access.Targets,
    channel: channels.Channel,
    timeout_ms: float,
) -> messages.CacheReport | None:
    try:
        reply = await channel.receive(timeout_ms)
    except errors.CallTimeoutError:
        reply = channels.Lost()
    if isinstance(reply, messages.CacheReport):
        return reply
    targets.counters.increment("cache_inquiry.unanswered")
    return None


__all__ = ["ask"]
