"""Puts the tool calls of a streamed answer together."""

from __future__ import annotations

import msgspec


class FunctionDelta(msgspec.Struct):
    """A part of the function that a tool call names.

    Attributes:
        name: A part of its name.
        arguments: A part of its arguments.
    """

    name: str | None = None
    arguments: str | None = None


class ToolCallDelta(msgspec.Struct):
    """A part of one tool call.

    Attributes:
        index: Which tool call of the answer it belongs to.
        id: The tool call's id, in one of its parts.
        type: The kind of tool.
        function: A part of the function called.
    """

    index: int = 0
    id: str | None = None
    type: str | None = None
    function: FunctionDelta | None = None


class Function(msgspec.Struct):
    """The function that a tool call names.

    Attributes:
        name: Its name.
        arguments: Its arguments as text.
    """

    name: str = ""
    arguments: str = ""


class ToolCall(msgspec.Struct):
    """A whole tool call.

    Attributes:
        id: Its id.
        type: The kind of tool.
        function: The function called.
    """

    id: str = ""
    type: str = "function"
    function: Function = msgspec.field(default_factory=Function)


class ToolCalls:
    """The tool calls of one answer, as far as they have come."""

    def __init__(self) -> None:
        self._call_by_index: dict[int, ToolCall] = {}

    def add(self, deltas: list[ToolCallDelta]) -> None:
        """Adds parts of tool calls."""
        for delta in deltas:
            call = self._call_by_index.setdefault(delta.index, ToolCall())
            call.id = delta.id or call.id
            call.type = delta.type or call.type
            if delta.function is not None:
                call.function.name += delta.function.name or ""
                call.function.arguments += delta.function.arguments or ""

    def whole(self) -> list[ToolCall]:
        """Returns the tool calls in order."""
        return [call for _, call in sorted(self._call_by_index.items())]


__all__ = [
    "Function",
    "FunctionDelta",
    "ToolCall",
    "ToolCallDelta",
    "ToolCalls",
]
