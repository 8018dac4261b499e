"""Reads the platform's lagging list of live and leaving instances."""

from __future__ import annotations

import asyncio
import enum

import pydantic

from lycheering.web import client

FETCH_TIMEOUT_MS = 2_000
MAX_LIST_BYTES = 4_194_304


class ListedState(enum.StrEnum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(pydantic.BaseModel):
    """One instance in the platform's list.

    Attributes:
        instance: Its name.
        ip: Its IP number.
        state: Whether it is leaving.
        failure_domain: The failure domain it is in.
    """

    instance: str
    ip: str = ""
    state: ListedState
    failure_domain: str = ""


class PlatformListing(pydantic.BaseModel):
    """The platform's answer.

    Attributes:
        instances: All instances that it knows.
    """

    instances: list[ListedInstance]

    def state_by_instance(self) -> dict[str, ListedState]:
        """Returns the state of each instance listed."""
        return {item.instance: item.state for item in self.instances}


class PlatformError(Exception):
    """The list can't be had or read now."""


async def fetch(origin: client.Origin) -> PlatformListing:
    """Reads the list.

    Raises:
        PlatformError: If it can't be had or read.
    """
    try:
        reply = await client.fetch(
            origin,
            "GET",
            "/instances",
            timeout_ms=FETCH_TIMEOUT_MS,
            max_bytes=MAX_LIST_BYTES,
        )
        if reply.head.status != 200:
            raise PlatformError(f"status {reply.head.status}")
        # a long list would hold up the heartbeats of this process
        return await asyncio.to_thread(
            PlatformListing.model_validate_json, reply.body
        )
    except (client.HttpError, pydantic.ValidationError) as error:
        raise PlatformError(str(error)[:200]) from error


__all__ = [
    "ListedInstance",
    "ListedState",
    "PlatformError",
    "PlatformListing",
    "fetch",
]
