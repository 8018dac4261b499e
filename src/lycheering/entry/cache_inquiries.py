"""Asks agents how much of a prompt their targets have cached."""

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


async def query_agents(
    targets: target_access.TargetAccess,
    candidates: Iterable[records.Target],
    job: jobs.Job,
    timeout_ms: float,
) -> dict[str, routing_api.CacheState]:
    """Returns the cache reports of the agents that reply in time, by target.

    Args:
        targets: The access to targets.
        candidates: The targets to ask about, most important ones first.
        job: The request.
        timeout_ms: Time limit for all replies together.
    """
    inquiry = messages.CacheInquiry(
        job.levels.inquiry_keys,
        job.levels.ranking_level,
        job.team,
        job.priority,
    )
    deadline_ms = targets.clock.now_ms() + timeout_ms
    # sends all inquiries before it reads the first reply, so that the agents
    # work in parallel without a task for each
    channel_by_name: dict[str, channels.Channel] = {}
    report_by_name: dict[str, messages.CacheReport] = {}
    try:
        for target in _within_budget(targets, candidates):
            channel = _send_inquiry(targets, target, inquiry, timeout_ms)
            if channel is not None:
                channel_by_name[target.name] = channel
        for name, channel in channel_by_name.items():
            left_ms = deadline_ms - targets.clock.now_ms()
            report = await _read_report(targets, channel, max(0.0, left_ms))
            if report is not None:
                report_by_name[name] = report
    finally:
        for channel in channel_by_name.values():
            channel.close()
    return {
        name: routing_api.CacheState(
            report.held_pieces,
            report.queue_ms,
            report.piece_ms,
            report.life_ms,
            report.prefix_use,
        )
        for name, report in report_by_name.items()
    }


def _within_budget(
    targets: target_access.TargetAccess, candidates: Iterable[records.Target]
) -> list[records.Target]:
    """Returns the targets that the byte budget allows to ask about.

    In a large fleet, only agents with an open connection are asked, and no
    more of them than the budget has bytes for.
    """
    if not targets.budget.is_large_fleet:
        return list(candidates)
    find_connection = targets.connections.find
    connected = [
        target
        for target in candidates
        if (connection := find_connection(wire_api.agent_address(target)))
        is not None
        and connection.is_connected
    ]
    allowed = connected[: targets.budget.allowed_inquiries()]
    skipped = len(connected) - len(allowed)
    if skipped:
        targets.counters.increment("cache_inquiry.over_budget", skipped)
    targets.budget.spend(len(allowed), byte_budget.INQUIRY_BYTES)
    return allowed


def _send_inquiry(
    targets: target_access.TargetAccess,
    target: records.Target,
    inquiry: messages.CacheInquiry,
    timeout_ms: float,
) -> channels.Channel | None:
    address = wire_api.agent_address(target)
    connection = targets.connections.get(address)
    if not connection.is_connected or not targets.is_usable(target.name):
        return None
    try:
        return connection.send_call(inquiry, timeout_ms)
    except errors.PeerUnreachableError:
        targets.counters.increment("cache_inquiry.unanswered")
        return None


async def _read_report(
    targets: target_access.TargetAccess,
    channel: channels.Channel,
    timeout_ms: float,
) -> messages.CacheReport | None:
    try:
        reply = await channel.receive(timeout_ms)
    except errors.CallTimeoutError:
        reply = channels.ConnectionLost()
    if isinstance(reply, messages.CacheReport):
        return reply
    targets.counters.increment("cache_inquiry.unanswered")
    return None


__all__ = ["query_agents"]
