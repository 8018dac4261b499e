"""Makes what all connections of one process share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.wire import api
from lycheering.wire import security

if TYPE_CHECKING:
    import zmq.asyncio

    from lycheering import clock
    from lycheering.settings import model
    from lycheering.telemetry import counters
    from lycheering.wire import messages


def link_from(
    settings: model.Settings,
    name: str,
    role: messages.Role,
    context: zmq.asyncio.Context,
    time: clock.Clock,
    view: api.ViewExchange,
    counts: counters.Counters,
) -> api.Link:
    """Returns the link of a process, with its keys.

    Args:
        settings: The process's settings.
        name: The name that peers know it by.
        role: What it does.
        context: The ZeroMQ context.
        time: The process's clock.
        view: The fleet view to hand around.
        counts: The process's counters.
    """
    return api.Link(
        context,
        api.Identity(name, role, settings.instance.failure_domain),
        settings.wire,
        time,
        view,
        counts,
        security.security_from(settings.wire, counts),
    )


__all__ = ["link_from"]
