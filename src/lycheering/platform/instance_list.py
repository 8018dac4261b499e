"""Reads the platform's list of instances as targets of the fleet."""

from __future__ import annotations

from typing import Annotated
import urllib.parse

import msgspec

from lycheering import json_input
from lycheering.control.direct import api
from lycheering.fleet import records
from lycheering.settings import model
from lycheering.telemetry import logs
from lycheering.web import client

LIST_PATH = "/instances"
CALL_TIMEOUT_MS = 1_000
MAX_PAGES = 100
# of all pages together
MAX_LIST_BYTES = 16_777_216
STATE_BY_NAME = {
    "ready": records.TargetState.LIVE,
    "leaving": records.TargetState.LEAVING,
}

_LOG = logs.get("platform")


_Text = Annotated[str, msgspec.Meta(max_length=json_input.MAX_TEXT_LENGTH)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=json_input.MAX_INTEGER)]


# an id is sent as a header
_Id = Annotated[
    str,
    msgspec.Meta(pattern=r"\A[!-~]+\Z", max_length=json_input.MAX_TEXT_LENGTH),
]


class _LoadedModel(msgspec.Struct):
    name: _Text
    version: _Count


class _Instance(msgspec.Struct, kw_only=True):
    """An entry of the list, which is malformed without one of its fields.

    Only engines have models, and not all lists have the time of the start.
    """

    id: _Id
    service: _Text
    address: _Text
    failure_domain: _Text
    slots: _Count
    state: _Text
    # of the software, not of the weights
    version: _Text
    # of no use here, but an entry without it is not the platform's
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    models: Annotated[list[_LoadedModel], msgspec.Meta(max_length=64)] = []
    born: _Count = 0


class _Page(msgspec.Struct):
    instances: list[msgspec.Raw]
    # required, as only a page that says so is the last one
    next: str | int | None

    @classmethod
    def decode(cls, data: bytes) -> _Page:
        """Decodes a page, whatever its entries hold.

        Raises:
            msgspec.DecodeError: If it is no page.
        """
        try:
            return json_input.decode(data, cls)
        except msgspec.DecodeError:
            rest, entries = json_input.cut_out_array(data, "instances")
            page = json_input.decode(rest, cls)
            page.instances = [msgspec.Raw(entry) for entry in entries]
            return page


class InstanceList(api.TargetList):
    """The platform's list of instances, which is served in pages."""

    def __init__(self, settings: model.DirectSettings) -> None:
        self._origin = client.Origin.parse(f"http://{settings.list_address}")

    async def read(self) -> list[records.DirectTarget]:
        """Returns the targets of all pages, without malformed entries.

        Raises:
            ListUnavailableError: If the list could not be read completely.
        """
        targets: list[records.DirectTarget] = []
        page_token: str | int | None = None
        read_tokens = {page_token}
        left_bytes = MAX_LIST_BYTES
        for _ in range(MAX_PAGES):
            body = await self._fetch_page(page_token, left_bytes)
            left_bytes -= len(body)
            try:
                page = _Page.decode(body)
            except msgspec.DecodeError as error:
                raise api.ListUnavailableError(str(error)) from error
            for raw in page.instances:
                target = _parse_target(raw)
                if target is not None:
                    targets.append(target)
            if page.next is None:
                return targets
            page_token = page.next
            if page_token in read_tokens:
                raise api.ListUnavailableError("the list names a page twice")
            read_tokens.add(page_token)
        raise api.ListUnavailableError(
            f"the list has more than {MAX_PAGES} pages"
        )

    async def _fetch_page(
        self, page_token: str | int | None, max_bytes: int
    ) -> bytes:
        path = LIST_PATH
        if page_token is not None:
            path += f"?page_token={urllib.parse.quote(str(page_token))}"
        try:
            reply = await client.fetch(
                self._origin,
                "GET",
                path,
                timeout_ms=CALL_TIMEOUT_MS,
                max_bytes=max_bytes,
            )
        except client.HttpError as error:
            raise api.ListUnavailableError(str(error)) from error
        if reply.head.status != 200:
            raise api.ListUnavailableError(f"status {reply.head.status}")
        return reply.body


def _parse_target(raw: msgspec.Raw) -> records.DirectTarget | None:
    """Parses an entry of the list; returns None if it is malformed."""
    try:
        instance = json_input.decode(raw, _Instance)
        state = STATE_BY_NAME[instance.state]
        ip, port = model.split_peer_address(instance.address)
        return records.DirectTarget(
            target_id=instance.id,
            service=instance.service,
            ip=ip,
            port=port,
            failure_domain=instance.failure_domain,
            slots=instance.slots,
            state=state,
            version_by_model={m.name: m.version for m in instance.models},
            born_ms=instance.born,
            software_version=instance.version,
        )
    except (msgspec.DecodeError, KeyError, ValueError) as error:
        _LOG.warning("list_entry_unreadable", error=repr(error)[:200])
        return None


__all__ = ["InstanceList"]
