"""Speaks to the kept-KV store, and to the engine about it."""

from __future__ import annotations

import abc
import asyncio
from typing import TYPE_CHECKING

import msgspec

from lycheering.targets import api
from lycheering.targets import exchange as exchanges
from lycheering.web import client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from lycheering.cache import pieces
    from lycheering.settings import model

LOOKUPS_AT_ONCE = 8


class KeptStore(abc.ABC):
    """The kept-KV store, as an agent uses it for its engine."""

    @abc.abstractmethod
    async def find(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> list[pieces.ChainLink]:
        """Returns the leading pieces that the store has for the weights.

        Raises:
            TargetError: If the store can't be asked.
        """

    @abc.abstractmethod
    async def absent(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> list[pieces.ChainLink]:
        """Returns the pieces that the store lacks for the weights.

        Raises:
            TargetError: If the store can't be asked.
        """

    @abc.abstractmethod
    async def fetch(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> int:
        """Has the engine import pieces and returns how many it took.

        Raises:
            TargetError: If the engine can't be asked.
        """

    @abc.abstractmethod
    async def export(self, keys: Sequence[bytes]) -> None:
        """Has the engine put pieces into the store.

        Raises:
            TargetError: If the engine can't be asked.
        """


class _NamedBlock(msgspec.Struct):
    block: str
    parent: str
    salt: str


class _Import(msgspec.Struct):
    blocks: list[_NamedBlock]
    weights_version: str


class _Imported(msgspec.Struct):
    imported: list[str] = []


class _Export(msgspec.Struct):
    blocks: list[str]


class HttpKeptStore(KeptStore):
    """The store and the engine by HTTP."""

    def __init__(
        self, settings: model.AgentSettings, wire: model.WireSettings
    ) -> None:
        self._engine = client.Origin.parse(settings.url)
        self._store = client.Origin.parse(settings.kv_store_url)
        self._wire = wire

    async def find(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> list[pieces.ChainLink]:
        """Returns the leading pieces that the store has for the weights."""
        found: list[pieces.ChainLink] = []
        async for link, is_held in self._looked_up(links, weights_version):
            if not is_held:
                break
            found.append(link)
        return found

    async def absent(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> list[pieces.ChainLink]:
        """Returns the pieces that the store lacks for the weights."""
        return [
            link
            async for link, is_held in self._looked_up(links, weights_version)
            if not is_held
        ]

    async def _looked_up(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> AsyncIterator[tuple[pieces.ChainLink, bool]]:
        """Yields each piece and whether the store has it, some at once."""
        for start in range(0, len(links), LOOKUPS_AT_ONCE):
            part = links[start : start + LOOKUPS_AT_ONCE]
            hits = await asyncio.gather(
                *(self._has(link, weights_version) for link in part)
            )
            for link, is_held in zip(part, hits, strict=True):
                yield link, is_held

    async def _has(self, link: pieces.ChainLink, weights_version: str) -> bool:
        request = api.TargetCall(
            "kept", "HEAD", f"/kv/{link.key.hex()}", b"", "application/json"
        )
        exchange = await exchanges.send(self._store, request, lambda: None)
        try:
            head = await exchanges.read_head(exchange, self._wire.silence_ms)
        finally:
            exchange.close()
        return (
            head.status == 200
            and head.header("x-weights-version") == weights_version
            and head.header("x-scope") == link.salt
        )

    async def fetch(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> int:
        """Has the engine import pieces and returns how many it took."""
        blocks = [
            _NamedBlock(link.key.hex(), link.parent.hex(), link.salt)
            for link in links
        ]
        body = msgspec.json.encode(_Import(blocks, weights_version))
        reply = await self._post("/cache/import", body)
        try:
            imported = msgspec.json.decode(reply.body, type=_Imported)
        except msgspec.DecodeError as error:
            raise api.BrokenAnswerError("malformed import reply") from error
        return len(imported.imported)

    async def export(self, keys: Sequence[bytes]) -> None:
        """Has the engine put pieces into the store."""
        body = msgspec.json.encode(_Export([key.hex() for key in keys]))
        await self._post("/cache/export", body)

    async def _post(self, path: str, body: bytes) -> client.Reply:
        return await exchanges.fetch(
            self._engine, self._wire, "POST", path, body=body
        )


__all__ = ["HttpKeptStore", "KeptStore"]
