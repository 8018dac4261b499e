"""A driver for plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.targets import api
from lycheering.targets import exchange as exchanges
from lycheering.web import client
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.settings import model


class ServiceDriver(api.TargetDriver):
    """Calls a plain service, whose answers can't be picked up again."""

    def __init__(
        self, settings: model.AgentSettings, wire: model.WireSettings
    ) -> None:
        self._origin = client.Origin.parse(settings.url)
        self._wire = wire
        self._slots = settings.slots

    async def send(
        self, call: api.TargetCall, before_send: Callable[[], None]
    ) -> api.Answer:
        """Sends a request once, on a connection of its own."""
        exchange = await exchanges.send(self._origin, call, before_send)
        return exchanges.BodyAnswer(exchange)

    async def resume(self, request_id: str, from_seq: int) -> api.Answer:
        """Refuses, since a plain service keeps no answers."""
        raise api.LostStreamError(f"{request_id}: answer at {from_seq}")

    async def cancel(self, request_id: str) -> None:
        """Does nothing: the closed connection tells the service."""

    async def healthy(self) -> bool:
        """Returns whether the service answers on a new connection."""
        return await exchanges.is_healthy(self._origin, self._wire)

    async def load(self) -> api.TargetLoad:
        """Returns the slots of the settings, if the service answers."""
        reply = await exchanges.fetch(
            self._origin, self._wire, "GET", "/health"
        )
        if reply.head.status != 200:
            raise api.BrokenAnswerError(f"health {reply.head.status}")
        return api.TargetLoad(slots=self._slots)

    async def give_order(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        """Refuses: a plain service takes no target orders."""
        return messages.TargetOrderReply(
            False, order.fence, "a plain service takes no target orders"
        )


__all__ = ["ServiceDriver"]
