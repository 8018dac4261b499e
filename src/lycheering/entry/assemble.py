"""Whole answers out of the chunks of a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

END_MARK = b"[DONE]"


class _Delta(msgspec.Struct):
    role: str | None = None
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[_Choice] = []
    usage: _Usage | None = None


class _Message(msgspec.Struct):
    role: str
    content: str


class _WholeChoice(msgspec.Struct, omit_defaults=True):
    finish_reason: str | None
    index: int = msgspec.field(default=-1)
    message: _Message | None = None
    text: str | None = None


class _WholeUsage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class _Whole(msgspec.Struct):
    id: str
    object: str
    created: int
    model: str
    choices: list[_WholeChoice]
    usage: _WholeUsage


_DECODER = msgspec.json.Decoder(_Chunk)


class ChunkError(Exception):
    """A chunk of the answer can't be read."""


def assemble(items: Sequence[bytes], *, chat: bool) -> bytes:
    """Returns the whole answer that a stream's chunks make up.

    Args:
        items: The data of every event, in order.
        chat: Whether it answers a chat.

    Raises:
        ChunkError: If a chunk can't be read or the end is missing.
    """
    texts: list[str] = []
    role = "assistant"
    finish_reason: str | None = None
    usage = _Usage()
    chunk = _Chunk()
    count = 0
    for item in items:
        if item == END_MARK:
            continue
        try:
            chunk = _DECODER.decode(item)
        except msgspec.DecodeError as error:
            raise ChunkError(str(error)) from error
        usage = chunk.usage or usage
        for choice in chunk.choices:
            piece = choice.text
            if choice.delta is not None:
                role = choice.delta.role or role
                piece = choice.delta.content
            if piece:
                texts.append(piece)
                count += 1
            finish_reason = choice.finish_reason or finish_reason
    if finish_reason is None:
        raise ChunkError("the last chunk has no finish_reason")
    text = "".join(texts)
    completion_tokens = usage.completion_tokens or count
    whole = _Whole(
        chunk.id,
        "chat.completion" if chat else "text_completion",
        chunk.created,
        chunk.model,
        [
            _WholeChoice(
                finish_reason,
                0,
                _Message(role, text) if chat else None,
                None if chat else text,
            )
        ],
        _WholeUsage(
            usage.prompt_tokens,
            completion_tokens,
            usage.prompt_tokens + completion_tokens,
        ),
    )
    return msgspec.json.encode(whole)


__all__ = ["END_MARK", "ChunkError", "assemble"]
