"""The platform's list of workers, as the targets of the fleet."""

from __future__ import annotations

import urllib.parse

import msgspec

from lycheering.control.direct import api
from lycheering.fleet import records
from lycheering.settings import model
from lycheering.telemetry import logs
from lycheering.web import client

LIST_PATH = "/instances"
CALL_TIMEOUT_MS = 1_000
MAX_PAGES = 100
STATE_BY_WORD = {
    "ready": records.TargetState.LIVE,
    "leaving": records.TargetState.LEAVING,
}

_LOG = logs.get("platform")


class _Model(msgspec.Struct):
    name: str
    version: int = 0


class _Instance(msgspec.Struct):
    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: str
    models: list[_Model] = []
    born: int = 0


class _Page(msgspec.Struct):
    instances: list[msgspec.Raw]
    next: str | int | None = None


class InstanceList(api.TargetList):
    """Reads all pages of the list."""

    def __init__(self, settings: model.DirectSettings) -> None:
        self._origin = client.Origin.parse(f"http://{settings.list_address}")

    async def read(self) -> list[records.DirectTarget]:
        """Returns every target that the list holds.

        Raises:
            ListUnavailableError: If it could not be read whole.
        """
        targets: list[records.DirectTarget] = []
        token: str | int | None = None
        for _ in range(MAX_PAGES):
            page = await self._page(token)
            for raw in page.instances:
                target = _target(raw)
                if target is not None:
                    targets.append(target)
            if page.next is None:
                return targets
            token = page.next
        raise api.ListUnavailableError(f"more than {MAX_PAGES} pages")

    async def _page(self, token: str | int | None) -> _Page:
        path = LIST_PATH
        if token is not None:
            path += f"?page_token={urllib.parse.quote(str(token))}"
        try:
            reply = await client.fetch(
                self._origin, "GET", path, timeout_ms=CALL_TIMEOUT_MS
            )
        except client.HttpError as error:
            raise api.ListUnavailableError(str(error)) from error
        if reply.head.status != 200:
            raise api.ListUnavailableError(f"status {reply.head.status}")
        try:
            return msgspec.json.decode(reply.body, type=_Page)
        except msgspec.DecodeError as error:
            raise api.ListUnavailableError(str(error)) from error


def _target(raw: msgspec.Raw) -> records.DirectTarget | None:
    """Returns the target of an entry, None if it can't be used."""
    try:
        found = msgspec.json.decode(raw, type=_Instance)
        state = STATE_BY_WORD[found.state]
        ip, port = model.split_peer_address(found.address)
        return records.DirectTarget(
            target_id=found.id,
            service=found.service,
            ip=ip,
            port=port,
            failure_domain=found.failure_domain,
            slots=found.slots,
            state=state,
            version_by_model={m.name: m.version for m in found.models},
            born_ms=found.born,
        )
    except (msgspec.DecodeError, KeyError, ValueError) as error:
        _LOG.warning("list_entry_unreadable", error=repr(error)[:200])
        return None


__all__ = ["InstanceList"]
