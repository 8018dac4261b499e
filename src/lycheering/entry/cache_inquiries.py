"""Asks agents what their targets hold of a prompt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.routing import api as routing_api
from lycheering.wire import api as wire_api
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.entry import job as jobs
    from lycheering.entry import target_access
    from lycheering.fleet import records
    from lycheering.wire import client


async def ask(
    targets: target_access.Targets,
    asked: Iterable[records.Target],
    job: jobs.Job,
    timeout_ms: float,
) -> dict[str, routing_api.Seen]:
    """Returns what each agent tells that answers in time.

    Args:
        targets: The way to agents.
        asked: The targets to ask about.
        job: The request.
        timeout_ms: Time for the answers.
    """
    connection_by_name: dict[str, client.Connection] = {}
    for target in asked:
        address = wire_api.Address(target.name, target.ip, target.port)
        connection = targets.connections.get(address)
        if connection.connected and targets.usable(target.name):
            connection_by_name[target.name] = connection
    inquiry = messages.CacheInquiry(
        job.levels.short_keys, job.levels.rank_index, job.team, job.priority
    )
    answers = await asyncio.gather(
        *(
            _ask_one(targets, connection, inquiry, timeout_ms)
            for connection in connection_by_name.values()
        )
    )
    report_by_name = {
        name: report
        for name, report in zip(connection_by_name, answers, strict=True)
        if report is not None
    }
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


async def _ask_one(
    targets: target_access.Targets,
    connection: client.Connection,
    inquiry: messages.CacheInquiry,
    timeout_ms: float,
) -> messages.CacheReport | None:
    try:
        reply = await connection.call(inquiry, timeout_ms)
    except errors.WireError:
        targets.counters.increment("cache_inquiry.unanswered")
        return None
    return reply if isinstance(reply, messages.CacheReport) else None


__all__ = ["ask"]
