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

    from lycheering.entry import target_access
    from lycheering.fleet import records
    from lycheering.wire import client


async def ask(
    targets: target_access.Targets,
    asked: Iterable[records.Target],
    level_keys: tuple[str, ...],
    timeout_ms: float,
) -> dict[str, routing_api.Seen]:
    """Returns what each agent tells that answers in time.

    Args:
        targets: The way to agents.
        asked: The targets to ask about.
        level_keys: The key of each level of the prompt.
        timeout_ms: Time for the answers.
    """
    connection_by_name: dict[str, client.Connection] = {}
    for target in asked:
        address = wire_api.Address(target.name, target.ip, target.port)
        connection = targets.connections.get(address)
        if connection.connected and targets.usable(target.name):
            connection_by_name[target.name] = connection
    inquiry = messages.CacheInquiry(level_keys)
    answers = await asyncio.gather(
        *(
            _ask_one(targets, connection, inquiry, timeout_ms)
            for connection in connection_by_name.values()
        )
    )
    pairs = zip(connection_by_name, answers, strict=True)
    return {name: seen for name, seen in pairs if seen is not None}


async def _ask_one(
    targets: target_access.Targets,
    connection: client.Connection,
    inquiry: messages.CacheInquiry,
    timeout_ms: float,
) -> routing_api.Seen | None:
    try:
        reply = await connection.call(inquiry, timeout_ms)
    except errors.WireError:
        targets.counters.increment("cache_inquiry.unanswered")
        return None
    if not isinstance(reply, messages.CacheReport):
        return None
    return routing_api.Seen(
        reply.held_pieces, reply.queue_ms, reply.piece_ms, reply.life_ms
    )


__all__ = ["ask"]
