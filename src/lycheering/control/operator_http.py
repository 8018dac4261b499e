"""The operators' HTTP endpoint of a control instance."""

from __future__ import annotations

import hmac
import pathlib
from typing import TYPE_CHECKING
from typing import TypeVar

import blacksheep
import msgspec
import pydantic

from lycheering import integers
from lycheering.control import commands
from lycheering.control import operator_errors
from lycheering.control import operator_models as models
from lycheering.operator import answers
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lycheering.control import operator_reads
    from lycheering.control import operator_writes
    from lycheering.telemetry import counters

    Action = Callable[[blacksheep.Request], Awaitable[msgspec.Struct]]

MAX_BODY_BYTES = 1_048_576
DEFAULT_LIMIT = 100
MAX_LIMIT = 10_000
HEALTH_PATH = "/health/"

_LOG = logs.get("operator")
_Model = TypeVar("_Model", bound=models.Body)


def load_keys(path: str) -> tuple[bytes, ...]:
    """Returns the operators' bearer keys, one per line of a file."""
    if not path:
        return ()
    text = pathlib.Path(path).read_text(encoding="utf-8")
    lines = (line.strip() for line in text.splitlines())
    keys = tuple(line.encode() for line in lines if line)
    if not keys:
        raise ValueError(f"{path}: contains no key")
    return keys


