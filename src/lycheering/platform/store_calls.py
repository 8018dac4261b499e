"""Calls to the platform's stores of cache entries."""

from __future__ import annotations

import msgspec

from lycheering.control.direct import api
from lycheering.web import client

# from the newest event on, so that none are sent
EVENTS_PATH = "/v1/kv-events?since=9007199254740991"
WAIT_MS_HEADER = "Wait-Ms"
# a shorter wait counts as a health check
WAIT_MS = 300
CALL_TIMEOUT_MS = 900


class _Events(msgspec.Struct):
    # one number for each start, not a fencing number
    boot_epoch: int


class PlatformStores(api.StoreCalls):
    """Calls stores over HTTP."""

    async def read_run_number(self, ip: str, port: int) -> int:
        """Returns a number that each start of a store changes.

        Raises:
            StoreUnreachableError: If it gave no answer that can be read.
        """
        try:
            reply = await client.fetch(
                client.Origin(ip, port),
                "GET",
                EVENTS_PATH,
                header_by_name={WAIT_MS_HEADER: str(WAIT_MS)},
                timeout_ms=CALL_TIMEOUT_MS,
            )
        except client.HttpError as error:
            raise api.StoreUnreachableError(str(error)) from error
        if reply.head.status != 200:
            raise api.StoreUnreachableError(f"status {reply.head.status}")
        try:
            return msgspec.json.decode(reply.body, type=_Events).boot_epoch
        except msgspec.DecodeError as error:
            raise api.StoreUnreachableError(str(error)) from error


__all__ = ["PlatformStores"]
