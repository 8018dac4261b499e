"""The ASGI application of an entry that forwards requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from lycheering.forward import caller as callers
from lycheering.forward import intake as intakes
from lycheering.forward import refusals
from lycheering.telemetry import logs
from lycheering.web import close_delimited
from lycheering.web import head_limits

if TYPE_CHECKING:
    from collections.abc import MutableMapping

    from lycheering import clock
    from lycheering.forward import api
    from lycheering.forward import forwarder
    from lycheering.telemetry import counters

_LOG = logs.get("forward")


class ForwardApplication:
    """Passes each request to the forwarder, whatever its path.

    It uses ASGI messages directly. The request and response classes of a web
    framework would hide the disconnect of a caller, and would rewrite headers
    that have to be forwarded unchanged.

    Attributes:
        open_requests: Number of requests that are not answered yet.
        is_draining: Whether each connection closes after its next answer.
    """

    def __init__(
        self,
        forward: forwarder.Forwarder,
        intake: intakes.RequestIntake,
        header_codec: api.HeaderCodec,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self.open_requests = 0
        self.is_draining = False
        self._forwarder = forward
        self._intake = intake
        self._header_codec = header_codec
        self._clock = time
        self._counters = counts

    def refuse_late_requests(self, stops_at_ms: float) -> None:
        """Refuses from now on what may not end before the entry stops."""
        self._forwarder.stops_at_ms = stops_at_ms

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    async def __call__(
        self,
        scope: MutableMapping[str, Any],
        receive: callers.Receive,
        send: callers.Send,
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        extensions = scope.get("extensions", {})
        caller = callers.Caller(
            receive,
            send,
            closes_connection=self.is_draining,
            close_delimited_body=extensions.get(
                close_delimited.EXTENSION, {}
            ).get("body"),
        )
        self.open_requests += 1
        try:
            await self._answer(
                _incoming_request(scope, self._clock.now_ms()), caller
            )
        finally:
            self.open_requests -= 1

    async def _answer(
        self, incoming: intakes.IncomingRequest, caller: callers.Caller
    ) -> None:
        try:
            self._check_header_size(incoming)
            await self._forwarder.forward(incoming, caller)
        except refusals.RefusalError as refusal:
            await self._refuse(incoming, caller, refusal)
        except refusals.CallerGoneError:
            self._counters.increment("caller_gone")
        except refusals.AnswerCutError:
            # the server closes the connection if an answer is incomplete
            self._counters.increment("answer_cut")
        except Exception as error:
            _LOG.error("forward_failed", path=incoming.path, error=repr(error))
            if not caller.has_begun:
                await self._refuse(
                    incoming,
                    caller,
                    refusals.RefusalError(refusals.Reason.INTERNAL),
                )

    def _check_header_size(self, incoming: intakes.IncomingRequest) -> None:
        index = self._intake.route_index
        if index is None:
            return
        size = sum(len(n) + len(v) + 4 for n, v in incoming.headers)
        if size > index.table.limits.max_header_bytes:
            raise refusals.RefusalError(refusals.Reason.HEAD_TOO_LARGE)

    async def _refuse(
        self,
        incoming: intakes.IncomingRequest,
        caller: callers.Caller,
        refusal: refusals.RefusalError,
    ) -> None:
        self._counters.count_refusal(refusal.reason.value)
        headers = self._header_codec.refusal_headers(
            incoming.headers, refusal.retry_after_ms
        )
        text = refusal.reason.value
        if refusal.reason in refusals.EXPLAINED_NOT_RUN:
            text = f"{text}: {refusal.detail}; the request was not run"
        elif refusal.reason is refusals.Reason.WITHDRAWN:
            text = f"{text}: {refusal.detail}; the request may have run"
        body = f"{text}\n".encode()
        headers.append((b"content-type", b"text/plain"))
        headers.append((b"content-length", b"%d" % len(body)))
        _LOG.event(
            "refused",
            id=self._header_codec.request_id(incoming.headers),
            path=incoming.path,
            status=refusal.status,
            reason=refusal.reason.value,
            detail=refusal.detail[:120],
            retry_after_ms=round(refusal.retry_after_ms),
            waited_ms=round(self._clock.now_ms() - incoming.arrived_ms),
        )
        if refusal.reason in (
            refusals.Reason.BODY_TOO_LARGE,
            refusals.Reason.BODY_TOO_SLOW,
            refusals.Reason.BODY_INCOMPLETE,
            refusals.Reason.HEAD_TOO_LARGE,
        ):
            headers.append((b"connection", b"close"))
        await caller.begin(refusal.status, headers)
        await caller.finish(body)


def _incoming_request(
    scope: MutableMapping[str, Any], now_ms: float
) -> intakes.IncomingRequest:
    headers = cast("api.Headers", scope["headers"])
    host = ""
    for name, value in headers:
        if name == b"host":
            host = value.decode("latin-1").partition(":")[0]
            break
    path_and_query = scope["raw_path"].decode("latin-1")
    path = path_and_query
    query = scope["query_string"]
    if query or _has_empty_query(scope):
        path_and_query = f"{path_and_query}?{query.decode('latin-1')}"
    return intakes.IncomingRequest(
        scope["method"], host, path, path_and_query, headers, now_ms
    )


def _has_empty_query(scope: MutableMapping[str, Any]) -> bool:
    extension = scope.get("extensions", {}).get(head_limits.TARGET_EXTENSION)
    return extension is not None and b"?" in extension["target"]


__all__ = ["ForwardApplication"]
