"""Creates the state that all connections of a process share."""

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


def make_link(
    settings: model.Settings,
    name: str,
    role: messages.Role,
    context: zmq.asyncio.Context,
    process_clock: clock.Clock,
    view: api.ViewExchange,
    process_counters: counters.Counters,
) -> api.Link:
    """Returns the link of a process.

    Args:
        settings: The process's settings.
        name: The process's name towards its peers.
        role: The process's role.
        context: The ZeroMQ context.
        process_clock: The process's clock.
        view: The fleet view to synchronize with peers.
        process_counters: The process's counters.

    Raises:
        SettingsError: If the key files can't be used.
    """
    return api.Link(
        context,
        api.Identity(name, role, settings.instance.failure_domain),
        settings.wire,
        process_clock,
        view,
        process_counters,
        security.make_security(settings.wire, process_counters),
    )


__all__ = ["make_link"]
