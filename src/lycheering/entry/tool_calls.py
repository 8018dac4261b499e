"""Assembles the tool calls of a streamed answer."""

from __future__ import annotations

import msgspec


class FunctionDelta(msgspec.Struct):
    """A part of the function in a tool call.

    Attributes:
        name: A part of the function's name.
        arguments: A part of the function's arguments.
    """

    name: str | None = None
    arguments: str | None = None


class ToolCallDelta(msgspec.Struct):
    """A part of one tool call.

    Attributes:
        index: The index of the tool call within the answer.
        id: The tool call's id, set in only one of its parts.
        type: The kind of tool.
        function: A part of the function to call.
    """

    index: int = 0
    id: str | None = None
    type: str | None = None
    function: FunctionDelta | None = None


class Function(msgspec.Struct):
    """The function in a tool call.

    Attributes:
        name: The function's name.
        arguments: The function's arguments as text.
    """

    name: str = ""
    arguments: str = ""


class ToolCall(msgspec.Struct):
    """A complete tool call.

    Attributes:
        id: The tool call's id.
        type: The kind of tool.
        function: The function to call.
    """

    id: str = ""
    type: str = "function"
    function: Function = msgspec.field(default_factory=Function)


class ToolCallCollector:
    """Collects the tool calls of one answer."""

    def __init__(self) -> None:
        self._call_by_index: dict[int, ToolCall] = {}

    def add(self, deltas: list[ToolCallDelta]) -> None:
        """Merges parts of tool calls into those received so far."""
        for delta in deltas:
            call = self._call_by_index.setdefault(delta.index, ToolCall())
            call.id = delta.id or call.id
            call.type = delta.type or call.type
            if delta.function is not None:
                call.function.name += delta.function.name or ""
                call.function.arguments += delta.function.arguments or ""

    def collected(self) -> list[ToolCall]:
        """Returns the tool calls, ordered by index."""
        return [call for _, call in sorted(self._call_by_index.items())]


__all__ = [
    "Function",
    "FunctionDelta",
    "ToolCall",
    "ToolCallDelta",
    "ToolCallCollector",
]
