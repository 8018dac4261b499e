"""Exchanges evidence of crashes with the other entries, through control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.entry import control_client
from lycheering.retries import evidence_exchange
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.retries import crash_ledger

INTERVAL_MS = 2_000.0
# how long evidence of this entry waits at most
REPORT_INTERVAL_MS = 200.0
EXCHANGE_TIMEOUT_MS = 1_000.0

_LOG = logs.get("crashes")


class EvidenceExchanger(app_api.Part):
    """Reports crashes soon after they are seen, and asks regularly."""

    def __init__(
        self,
        control: control_client.ControlClient,
        ledger: crash_ledger.CrashLedger,
        time: clock.Clock,
    ) -> None:
        self._control = control
        self._reporter = evidence_exchange.EvidenceReporter(ledger)
        self._clock = time
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Starts to exchange evidence."""
        self._tasks.spawn_with_restarts(self._run, "entry:evidence")

    async def stop(self) -> None:
        """Stops exchanging evidence."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            exchanged_ms = self._clock.now_ms()
            await self._exchange()
            while self._clock.now_ms() - exchanged_ms < INTERVAL_MS:
                await self._clock.sleep(REPORT_INTERVAL_MS)
                if self._reporter.has_news:
                    break

    async def _exchange(self) -> None:
        try:
            reply = await self._control.call(
                self._reporter.next_exchange(), EXCHANGE_TIMEOUT_MS
            )
        except (
            control_client.ControlUnavailableError,
            errors.WireError,
        ) as error:
            _LOG.debug("exchange_failed", error=error)
            return
        if isinstance(reply, messages.EvidenceExchange):
            self._reporter.apply_reply(reply)


__all__ = ["EvidenceExchanger"]
