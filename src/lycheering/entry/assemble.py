"""Whole answers out of the chunks of a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.entry import tool_calls

if TYPE_CHECKING:
    from collections.abc import Sequence

END_MARK = b"[DONE]"


# a field that is not known here must not go missing from a whole answer
class _Delta(msgspec.Struct, forbid_unknown_fields=True):
    role: str | None = None
    content: str | None = None
    refusal: str | None = None
    reasoning_content: str | None = None
    tool_calls: list[tool_calls.ToolCallDelta] | None = None
    function_call: None = None


class _Choice(msgspec.Struct, forbid_unknown_fields=True):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None
    index: int = 0
    logprobs: None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[_Choice] = []
    usage: _Usage | None = None


class _Message(msgspec.Struct, omit_defaults=True):
    role: str = msgspec.field(default="")
    content: str | None = msgspec.field(default="")
    refusal: str = ""
    reasoning_content: str = ""
    tool_calls: list[tool_calls.ToolCall] = []


class _WholeChoice(msgspec.Struct, omit_defaults=True):
    finish_reason: str | None
    index: int = msgspec.field(default=-1)
    message: _Message | None = None
    text: str | None = None


class _WholeUsage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class _Whole(msgspec.Struct, omit_defaults=True):
    id: str
    object: str
    created: int
    model: str
    choices: list[_WholeChoice]
    usage: _WholeUsage | None = None


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
    merged = _Merged()
    chunk = _Chunk()
    for item in items:
        if item == END_MARK:
            continue
        try:
            chunk = _DECODER.decode(item)
        except msgspec.DecodeError as error:
            raise ChunkError(str(error)) from error
        merged.add(chunk)
    if merged.finish_reason is None:
        raise ChunkError("the last chunk has no finish_reason")
    whole = _Whole(
        chunk.id,
        "chat.completion" if chat else "text_completion",
        chunk.created,
        chunk.model,
        [merged.choice(chat=chat)],
        merged.usage,
    )
    return msgspec.json.encode(whole)


class _Merged:
    """What the chunks read so far make up."""

    def __init__(self) -> None:
        self.finish_reason: str | None = None
        self.usage: _WholeUsage | None = None
        self._texts: list[str] = []
        self._refusal = ""
        self._reasoning = ""
        self._role = "assistant"
        self._tool_calls = tool_calls.ToolCalls()

    def add(self, chunk: _Chunk) -> None:
        """Adds one chunk."""
        if chunk.usage is not None:
            prompt = chunk.usage.prompt_tokens
            completion = chunk.usage.completion_tokens
            self.usage = _WholeUsage(prompt, completion, prompt + completion)
        for choice in chunk.choices:
            piece = choice.text
            if choice.delta is not None:
                self._role = choice.delta.role or self._role
                piece = choice.delta.content
                self._refusal += choice.delta.refusal or ""
                self._reasoning += choice.delta.reasoning_content or ""
                self._tool_calls.add(choice.delta.tool_calls or [])
            if piece:
                self._texts.append(piece)
            self.finish_reason = choice.finish_reason or self.finish_reason

    def choice(self, *, chat: bool) -> _WholeChoice:
        """Returns the whole answer's one choice."""
        text = "".join(self._texts)
        if not chat:
            return _WholeChoice(self.finish_reason, 0, text=text)
        calls = self._tool_calls.whole()
        content = text if text or not calls else None
        message = _Message(
            self._role, content, self._refusal, self._reasoning, calls
        )
        return _WholeChoice(self.finish_reason, 0, message)


__all__ = ["END_MARK", "ChunkError", "assemble"]
