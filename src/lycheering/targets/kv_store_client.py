"""Client of the KV cache store beside an engine.

The store is looked up directly; blocks are moved by the engine, which
imports and exports them on request.
"""

from __future__ import annotations

import abc
import asyncio
from typing import TYPE_CHECKING

import msgspec

from lycheering import json_input
from lycheering.targets import api
from lycheering.targets import http_exchange
from lycheering.web import client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from lycheering.cache import prompt_pieces
    from lycheering.settings import model

MAX_CONCURRENT_LOOKUPS = 8


class KvStoreClient(abc.ABC):
    """The KV cache store, as an agent uses it for its engine."""

    @abc.abstractmethod
    async def find_stored_prefix(
        self, piece_keys: Sequence[prompt_pieces.PieceKey], weights_version: str
    ) -> list[prompt_pieces.PieceKey]:
        """Returns the leading pieces that are in the store.

        Args:
            piece_keys: The keys of the pieces, outermost first.
            weights_version: The version of the weights that the stored
                pieces must have been computed with.

        Raises:
            TargetError: If a lookup in the store fails.
        """

    @abc.abstractmethod
    async def find_unstored(
        self, piece_keys: Sequence[prompt_pieces.PieceKey], weights_version: str
    ) -> list[prompt_pieces.PieceKey]:
        """Returns the pieces that are not in the store.

        Args:
            piece_keys: The keys of the pieces.
            weights_version: The version of the weights that the stored
                pieces must have been computed with.

        Raises:
            TargetError: If a lookup in the store fails.
        """

    @abc.abstractmethod
    async def import_pieces(
        self, piece_keys: Sequence[prompt_pieces.PieceKey], weights_version: str
    ) -> int:
        """Makes the engine import pieces from the store.

        Args:
            piece_keys: The keys of the pieces.
            weights_version: The version of the weights that the pieces must
                have been computed with.

        Returns:
            How many pieces the engine imported.

        Raises:
            TargetError: If the call to the engine fails.
        """

    @abc.abstractmethod
    async def export_pieces(self, keys: Sequence[bytes]) -> None:
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


class HttpKvStoreClient(KvStoreClient):
    """Calls the store and the engine over HTTP."""

    def __init__(
        self, settings: model.AgentSettings, wire: model.WireSettings
    ) -> None:
        self._engine = client.Origin.parse(settings.url)
        self._store = client.Origin.parse(settings.kv_store_url)
        self._wire = wire

    async def find_stored_prefix(
        self, piece_keys: Sequence[prompt_pieces.PieceKey], weights_version: str
    ) -> list[prompt_pieces.PieceKey]:
        """Returns the leading pieces that are in the store."""
        found: list[prompt_pieces.PieceKey] = []
        async for piece_key, is_stored in self._look_up(
            piece_keys, weights_version
        ):
            if not is_stored:
                break
            found.append(piece_key)
        return found

    async def find_unstored(
        self, piece_keys: Sequence[prompt_pieces.PieceKey], weights_version: str
    ) -> list[prompt_pieces.PieceKey]:
        """Returns the pieces that are not in the store."""
        return [
            piece_key
            async for piece_key, is_stored in self._look_up(
                piece_keys, weights_version
            )
            if not is_stored
        ]

    async def _look_up(
        self, piece_keys: Sequence[prompt_pieces.PieceKey], weights_version: str
    ) -> AsyncIterator[tuple[prompt_pieces.PieceKey, bool]]:
        """Yields each piece and whether it is in the store, in batches."""
        for start in range(0, len(piece_keys), MAX_CONCURRENT_LOOKUPS):
            batch = piece_keys[start : start + MAX_CONCURRENT_LOOKUPS]
            hits = await asyncio.gather(
                *(
                    self._is_stored(piece_key, weights_version)
                    for piece_key in batch
                )
            )
            for piece_key, is_stored in zip(batch, hits, strict=True):
                yield piece_key, is_stored

    async def _is_stored(
        self, piece_key: prompt_pieces.PieceKey, weights_version: str
    ) -> bool:
        request = api.TargetCall(
            "kept",
            "HEAD",
            f"/kv/{piece_key.key.hex()}",
            b"",
            "application/json",
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
            and head.header("x-scope") == piece_key.salt
        )

    async def import_pieces(
        self, piece_keys: Sequence[prompt_pieces.PieceKey], weights_version: str
    ) -> int:
        """Makes the engine import pieces from the store."""
        blocks = [
            _BlockReference(
                piece_key.key.hex(), piece_key.parent.hex(), piece_key.salt
            )
            for piece_key in piece_keys
        ]
        body = msgspec.json.encode(_ImportRequest(blocks, weights_version))
        reply = await self._post("/cache/import", body)
        try:
            import_reply = json_input.decode(reply.body, _ImportReply)
        except msgspec.DecodeError as error:
            raise api.BrokenAnswerError("malformed import reply") from error
        return len(import_reply.imported)

    async def export_pieces(self, keys: Sequence[bytes]) -> None:
        """Makes the engine export pieces to the store."""
        body = msgspec.json.encode(_ExportRequest([key.hex() for key in keys]))
        await self._post("/cache/export", body)

    async def _post(self, path: str, body: bytes) -> client.Response:
        return await http_exchange.fetch(
            self._engine, self._wire, "POST", path, body=body
        )


__all__ = ["HttpKvStoreClient", "KvStoreClient"]
