"""The driver for plain HTTP services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.targets import api
from lycheering.targets import http_exchange
from lycheering.web import client
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.settings import model


class ServiceDriver(api.TargetDriver):
    """Calls a plain service, whose answers can't be resumed."""

    def __init__(
        self, settings: model.AgentSettings, wire: model.WireSettings
    ) -> None:
        self._origin = client.Origin.parse(settings.url)
        self._wire = wire
        self._slots = settings.slots

    async def send(
        self, call: api.TargetCall, before_send: Callable[[], None]
    ) -> api.Answer:
        """Sends a request once, on a new connection."""
        exchange = await http_exchange.send(self._origin, call, before_send)
        return http_exchange.BodyAnswer(exchange)

    async def resume(self, request_id: str, from_seq: int) -> api.Answer:
        """Raises, as a plain service stores no answers to resume."""
        raise api.LostStreamError(
            f"{request_id}: a plain service can't resume at {from_seq}"
        )

    async def cancel(self, request_id: str) -> None:
        """Does nothing, as the service notices the closed connection."""

    async def is_healthy(self) -> bool:
        """Returns whether a health check on a new connection succeeds."""
        return await http_exchange.is_healthy(self._origin, self._wire)

    async def fetch_load(self) -> api.EngineLoadReport:
        """Returns the slots of the settings if the health check succeeds."""
        reply = await http_exchange.fetch(
            self._origin, self._wire, "GET", "/health"
        )
        if reply.head.status != 200:
            raise api.BrokenAnswerError(
                f"the health check failed with status {reply.head.status}"
            )
        return api.EngineLoadReport(slots=self._slots)

    async def send_order(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        """Refuses the order, as plain services support no target orders."""
        return messages.TargetOrderReply(
            False, order.fence, "plain services support no target orders"
        )


__all__ = ["ServiceDriver"]