class OperatorEndpoint:
    """Routes requests to reads and writes, and errors to responses.

    Attributes:
        application: The application that the HTTP server runs.
    """

    def __init__(
        self,
        reads: operator_reads.OperatorReads,
        writes: operator_writes.OperatorWrites,
        keys: tuple[bytes, ...],
        counts: counters.Counters,
    ) -> None:
        # the default router is shared by all applications in the process
        self.application = blacksheep.Application(router=blacksheep.Router())
        self._reads = reads
        self._writes = writes
        self._keys = keys
        self._counters = counts
        self._add_routes()

    def _add_routes(self) -> None:
        router = self.application.router
        read_by_path: dict[str, Action] = {
            "/health/live": self._live,
            "/health/ready": self._ready,
            "/v1/defaults": lambda _: self._reads.defaults(),
            "/v1/exceptions": lambda _: self._reads.exceptions(),
            "/v1/teams": lambda _: self._reads.teams(),
            "/v1/history": self._history,
            "/v1/status": self._status,
            "/v1/targets": lambda _: self._reads.targets(),
            "/v1/orders": self._orders,
            "/v1/orders/{team}/{key}": self._order,
            "/v1/members": lambda _: self._reads.members(),
            "/v1/counters": self._counts,
            "/v1/counters/{target}": self._target_counts,
        }
        for path, action in read_by_path.items():
            router.add_get(path, self._guarded(action))
        post_by_path: dict[str, Action] = {
            "/v1/defaults": self._set_default,
            "/v1/exceptions": self._add_exception,
            "/v1/targets/{name}/drain": self._drain,
            "/v1/targets/{name}/undrain": self._undrain,
            "/v1/orders/{order_id}/resolve": self._resolve,
            "/v1/members/replace": self._replace,
            "/v1/members/cancel": self._cancel_change,
        }
        for path, action in post_by_path.items():
            router.add_post(path, self._guarded(action))
        router.add_delete(
            "/v1/exceptions/{exception_id}",
            self._guarded(self._remove_exception),
        )
        router.add_put("/v1/teams/{name}", self._guarded(self._put_team))
        router.add_delete("/v1/teams/{name}", self._guarded(self._remove_team))

    def _guarded(
        self, action: Action
    ) -> Callable[[blacksheep.Request], Awaitable[blacksheep.Response]]:
        async def handler(request: blacksheep.Request) -> blacksheep.Response:
            try:
                self._authorize(request)
                answer = await action(request)
            except operator_errors.OperatorError as error:
                self._counters.count_refusal(f"operator.{error.detail.reason}")
                return operator_errors.error_response(error)
            except Exception as error:
                _LOG.error("operator_call_failed", error=repr(error))
                kind = type(error).__name__
                failed = operator_errors.OperatorError(500, "internal", kind)
                return operator_errors.error_response(failed)
            return self._respond(answer)

        return handler

    def _respond(self, answer: msgspec.Struct) -> blacksheep.Response:
        is_unready = (
            isinstance(answer, answers.ReadyAnswer) and not answer.ready
        )
        return operator_errors.json_response(answer, 503 if is_unready else 200)

    def _authorize(self, request: blacksheep.Request) -> None:
        path = request.url.path.decode("latin-1")
        if not self._keys or path.startswith(HEALTH_PATH):
            return
        header = request.get_first_header(b"Authorization") or b""
        given = header.removeprefix(b"Bearer ")
        # compares all keys, so that the time doesn't reveal which one matches
        matches = [hmac.compare_digest(key, given) for key in self._keys]
        if not any(matches):
            raise operator_errors.OperatorError(
                401, "unauthorized", "the bearer key is missing or unknown"
            )

    async def _body(
        self, request: blacksheep.Request, shape: type[_Model]
    ) -> _Model:
        size = request.get_first_header(b"Content-Length") or b"0"
        if not size.isdigit() or int(size) > MAX_BODY_BYTES:
            raise operator_errors.bad_request(["body: is too large"])
        data = await request.read() or b""
        if len(data) > MAX_BODY_BYTES:
            raise operator_errors.bad_request(["body: is too large"])
        try:
            return shape.model_validate_json(data)
        except pydantic.ValidationError as error:
            raise operator_errors.invalid_body(error) from error

    # reads

    async def _live(self, request: blacksheep.Request) -> msgspec.Struct:
        return answers.LiveAnswer()

    async def _ready(self, request: blacksheep.Request) -> msgspec.Struct:
        return self._reads.health()

    async def _counts(self, request: blacksheep.Request) -> msgspec.Struct:
        return self._reads.counters()

    async def _target_counts(
        self, request: blacksheep.Request
    ) -> msgspec.Struct:
        return await self._reads.target_counters(_path_value(request, "target"))

    async def _history(self, request: blacksheep.Request) -> msgspec.Struct:
        limit = _query_number(request, "limit", DEFAULT_LIMIT, MAX_LIMIT)
        return await self._reads.history(limit)

    async def _status(self, request: blacksheep.Request) -> msgspec.Struct:
        revision = _query_number(request, "wait_revision", 0, 2**53)
        timeout_ms = _query_number(request, "timeout_ms", 0, 60_000)
        return await self._reads.status(revision, timeout_ms)

    async def _orders(self, request: blacksheep.Request) -> msgspec.Struct:
        limit = _query_number(request, "limit", DEFAULT_LIMIT, MAX_LIMIT)
        return await self._reads.orders(_query_text(request, "state"), limit)

    async def _order(self, request: blacksheep.Request) -> msgspec.Struct:
        team = _path_value(request, "team")
        return await self._reads.order(team, _path_value(request, "key"))

    # writes

    async def _set_default(self, request: blacksheep.Request) -> msgspec.Struct:
        body = await self._body(request, models.DefaultBody)
        return await self._writes.set_default(body)

    async def _add_exception(
        self, request: blacksheep.Request
    ) -> msgspec.Struct:
        body = await self._body(request, models.ExceptionBody)
        return await self._writes.add_exception(body)

    async def _remove_exception(
        self, request: blacksheep.Request
    ) -> msgspec.Struct:
        body = await self._body(request, models.ChangeBody)
        removed = _path_value(request, "exception_id")
        return await self._writes.change(
            body, commands.RemoveException(removed)
        )

    async def _put_team(self, request: blacksheep.Request) -> msgspec.Struct:
        body = await self._body(request, models.TeamBody)
        return await self._writes.put_team(_path_value(request, "name"), body)

    async def _remove_team(self, request: blacksheep.Request) -> msgspec.Struct:
        body = await self._body(request, models.ChangeBody)
        name = _path_value(request, "name")
        return await self._writes.change(body, commands.RemoveTeam(name))

    async def _drain(self, request: blacksheep.Request) -> msgspec.Struct:
        body = await self._body(request, models.ChangeBody)
        return await self._writes.drain(_path_value(request, "name"), body)

    async def _undrain(self, request: blacksheep.Request) -> msgspec.Struct:
        body = await self._body(request, models.ChangeBody)
        return await self._writes.undrain(_path_value(request, "name"), body)

    async def _resolve(self, request: blacksheep.Request) -> msgspec.Struct:
        body = await self._body(request, models.ResolveBody)
        order_id = _path_value(request, "order_id")
        return await self._writes.resolve(order_id, body)

    async def _replace(self, request: blacksheep.Request) -> msgspec.Struct:
        body = await self._body(request, models.ReplaceBody)
        return await self._writes.replace(body)

    async def _cancel_change(
        self, request: blacksheep.Request
    ) -> msgspec.Struct:
        body = await self._body(request, models.CancelChangeBody)
        return await self._writes.cancel_change(body)


def _path_value(request: blacksheep.Request, name: str) -> str:
    values = request.route_values or {}
    return str(values[name])


def _query_text(request: blacksheep.Request, name: str) -> str:
    values = request.query.get(name) or [""]
    return str(values[0])


def _query_number(
    request: blacksheep.Request, name: str, default: int, maximum: int
) -> int:
    text = _query_text(request, name)
    if not text:
        return default
    number = integers.parse_non_negative(text)
    if number is None or number > maximum:
        raise operator_errors.bad_request(
            [f"{name}: expected a number from 0 to {maximum}, found {text!r}"]
        )
    return number


__all__ = ["MAX_BODY_BYTES", "OperatorEndpoint", "load_keys"]
