"""Ends an entry's work on a planned stop, without cutting a request."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.forward import application
    from lycheering.web import server

_LOG = logs.get("entry")


@dataclasses.dataclass(frozen=True)
class DrainSettings:
    """How long each step of a stop takes, in milliseconds.

    Attributes:
        grace_ms: From the request to stop until the kill.
        margin_ms: What a stop needs after the last answer.
        notice_ms: Until the balancer sends nobody here any more. It asks
            once a second and goes by two answers in a row.
        round_ms: Between two looks for connections to end.
        poll_ms: Between two looks for open requests.
    """

    grace_ms: float = 8_000.0
    margin_ms: float = 1_200.0
    notice_ms: float = 2_600.0
    round_ms: float = 200.0
    poll_ms: float = 20.0


class Draining:
    """Leaves the balancer first, then ends what runs."""

    def __init__(
        self,
        served: application.ForwardApplication,
        web: server.WebServer,
        settings: DrainSettings,
        time: clock.Clock,
    ) -> None:
        """Prepares the stop.

        Args:
            served: The application that answers callers.
            web: Its endpoint.
            settings: How long each step takes.
            time: The clock.
        """
        self._application = served
        self._web = web
        self._settings = settings
        self._clock = time

    async def run(self) -> None:
        """Returns once nothing is left, or the time is over."""
        settings = self._settings
        began_ms = self._clock.now_ms()
        until_ms = began_ms + settings.grace_ms - settings.margin_ms
        self._application.is_leaving = True
        while self._clock.now_ms() - began_ms < settings.notice_ms:
            # callers that keep a connection do not ask the balancer
            self._web.end_connections()
            await self._clock.sleep(settings.round_ms)
        self._web.stop_accepting()
        while self._is_busy() and self._clock.now_ms() < until_ms:
            self._web.end_connections()
            await self._clock.sleep(settings.poll_ms)
        _LOG.event("drained", left=self._application.open_requests)

    def _is_busy(self) -> bool:
        if self._application.open_requests:
            return True
        return self._web.awaits_requests()


__all__ = ["DrainSettings", "Draining"]
