"""Reports of and orders to the platform's engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.control.direct import api
from lycheering.telemetry import logs
from lycheering.web import client

if TYPE_CHECKING:
    from lycheering.fleet import records

REPORT_PATH = "/v1/report"
ORDER_PATH = "/v1/order"
REPORT_TIMEOUT_MS = 800
# an order that is answered at all is answered at once
ORDER_TIMEOUT_MS = 400
TARGET_ID_HEADER = "X-Expect-Instance"
# runs go on while the weights change under them
KEEP_RUNS = "retain"
RESULT_BY_STATUS = {
    202: api.OrderResult.ACCEPTED,
    200: api.OrderResult.HOLDS_ALREADY,
    409: api.OrderResult.CONFLICT,
    412: api.OrderResult.FENCED,
    421: api.OrderResult.GONE,
}

_LOG = logs.get("platform")


class _Model(msgspec.Struct):
    name: str
    version: int = 0


class _Report(msgspec.Struct):
    models: list[_Model]
    # whether an order is being carried out, not the load
    busy: bool
    # orders accepted since the start
    sequence: int


class _Order(msgspec.Struct):
    op: str
    model: str
    version: int
    mode: str
    holder: str
    fence: int
    # the value that `sequence` must have
    precondition: int


class PlatformEngines(api.EngineCalls):
    """Calls engines over HTTP."""

    async def fetch_report(
        self, target: records.DirectTarget
    ) -> api.EngineReport:
        """Returns what an engine says of itself.

        Raises:
            EngineUnreachableError: If it gave no answer that can be read.
        """
        try:
            reply = await client.fetch(
                _origin(target),
                "GET",
                REPORT_PATH,
                header_by_name={TARGET_ID_HEADER: target.target_id},
                timeout_ms=REPORT_TIMEOUT_MS,
            )
        except client.HttpError as error:
            raise api.EngineUnreachableError(str(error)) from error
        if reply.head.status != 200:
            raise api.EngineUnreachableError(f"status {reply.head.status}")
        try:
            found = msgspec.json.decode(reply.body, type=_Report)
        except msgspec.DecodeError as error:
            raise api.EngineUnreachableError(str(error)) from error
        return api.EngineReport(
            {item.name: item.version for item in found.models},
            found.busy,
            found.sequence,
        )

    async def send_order(
        self, target: records.DirectTarget, order: api.WeightsOrder
    ) -> api.OrderResult:
        """Gives an engine an order; no answer is `UNKNOWN`."""
        body = msgspec.json.encode(
            _Order(
                "version",
                order.model,
                order.version,
                KEEP_RUNS,
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
