"""Tells crashes of targets from other broken exchanges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.forward import attempt as attempts
from lycheering.retries import crash_ledger
from lycheering.telemetry import logs
from lycheering.web import client
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.forward import pending_request
    from lycheering.forward import target_state
    from lycheering.telemetry import counters
    from lycheering.web import connection_pool

# The connections to a crashed target end at slightly different times.
COLLECT_MS = 25.0
PROBE_TIMEOUT_MS = 250.0

_LOG = logs.get("crashes")


class CrashDetector:
    """Records the crashes of targets that broke requests of this entry.

    A target has crashed if it ends connections in the middle of exchanges and
    refuses new ones. One that still takes connections failed single requests,
    and one that is silent may be cut off.
    """

    def __init__(
        self,
        ledger: crash_ledger.CrashLedger,
        connections: connection_pool.HttpConnectionPool,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._ledger = ledger
        self._connections = connections
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._prompts_by_key: dict[str, set[messages.BrokenPrompt]] = {}

    async def stop(self) -> None:
        """Ends open probes."""
        await self._tasks.cancel_all()

    def record_broken(
        self,
        state: target_state.TargetState,
        request: pending_request.PendingRequest,
    ) -> None:
        """Records that the exchange of a request with a target broke.

        Args:
            state: The target.
            request: The request, with the progress of that exchange.
        """
        progress = request.progress
        if progress is None or state.is_unreachable:
            return
        if progress.is_proven(self._clock.now_ms()):
            return
        prompts = self._prompts_by_key.get(state.target.key)
        if prompts is None:
            prompts = self._prompts_by_key[state.target.key] = set()
            self._tasks.spawn(
                self._probe(state, self._clock.now_ms()),
                f"crash_probe:{state.target.key}",
            )
        has_begun = progress.answer is not attempts.AnswerProgress.NONE
        prompts.add(
            messages.BrokenPrompt(
                crash_ledger.part_keys(request.shared_part_keys),
                has_begun,
                crash_ledger.request_digest(request.metadata.request_id),
                request.fingerprint,
            )
        )

    async def wait_for_verdict(self, state: target_state.TargetState) -> None:
        """Waits until it is known whether a target has just crashed."""
        while state.target.key in self._prompts_by_key:
            await self._clock.sleep(COLLECT_MS)

    async def _probe(
        self, state: target_state.TargetState, crashed_ms: float
    ) -> None:
        """Records a crash if the target refuses a connection."""
        target = state.target
        try:
            await self._clock.sleep(COLLECT_MS)
            connection = await self._connections.open(
                client.Origin(target.ip, target.port), PROBE_TIMEOUT_MS
            )
        except client.ConnectRefusedError:
            prompts = self._prompts_by_key[target.key]
            self._ledger.record_crash(state.digest, crashed_ms, prompts)
            self._counters.increment("target.crashed")
            _LOG.warning(
                "target_crashed",
                target=target.target_id,
                digest=f"{state.digest:012x}",
                unanswered=len(prompts),
                parts=" ".join(
                    ",".join(prompt.parts) + "*" * prompt.has_begun
                    for prompt in sorted(
                        prompts, key=lambda prompt: prompt.parts
                    )
                )[:400],
            )
        except client.ConnectFailedError:
            return
        else:
            self._connections.add_unused(target.key, connection)
        finally:
            self._prompts_by_key.pop(target.key, None)


__all__ = ["CrashDetector"]
