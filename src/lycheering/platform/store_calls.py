"""Calls to the platform's stores of KV cache entries."""

from __future__ import annotations

from typing import Annotated

import msgspec

from lycheering import json_input
from lycheering.control.direct import api
from lycheering.web import client

# `since` has its largest value, so that the answer holds no events
EVENTS_PATH = "/v1/kv-events?since=9007199254740991"
WAIT_MS_HEADER = "Wait-Ms"
# the store treats a call with a shorter wait as a health check
WAIT_MS = 300
CALL_TIMEOUT_MS = 900
MAX_REPLY_BYTES = 65_536


class _EventsReply(msgspec.Struct):
    # changes at each start of the store; it is no fencing number
    boot_epoch: Annotated[
        int,
        msgspec.Meta(ge=-json_input.MAX_INTEGER, le=json_input.MAX_INTEGER),
    ]


class PlatformStores(api.StoreCalls):
    """Calls to the platform's stores over HTTP."""

    async def read_run_number(self, ip: str, port: int) -> int:
        """Returns the run number of a store, which changes at each start.

        Raises:
            StoreUnreachableError: If the store gave no answer that could be
                parsed.
        """
        try:
            reply = await client.fetch(
                client.Origin(ip, port),
                "GET",
                EVENTS_PATH,
                header_by_name={WAIT_MS_HEADER: str(WAIT_MS)},
                timeout_ms=CALL_TIMEOUT_MS,
                max_bytes=MAX_REPLY_BYTES,
            )
        except client.HttpError as error:
            raise api.StoreUnreachableError(str(error)) from error
        if reply.head.status != 200:
            raise api.StoreUnreachableError(f"status {reply.head.status}")
        try:
            return json_input.decode(reply.body, _EventsReply).boot_epoch
        except msgspec.DecodeError as error:
            raise api.StoreUnreachableError(str(error)) from error


__all__ = ["PlatformStores"]
