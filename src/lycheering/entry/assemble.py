"""Assembles complete answers from the chunks of a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.entry import tool_calls

if TYPE_CHECKING:
    from collections.abc import Sequence

END_MARK = b"[DONE]"


# forbids unknown fields, which would silently be missing from the answer
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


class _AnswerChoice(msgspec.Struct, omit_defaults=True):
    finish_reason: str | None
    index: int = msgspec.field(default=-1)
    message: _Message | None = None
    text: str | None = None


class _AnswerUsage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class _Answer(msgspec.Struct, omit_defaults=True):
    id: str
    object: str
    created: int
    model: str
    choices: list[_AnswerChoice]
    usage: _AnswerUsage | None = None


_DECODER = msgspec.json.Decoder(_Chunk)


class ChunkError(Exception):
    """The chunks can't be assembled into a complete answer."""


def assemble(items: Sequence[bytes], *, chat: bool) -> bytes:
    """Returns the complete answer assembled from a stream's chunks.

    Args:
        items: The data of all events, in order.
        chat: Whether it is the answer to a chat completion.

    Raises:
        ChunkError: If a chunk can't be decoded or the last one is missing.
    """
    builder = _AnswerBuilder()
    chunk = _Chunk()
    for item in items:
        if item == END_MARK:
            continue
        try:
            chunk = _DECODER.decode(item)
        except (msgspec.DecodeError, RecursionError) as error:
            raise ChunkError(str(error)) from error
        builder.add(chunk)
    if builder.finish_reason is None:
        raise ChunkError("the last chunk has no finish_reason")
    answer = _Answer(
        chunk.id,
        "chat.completion" if chat else "text_completion",
        chunk.created,
        chunk.model,
        [builder.choice(chat=chat)],
        builder.usage,
    )
    return msgspec.json.encode(answer)


class _AnswerBuilder:
    """Accumulates the chunks of one answer."""

    def __init__(self) -> None:
        self.finish_reason: str | None = None
        self.usage: _AnswerUsage | None = None
        self._text_parts: list[str] = []
        self._refusal = ""
        self._reasoning = ""
        self._role = "assistant"
        self._tool_calls = tool_calls.ToolCallCollector()

    def add(self, chunk: _Chunk) -> None:
        """Adds a chunk."""
        if chunk.usage is not None:
            prompt = chunk.usage.prompt_tokens
            completion = chunk.usage.completion_tokens
            self.usage = _AnswerUsage(prompt, completion, prompt + completion)
        for choice in chunk.choices:
            text_part = choice.text
            if choice.delta is not None:
                self._role = choice.delta.role or self._role
                text_part = choice.delta.content
                self._refusal += choice.delta.refusal or ""
                self._reasoning += choice.delta.reasoning_content or ""
                self._tool_calls.add(choice.delta.tool_calls or [])
            if text_part:
                self._text_parts.append(text_part)
            self.finish_reason = choice.finish_reason or self.finish_reason

    def choice(self, *, chat: bool) -> _AnswerChoice:
        """Returns the only choice of the answer."""
        text = "".join(self._text_parts)
        if not chat:
            return _AnswerChoice(self.finish_reason, 0, text=text)
        calls = self._tool_calls.collected()
        content = text if text or not calls else None
        message = _Message(
            self._role, content, self._refusal, self._reasoning, calls
        )
        return _AnswerChoice(self.finish_reason, 0, message)


__all__ = ["END_MARK", "ChunkError", "assemble"]
