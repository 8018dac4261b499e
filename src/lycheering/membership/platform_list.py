"""Fetches the platform's list of instances.

The list may lag behind the actual state of the instances.
"""

from __future__ import annotations

import asyncio
import enum

import pydantic

from lycheering.web import client

FETCH_TIMEOUT_MS = 2_000
MAX_LIST_BYTES = 4_194_304


class ListedState(enum.StrEnum):
    """The state of an instance on the list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(pydantic.BaseModel):
    """An instance on the platform's list.

    Attributes:
        instance: The name of the instance.
        ip: Its IP address.
        state: Whether it is live or leaving.
        failure_domain: Its failure domain.
    """

    instance: str
    ip: str = ""
    state: ListedState
    failure_domain: str = ""


class PlatformListing(pydantic.BaseModel):
    """The platform's list of instances.

    Attributes:
        instances: All instances that the platform knows.
    """

    instances: list[ListedInstance]

    def state_by_instance(self) -> dict[str, ListedState]:
        """Returns the state of each instance listed."""
        return {item.instance: item.state for item in self.instances}


class PlatformError(Exception):
    """The list could not be fetched or parsed."""


async def fetch_list(origin: client.Origin) -> PlatformListing:
    """Fetches the list.

    Raises:
        PlatformError: If the list could not be fetched or parsed.
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
        # parsing a long list on the event loop would delay heartbeats
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
    "fetch_list",
]
