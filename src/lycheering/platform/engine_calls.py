"""Fetches reports from the platform's engines and sends orders to them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated

import msgspec

from lycheering import json_input
from lycheering.control.direct import api
from lycheering.telemetry import logs
from lycheering.web import client

if TYPE_CHECKING:
    from lycheering.fleet import records

REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"
REPORT_TIMEOUT_MS = 800
# engines answer an order immediately or not at all
ORDER_TIMEOUT_MS = 400
# a leader calls all engines at once, and any of them may send without end
MAX_REPLY_BYTES = 65_536
TARGET_ID_HEADER = "X-Expect-Instance"
# running requests continue while the weights are replaced
RETAIN_MODE = "retain"
RESULT_BY_STATUS = {
    202: api.OrderResult.ACCEPTED,
    200: api.OrderResult.HOLDS_ALREADY,
    409: api.OrderResult.CONFLICT,
    412: api.OrderResult.FENCED,
    421: api.OrderResult.GONE,
}

_LOG = logs.get("platform")


_Count = Annotated[int, msgspec.Meta(ge=0, le=json_input.MAX_INTEGER)]


class _LoadedModel(msgspec.Struct):
    name: str
    version: _Count = 0


class _Report(msgspec.Struct):
    models: list[_LoadedModel]
    # whether the engine is carrying out an order; says nothing of its load
    busy: bool
    # number of orders accepted since the engine started
    sequence: _Count


class _Order(msgspec.Struct):
    op: str
    model: str
    version: int
    mode: str
    holder: str
    fence: int
    # the engine rejects the order if its `sequence` differs from this
    precondition: int


class PlatformEngines(api.EngineCalls):
    """Calls to the platform's engines over HTTP."""

    async def fetch_report(
        self, target: records.DirectTarget
    ) -> api.EngineReport:
        """Returns the state that an engine reports.

        Raises:
            EngineUnreachableError: If the engine gave no answer that could be
                parsed.
        """
        try:
            reply = await client.fetch(
                _origin(target),
                "GET",
                REPORT_PATH,
                header_by_name={TARGET_ID_HEADER: target.target_id},
                timeout_ms=REPORT_TIMEOUT_MS,
                max_bytes=MAX_REPLY_BYTES,
            )
        except client.HttpError as error:
            raise api.EngineUnreachableError(str(error)) from error
        if reply.head.status != 200:
            raise api.EngineUnreachableError(f"status {reply.head.status}")
        try:
            report = json_input.decode(reply.body, _Report)
        except msgspec.DecodeError as error:
            raise api.EngineUnreachableError(str(error)) from error
        return api.EngineReport(
            {model.name: model.version for model in report.models},
            report.busy,
            report.sequence,
        )

    async def send_order(
        self, target: records.DirectTarget, order: api.WeightsOrder
    ) -> api.OrderResult:
        """Sends an order to an engine.

        Returns:
            The engine's answer, `UNKNOWN` if there was none.
        """
        body = msgspec.json.encode(
            _Order(
                "version",
                order.model,
                order.version,
                RETAIN_MODE,
                order.holder,
                order.fence,
                order.sequence,
            )
        )
        try:
            reply = await client.fetch(
                _origin(target),
                "POST",
                ORDER_PATH,
                header_by_name={
                    TARGET_ID_HEADER: target.target_id,
                    "Content-Type": "application/json",
                },
                body=body,
                timeout_ms=ORDER_TIMEOUT_MS,
                max_bytes=MAX_REPLY_BYTES,
            )
        except client.HttpError as error:
            _LOG.warning(
                "order_unanswered", target=target.target_id, error=error
            )
            return api.OrderResult.UNKNOWN
        return RESULT_BY_STATUS.get(reply.head.status, api.OrderResult.REFUSED)


def _origin(target: records.DirectTarget) -> client.Origin:
    return client.Origin(target.ip, target.port)


__all__ = ["PlatformEngines"]
