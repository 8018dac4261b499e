"""The HTTP API of a control instance for the platform's operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import blacksheep
import msgspec

from lycheering.control.direct import route_admin
from lycheering.platform import documents
from lycheering.replication import errors
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Handler = Callable[[blacksheep.Request], Awaitable[blacksheep.Response]]

TABLE_PATH = "/v1/routes"
WEIGHTS_PATH = "/v1/weights"
JSON = b"application/json"

_LOG = logs.get("operator")


class _ChangeReply(msgspec.Struct):
    acknowledged: bool
    changed: bool


class _ErrorReply(msgspec.Struct):
    error: str
    findings: list[str] = []


class OperatorApi:
    """The HTTP API for the platform's operators.

    Attributes:
        application: The web application to be served.
    """

    def __init__(self, admin: route_admin.RouteAdmin) -> None:
        self._route_admin = admin
        # a router of its own, as the default one is shared by all
        # applications of the process
        self.application = blacksheep.Application(router=blacksheep.Router())
        router = self.application.router
        router.add_put(TABLE_PATH, self._with_error_replies(self._put_table))
        router.add_get(TABLE_PATH, self._with_error_replies(self._get_table))
        router.add_post(
            WEIGHTS_PATH, self._with_error_replies(self._post_weights)
        )

    def _with_error_replies(self, handle: Handler) -> Handler:
        async def handle_errors(
            request: blacksheep.Request,
        ) -> blacksheep.Response:
            path = request.url.path.decode("latin-1")
            try:
                return await handle(request)
            except (
                documents.DocumentError,
                route_admin.InvalidTableError,
            ) as error:
                _LOG.event("document_refused", path=path, error=str(error))
                reply = _ErrorReply("invalid", error.findings)
                return _json(400, reply)
            except errors.ReplicationError as error:
                _LOG.event("operator_waits", path=path, error=error)
                return _json(503, _ErrorReply(str(error)))
            except Exception as error:
                _LOG.error("operator_failed", path=path, error=repr(error))
                return _json(500, _ErrorReply(type(error).__name__))

        return handle_errors

    async def _put_table(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        source = await request.read() or b""
        table = documents.read_table(source)
        changed = await self._route_admin.put_table(table, source)
        _LOG.event("table_put", revision=table.revision, changed=changed)
        return _json(200, _ChangeReply(True, changed))

    async def _get_table(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        source = await self._route_admin.active_table_source()
        if not source:
            return _json(503, _ErrorReply("no configuration yet"))
        return blacksheep.Response(200, None, blacksheep.Content(JSON, source))

    async def _post_weights(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        model, version = documents.read_weights(await request.read() or b"")
        changed = await self._route_admin.name_weights(model, version)
        _LOG.event(
            "weights_named", model=model, version=version, changed=changed
        )
        return _json(200, _ChangeReply(True, changed))


def _json(status: int, reply: msgspec.Struct) -> blacksheep.Response:
    content = blacksheep.Content(JSON, msgspec.json.encode(reply))
    return blacksheep.Response(status, None, content)


__all__ = ["OperatorApi"]
