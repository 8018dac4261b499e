"""HTTP endpoints for callers, the load balancer and operators."""

from __future__ import annotations

import contextlib
import hmac
import json
import pathlib
from typing import TYPE_CHECKING

import blacksheep
import msgspec

from lycheering.entry import callers
from lycheering.entry import job as jobs
from lycheering.entry import refusals
from lycheering.entry import request_parser
from lycheering.fleet import records
from lycheering.telemetry import logs
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lycheering.entry import admission as admissions
    from lycheering.entry import job_runner as job_runners
    from lycheering.entry import orders
    from lycheering.fleet import view_holder
    from lycheering.routing import explanations as routing_explanations
    from lycheering.settings import model
    from lycheering.telemetry import counters

    Handler = Callable[[blacksheep.Request], Awaitable[blacksheep.Response]]

SERVICES_PATH = "/v1/services/"
SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
LOOPBACK_ADDRESSES = frozenset({"127.0.0.1", "::1"})
CLIENT_CLOSED_STATUS = 499

_LOG = logs.get("http")


class EntryApi:
    """Handles the HTTP requests to an entry.

    Attributes:
        application: The ASGI application.
    """

    def __init__(
        self,
        settings: model.EntrySettings,
        view: view_holder.ViewHolder,
        parser: request_parser.RequestParser,
        admission: admissions.Admission,
        job_runner: job_runners.JobRunner,
        order_dispatcher: orders.OrderDispatcher,
        explanations: routing_explanations.Explanations,
        count: counters.Counters,
        is_current: Callable[[], bool],
    ) -> None:
        self._view = view
        self._request_parser = parser
        self._admission = admission
        self._job_runner = job_runner
        self._order_dispatcher = order_dispatcher
        self._explanations = explanations
        self._counters = count
        self._is_current = is_current
        self._operator_keys = _read_operator_keys(settings.operator_key_file)
        # blacksheep's default router is shared by all applications of a
        # process
        self.application = callers.EntryApplication(router=blacksheep.Router())
        self._add_routes()

    def _add_routes(self) -> None:
        router = self.application.router
        completion = jobs.AnswerForm.COMPLETION
        chat = jobs.AnswerForm.CHAT
        router.add_post("/v1/chat/completions", self._completion_handler(chat))
        router.add_post("/v1/completions", self._completion_handler(completion))
        router.add_get(
            "/v1/models", self._with_error_responses(self._list_models)
        )
        service_handler = self._with_error_responses(self._call_service)
        for method in SERVICE_METHODS:
            router.add(method, SERVICES_PATH + "*", service_handler)
        router.add_get(
            "/v1/orders/{key}", self._with_error_responses(self._get_order)
        )
        router.add_get(
            "/v1/counters", self._with_error_responses(self._get_counters)
        )
        router.add_get(
            "/metrics", self._with_error_responses(self._get_counters)
        )
        explain_handler = self._with_error_responses(self._explain_choice)
        router.add_get("/v1/explain/{request_id}", explain_handler)
        router.add_get(
            "/health/live", self._with_error_responses(self._check_live)
        )
        router.add_get(
            "/health/ready", self._with_error_responses(self._check_ready)
        )
        router.fallback = self._with_error_responses(self._reject_unknown_path)

    def _with_error_responses(self, handler: Handler) -> Handler:
        async def handle(request: blacksheep.Request) -> blacksheep.Response:
            caller = callers.caller_of(request)
            try:
                if not caller.has_valid_id:
                    raise refusals.bad_request(
                        "X-Request-Id: expected 1 to 128 of A-Z a-z 0-9 ._:-"
                    )
                return await handler(request)
            except refusals.RefusalError as error:
                # an earlier call under the same key may have run
                if request.has_header(b"idempotency-key"):
                    error.not_run &= error.is_order_not_run
                self._job_runner.record_refusal(caller.request_id, "", error)
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
                    "internal error of the entry",
                    not_run=False,
                )
                self._counters.count_refusal(refusal.reason)
                return _response(refusal.answer())

        return handle

    def _authenticate_team(self, request: blacksheep.Request) -> str:
        if not self._view.revision():
            raise refusals.RefusalError(
                messages.Reason.STALE_VIEW,
                "this entry has not received its settings yet",
                not_run=True,
            )
        return self._request_parser.authenticate_team(
            request, is_current=self._is_current()
        ).name

    def _completion_handler(self, form: jobs.AnswerForm) -> Handler:
        async def complete(
            request: blacksheep.Request,
        ) -> blacksheep.Response:
            caller = callers.caller_of(request)
            team = self._authenticate_team(request)
            with contextlib.ExitStack() as resources:
                resources.enter_context(self._admission.admit(team))
                job = await self._request_parser.parse_completion(
                    request, team, caller.request_id, form
                )
                if job.is_order:
                    return _response(await self._job_runner.run_order(job))
                if not job.stream:
                    return _response(
                        await self._job_runner.run_whole(job, caller)
                    )
                answer = await self._job_runner.run_stream(
                    job, caller, resources
                )
            return _stream_response(answer)

        return self._with_error_responses(complete)

    async def _call_service(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        caller = callers.caller_of(request)
        team = self._authenticate_team(request)
        raw_path = request.scope["raw_path"].decode("ascii")
        service_path = raw_path.removeprefix(SERVICES_PATH)
        service, _, path = service_path.partition("/")
        query = request.scope["query_string"].decode("ascii")
        path = f"/{path}?{query}" if query else f"/{path}"
        with self._admission.admit(team):
            job = await self._request_parser.parse_service_call(
                request, team, caller.request_id, service, path
            )
            if job.is_order:
                return _response(await self._job_runner.run_order(job))
            return _response(await self._job_runner.run_whole(job, caller))

    async def _list_models(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        self._authenticate_team(request)
        model_names = {
            target.model
            for target in self._view.fleet.target_by_name.values()
            if target.kind is records.TargetKind.ENGINE
            and target.state is records.TargetState.LIVE
        }
        models = [
            {"id": name, "object": "model", "owned_by": "lycheering"}
            for name in sorted(model_names)
        ]
        return _json({"object": "list", "data": models})

    async def _get_order(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        team = self._authenticate_team(request)
        key = str(request.route_values["key"])
        reply = await self._order_dispatcher.look_up(team, key)
        order: dict[str, object] = {
            "key": key,
            "state": reply.state.value,
            "request_id": reply.request_id,
        }
        if reply.outcome is not None:
            order["status"] = reply.outcome.status
            order["content_type"] = reply.outcome.content_type
            order["body"] = reply.outcome.body.decode("utf-8", "replace")
        return _json(order)

    async def _explain_choice(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        self._check_operator(request)
        request_id = str(request.route_values["request_id"])
        attempts = self._explanations.for_request(request_id)
        if not attempts:
            raise refusals.RefusalError(
                messages.Reason.NOT_FOUND,
                "no routing decision is recorded for this request",
                not_run=True,
            )
        body = msgspec.json.encode({"attempts": attempts})
        return _response(refusals.Answer(200, "application/json", body))

    def _check_operator(self, request: blacksheep.Request) -> None:
        authorization = request_parser.header(request, b"authorization")
        key = authorization.partition(" ")[2].strip().encode()
        if self._operator_keys:
            matches = [
                hmac.compare_digest(key, operator_key)
                for operator_key in self._operator_keys
            ]
            is_allowed = any(matches)
        else:
            client = request.scope.get("client")
            is_allowed = client is not None and client[0] in LOOPBACK_ADDRESSES
        if not is_allowed:
            raise refusals.RefusalError(
                messages.Reason.UNAUTHORIZED,
                "expected an operator key",
                not_run=True,
            )

    async def _get_counters(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
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

    async def _check_live(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        return _json({"live": True})

    async def _check_ready(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        is_ready = (
            bool(self._view.revision()) and not self._admission.is_unready
        )
        return _json({"ready": is_ready}, 200 if is_ready else 503)

    async def _reject_unknown_path(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        raise refusals.RefusalError(
            messages.Reason.NOT_FOUND, "no such endpoint", not_run=True
        )


def _read_operator_keys(path: str) -> tuple[bytes, ...]:
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
    answer: job_runners.StreamAnswer,
) -> blacksheep.Response:
    head = answer.head
    return blacksheep.Response(
        head.status,
        [*_headers(head.header_by_name), (b"cache-control", b"no-store")],
        blacksheep.StreamedContent(
            head.content_type.encode(), answer.sink.iter_bytes
        ),
    )


__all__ = ["EntryApi"]
