"""Client of the KV cache store beside an engine.

The store is looked up directly; blocks are moved by the engine, which
imports and exports them on request.
"""

from __future__ import annotations

import abc
import asyncio
from typing import TYPE_CHECKING

import msgspec

from lycheering.targets import api
from lycheering.targets import http_exchange
from lycheering.web import client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from lycheering.cache import pieces
    from lycheering.settings import model

MAX_CONCURRENT_LOOKUPS = 8


class KeptStore(abc.ABC):
    """The KV cache store, as an agent uses it for its engine."""

    @abc.abstractmethod
    async def find(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> list[pieces.ChainLink]:
        """Returns the leading pieces that are in the store.

        Args:
            links: The keys of the pieces, outermost first.
            weights_version: The version of the weights that the stored
                pieces must have been computed with.

        Raises:
            TargetError: If a lookup in the store fails.
        """

    @abc.abstractmethod
    async def absent(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> list[pieces.ChainLink]:
        """Returns the pieces that are not in the store.

        Args:
            links: The keys of the pieces.
            weights_version: The version of the weights that the stored
                pieces must have been computed with.

        Raises:
            TargetError: If a lookup in the store fails.
        """

    @abc.abstractmethod
    async def fetch(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> int:
        """Makes the engine import pieces from the store.

        Args:
            links: The keys of the pieces.
            weights_version: The version of the weights that the pieces must
                have been computed with.

        Returns:
            How many pieces the engine imported.

        Raises:
            TargetError: If the call to the engine fails.
        """

    @abc.abstractmethod
    async def export(self, keys: Sequence[bytes]) -> None:
        """Makes the engine export pieces to the store.

        Args:
            keys: The keys of the pieces.

        Raises:
            TargetError: If the call to the engine fails.
        """


class _BlockReference(msgspec.Struct):
    block: str
    parent: str
    salt: str


class _ImportRequest(msgspec.Struct):
    blocks: list[_BlockReference]
    weights_version: str


class _ImportReply(msgspec.Struct):
    imported: list[str] = []


class _ExportRequest(msgspec.Struct):
    blocks: list[str]


class HttpKeptStore(KeptStore):
    """Calls the store and the engine over HTTP."""

    def __init__(
        self, settings: model.AgentSettings, wire: model.WireSettings
    ) -> None:
        self._engine = client.Origin.parse(settings.url)
        self._store = client.Origin.parse(settings.kv_store_url)
        self._wire = wire

    async def find(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> list[pieces.ChainLink]:
        """Returns the leading pieces that are in the store."""
        found: list[pieces.ChainLink] = []
        async for link, is_stored in self._look_up(links, weights_version):
            if not is_stored:
                break
            found.append(link)
        return found

    async def absent(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> list[pieces.ChainLink]:
        """Returns the pieces that are not in the store."""
        return [
            link
            async for link, is_stored in self._look_up(links, weights_version)
            if not is_stored
        ]

    async def _look_up(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> AsyncIterator[tuple[pieces.ChainLink, bool]]:
        """Yields each piece and whether it is in the store, in batches."""
        for start in range(0, len(links), MAX_CONCURRENT_LOOKUPS):
            batch = links[start : start + MAX_CONCURRENT_LOOKUPS]
            hits = await asyncio.gather(
                *(self._is_stored(link, weights_version) for link in batch)
            )
            for link, is_stored in zip(batch, hits, strict=True):
                yield link, is_stored

    async def _is_stored(
        self, link: pieces.ChainLink, weights_version: str
    ) -> bool:
        request = api.TargetCall(
            "kept", "HEAD", f"/kv/{link.key.hex()}", b"", "application/json"
        )
        exchange = await http_exchange.send(self._store, request, lambda: None)
        try:
            head = await http_exchange.read_head(
                exchange, self._wire.silence_ms
            )
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
        """Makes the engine import pieces from the store."""
        blocks = [
            _BlockReference(link.key.hex(), link.parent.hex(), link.salt)
            for link in links
        ]
        body = msgspec.json.encode(_ImportRequest(blocks, weights_version))
        reply = await self._post("/cache/import", body)
        try:
            import_reply = msgspec.json.decode(reply.body, type=_ImportReply)
        except msgspec.DecodeError as error:
            raise api.BrokenAnswerError("malformed import reply") from error
        return len(import_reply.imported)

    async def export(self, keys: Sequence[bytes]) -> None:
        """Makes the engine export pieces to the store."""
        body = msgspec.json.encode(_ExportRequest([key.hex() for key in keys]))
        await self._post("/cache/export", body)

    async def _post(self, path: str, body: bytes) -> client.Response:
        return await http_exchange.fetch(
            self._engine, self._wire, "POST", path, body=body
        )


__all__ = ["HttpKeptStore", "KeptStore"]
