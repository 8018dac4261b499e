"""The HTTP side of an entry that forwards requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from lycheering.forward import caller as callers
from lycheering.forward import intake as intakes
from lycheering.forward import refusals
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import MutableMapping

    from lycheering import clock
    from lycheering.forward import api
    from lycheering.forward import forwarder
    from lycheering.telemetry import counters

_LOG = logs.get("forward")


class ForwardApplication:
    """Hands each request to the forwarder, whatever its path.

    The server's messages are used directly: the requests and answers of a web
    framework hide when a caller leaves, and rebuild headers that are to stay
    as they are.

    Attributes:
        open_requests: Requests that are not answered yet.
        is_leaving: Whether connections end with their next answer.
    """

    def __init__(
        self,
        forward: forwarder.Forwarder,
        intake: intakes.Intake,
        dialect: api.Dialect,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self.open_requests = 0
        self.is_leaving = False
        self._forwarder = forward
        self._intake = intake
        self._dialect = dialect
        self._clock = time
        self._counters = counts

    async def start(self) -> None:
        """Needs nothing."""

    async def stop(self) -> None:
        """Needs nothing."""

    async def __call__(
        self,
        scope: MutableMapping[str, Any],
        receive: callers.Receive,
        send: callers.Send,
    ) -> None:
        """Serves one exchange."""
        if scope["type"] != "http":
            return
        caller = callers.Caller(receive, send, closes=self.is_leaving)
        self.open_requests += 1
        try:
            await self._answer(_arrival(scope, self._clock.now_ms()), caller)
        finally:
            self.open_requests -= 1

    async def _answer(
        self, arrival: intakes.Arrival, caller: callers.Caller
    ) -> None:
        try:
            self._check_head(arrival)
            await self._forwarder.forward(arrival, caller)
        except refusals.RefusalError as refusal:
            await self._refuse(arrival, caller, refusal)
        except refusals.CallerGoneError:
            self._counters.increment("caller_gone")
        except refusals.AnswerCutError:
            # the server closes a connection whose answer is not whole
            self._counters.increment("answer_cut")
        except Exception as error:
            _LOG.error("forward_failed", path=arrival.path, error=repr(error))
            if not caller.has_begun:
                await self._refuse(
                    arrival,
                    caller,
                    refusals.RefusalError(refusals.Reason.INTERNAL),
                )

    def _check_head(self, arrival: intakes.Arrival) -> None:
        index = self._intake.index
        if index is None:
            return
        size = sum(len(n) + len(v) + 4 for n, v in arrival.headers)
        if size > index.table.limits.max_header_bytes:
            raise refusals.RefusalError(refusals.Reason.HEAD_TOO_LARGE)

    async def _refuse(
        self,
        arrival: intakes.Arrival,
        caller: callers.Caller,
        refusal: refusals.RefusalError,
    ) -> None:
        self._counters.refusal(refusal.reason.value)
        headers = self._dialect.refusal_headers(
            arrival.headers, refusal.retry_after_ms
        )
        body = f"{refusal.reason.value}\n".encode()
        headers.append((b"content-type", b"text/plain"))
        headers.append((b"content-length", b"%d" % len(body)))
        _LOG.event(
            "refused",
            id=self._dialect.request_id(arrival.headers),
            path=arrival.path,
            status=refusal.status,
            reason=refusal.reason.value,
            detail=refusal.detail[:120],
            retry_after_ms=round(refusal.retry_after_ms),
            waited_ms=round(self._clock.now_ms() - arrival.at_ms),
        )
        if refusal.reason in (
            refusals.Reason.BODY_TOO_LARGE,
            refusals.Reason.BODY_TOO_SLOW,
            refusals.Reason.HEAD_TOO_LARGE,
        ):
            headers.append((b"connection", b"close"))
        await caller.begin(refusal.status, headers)
        await caller.finish(body)


def _arrival(scope: MutableMapping[str, Any], now_ms: float) -> intakes.Arrival:
    headers = cast("api.Headers", scope["headers"])
    host = ""
    for name, value in headers:
        if name == b"host":
            host = value.decode("latin-1").partition(":")[0]
            break
    target = scope["raw_path"].decode("latin-1")
    path = target
    query = scope["query_string"]
    if query:
        target = f"{target}?{query.decode('latin-1')}"
    return intakes.Arrival(scope["method"], host, path, target, headers, now_ms)


__all__ = ["ForwardApplication"]
