"""Graceful shutdown of an entry: lets requests finish before it stops."""

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
    """Durations of a graceful shutdown, in milliseconds.

    Attributes:
        grace_ms: Time between the request to stop and the kill.
        stop_margin_ms: Part of that time that is reserved for the stop after
            the last answer.
        balancer_notice_ms: Time until the load balancer sends no more callers
            to this entry. The balancer checks once a second and needs two
            failed checks in a row.
        close_interval_ms: Interval at which idle connections are closed until
            then.
        poll_ms: Interval at which open requests are checked afterwards.
    """

    grace_ms: float = 8_000.0
    stop_margin_ms: float = 1_200.0
    balancer_notice_ms: float = 2_600.0
    close_interval_ms: float = 200.0
    poll_ms: float = 20.0


class Drain:
    """Leaves the load balancer, then waits for the open requests."""

    def __init__(
        self,
        app: application.ForwardApplication,
        web: server.WebServer,
        settings: DrainSettings,
        time: clock.Clock,
    ) -> None:
        """Prepares the drain.

        Args:
            app: The application that answers callers.
            web: The server of that application.
            settings: Durations of the steps.
            time: The clock.
        """
        self._application = app
        self._web = web
        self._settings = settings
        self._clock = time

    async def run(self) -> None:
        """Returns once all requests are answered or the time is over."""
        settings = self._settings
        began_ms = self._clock.now_ms()
        until_ms = began_ms + settings.grace_ms - settings.stop_margin_ms
        self._application.is_draining = True
        while self._clock.now_ms() - began_ms < settings.balancer_notice_ms:
            # callers with a kept connection don't go through the balancer
            self._web.close_connections()
            await self._clock.sleep(settings.close_interval_ms)
        self._web.stop_accepting()
        self._application.refuse_late_requests(until_ms)
        while self._is_busy() and self._clock.now_ms() < until_ms:
            self._web.close_connections()
            await self._clock.sleep(settings.poll_ms)
        _LOG.event("drained", open_requests=self._application.open_requests)

    def _is_busy(self) -> bool:
        if self._application.open_requests:
            return True
        return self._web.is_any_request_arriving()


__all__ = ["Drain", "DrainSettings"]
