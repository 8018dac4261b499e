"""The HTTP endpoints for callers, the balancer and operators."""

from __future__ import annotations

import contextlib
import hmac
import json
import pathlib
from typing import TYPE_CHECKING

import blacksheep
import msgspec

from lycheering.entry import callers
from lycheering.entry import intake as intakes
from lycheering.entry import job as jobs
from lycheering.entry import refusals
from lycheering.fleet import records
from lycheering.telemetry import logs
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lycheering.entry import admission as admissions
    from lycheering.entry import exchange as exchanges
    from lycheering.entry import orders
    from lycheering.fleet import holder
    from lycheering.routing import explain
    from lycheering.settings import model
    from lycheering.telemetry import counters

    Handler = Callable[[blacksheep.Request], Awaitable[blacksheep.Response]]

SERVICES_PATH = "/v1/services/"
SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
LOOPBACK = frozenset({"127.0.0.1", "::1"})
CLIENT_CLOSED_STATUS = 499

_LOG = logs.get("http")


class EntryApi:
    """Answers HTTP requests.

    Attributes:
        application: The application to serve.
    """

    def __init__(
        self,
        settings: model.EntrySettings,
        view: holder.ViewHolder,
        intake: intakes.Intake,
        admission: admissions.Admission,
        exchange: exchanges.Exchanges,
        desk: orders.OrderDesk,
        explanations: explain.Explanations,
        count: counters.Counters,
        is_current: Callable[[], bool],
    ) -> None:
        self._view = view
        self._intake = intake
        self._admission = admission
        self._exchange = exchange
        self._desk = desk
        self._explanations = explanations
        self._counters = count
        self._is_current = is_current
        self._operator_keys = _read_keys(settings.operator_key_file)
        # the default router is shared by all applications of a process
        self.application = callers.EntryApplication(router=blacksheep.Router())
        self._add_routes()

    def _add_routes(self) -> None:
        router = self.application.router
        completion = jobs.AnswerForm.COMPLETION
        chat = jobs.AnswerForm.CHAT
        router.add_post("/v1/chat/completions", self._completion(chat))
        router.add_post("/v1/completions", self._completion(completion))
        router.add_get("/v1/models", self._guarded(self._models))
        service = self._guarded(self._service)
        for method in SERVICE_METHODS:
            router.add(method, SERVICES_PATH + "*", service)
        router.add_get("/v1/orders/{key}", self._guarded(self._order))
        router.add_get("/v1/counters", self._guarded(self._counts))
        router.add_get("/metrics", self._guarded(self._counts))
        explained = self._guarded(self._explain)
        router.add_get("/v1/explain/{request_id}", explained)
        router.add_get("/health/live", self._guarded(self._live))
        router.add_get("/health/ready", self._guarded(self._ready))
        router.fallback = self._guarded(self._unknown)

    def _guarded(self, handler: Handler) -> Handler:
        async def answer(request: blacksheep.Request) -> blacksheep.Response:
            caller = callers.caller_of(request)
            try:
                if not caller.valid:
                    raise refusals.bad_request(
                        "X-Request-Id: expected 1 to 128 of A-Z a-z 0-9 ._:-"
                    )
                return await handler(request)
            except refusals.RefusalError as error:
                # an earlier sending under the same key may have run
                if request.has_header(b"idempotency-key"):
                    error.not_run &= error.settles_order
                self._exchange.refused(caller.request_id, "", error)
                return _response(error.answer())
            except callers.CallerGoneError:
                return blacksheep.Response(CLIENT_CLOSED_STATUS)
            except Exception as error:
                _LOG.error(
                    "handler_failed",
                    caller_request_id=caller.request_id,
                    error=repr(error),
                )
                refusal = refusals.RefusalError(
                    messages.Reason.INTERNAL,
                    "the entry failed",
                    not_run=False,
                )
                self._counters.refusal(refusal.reason)
                return _response(refusal.answer())

        return answer

    def _team(self, request: blacksheep.Request) -> str:
        if not self._view.revision():
            raise refusals.RefusalError(
                messages.Reason.STALE_VIEW,
                "this entry has no settings yet",
                not_run=True,
            )
        return self._intake.team(request, current=self._is_current()).name

    def _completion(self, form: jobs.AnswerForm) -> Handler:
        async def complete(
            request: blacksheep.Request,
        ) -> blacksheep.Response:
            caller = callers.caller_of(request)
            team = self._team(request)
            with contextlib.ExitStack() as held:
                held.enter_context(self._admission.admit(team))
                job = await self._intake.completion(
                    request, team, caller.request_id, form
                )
                if job.is_order:
                    return _response(await self._exchange.order(job))
                if not job.stream:
                    return _response(await self._exchange.whole(job, caller))
                answer = await self._exchange.stream(job, caller, held)
            return _stream_response(answer)

        return self._guarded(complete)

    async def _service(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        caller = callers.caller_of(request)
        team = self._team(request)
        raw_path = request.scope["raw_path"].decode("ascii")
        rest = raw_path.removeprefix(SERVICES_PATH)
        service, _, path = rest.partition("/")
        query = request.scope["query_string"].decode("ascii")
        path = f"/{path}?{query}" if query else f"/{path}"
        with self._admission.admit(team):
            job = await self._intake.service_call(
                request, team, caller.request_id, service, path
            )
            if job.is_order:
                return _response(await self._exchange.order(job))
            return _response(await self._exchange.whole(job, caller))

    async def _models(self, request: blacksheep.Request) -> blacksheep.Response:
        self._team(request)
        names = {
            target.model
            for target in self._view.fleet.target_by_name.values()
            if target.kind is records.TargetKind.ENGINE
            and target.state is records.TargetState.LIVE
        }
        models = [
            {"id": name, "object": "model", "owned_by": "lycheering"}
            for name in sorted(names)
        ]
        return _json({"object": "list", "data": models})

    async def _order(self, request: blacksheep.Request) -> blacksheep.Response:
        team = self._team(request)
        key = str(request.route_values["key"])
        reply = await self._desk.look_up(team, key)
        found: dict[str, object] = {
            "key": key,
            "state": reply.state.value,
            "request_id": reply.request_id,
        }
        if reply.outcome is not None:
            found["status"] = reply.outcome.status
            found["content_type"] = reply.outcome.content_type
            found["body"] = reply.outcome.body.decode("utf-8", "replace")
        return _json(found)

    async def _explain(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        self._check_operator(request)
        request_id = str(request.route_values["request_id"])
        found = self._explanations.of(request_id)
        if not found:
            raise refusals.RefusalError(
                messages.Reason.NOT_FOUND,
                "no choice is kept for this request",
                not_run=True,
            )
        body = msgspec.json.encode({"attempts": found})
        return _response(refusals.Answer(200, "application/json", body))

    def _check_operator(self, request: blacksheep.Request) -> None:
        given = intakes.header(request, b"authorization")
        key = given.partition(" ")[2].strip().encode()
        if self._operator_keys:
            known = [
                hmac.compare_digest(key, operator_key)
                for operator_key in self._operator_keys
            ]
            allowed = any(known)
        else:
            client = request.scope.get("client")
            allowed = client is not None and client[0] in LOOPBACK
        if not allowed:
            raise refusals.RefusalError(
                messages.Reason.UNAUTHORIZED,
                "expected an operator's key",
                not_run=True,
            )

    async def _counts(self, request: blacksheep.Request) -> blacksheep.Response:
        return _json(
            {
                "counters": dict(self._counters.value_by_name),
                "gauges": {
                    **self._counters.gauge_by_name,
                    "open_requests": self._admission.open_requests,
                    "view_revision": self._view.revision(),
                    "config_revision": self._view.fleet.config_revision,
                },
            }
        )

    async def _live(self, request: blacksheep.Request) -> blacksheep.Response:
        return _json({"live": True})

    async def _ready(self, request: blacksheep.Request) -> blacksheep.Response:
        ready = bool(self._view.revision()) and not self._admission.leaving
        return _json({"ready": ready}, 200 if ready else 503)

    async def _unknown(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        raise refusals.RefusalError(
            messages.Reason.NOT_FOUND, "no such endpoint", not_run=True
        )


def _read_keys(path: str) -> tuple[bytes, ...]:
    if not path:
        return ()
    lines = pathlib.Path(path).read_bytes().splitlines()
    return tuple(line.strip() for line in lines if line.strip())


def _json(value: object, status: int = 200) -> blacksheep.Response:
    body = json.dumps(value).encode()
    return _response(refusals.Answer(status, "application/json", body))


def _headers(header_by_name: dict[str, str]) -> list[tuple[bytes, bytes]]:
    return [
        (name.encode(), value.encode())
        for name, value in header_by_name.items()
    ]


def _response(answer: refusals.Answer) -> blacksheep.Response:
    return blacksheep.Response(
        answer.status,
        _headers(answer.header_by_name),
        blacksheep.Content(answer.content_type.encode(), answer.body),
    )


def _stream_response(
    answer: exchanges.StreamAnswer,
) -> blacksheep.Response:
    head = answer.head
    return blacksheep.Response(
        head.status,
        [*_headers(head.header_by_name), (b"cache-control", b"no-store")],
        blacksheep.StreamedContent(
            head.content_type.encode(), answer.sink.parts
        ),
    )


__all__ = ["EntryApi"]
