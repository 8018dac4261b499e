"""The text by which levels and pieces of a chat are told apart."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence


def image_text(url: str) -> str:
    """Returns the text that stands for an image."""
    return f"image:{xxhash.xxh3_128(url.encode()).hexdigest()}"


def message_text(
    role: str, content: str, tool_calls: Sequence[object] = ()
) -> str:
    """Returns the text of one message.

    Args:
        role: Who speaks.
        content: What is said, with images as text.
        tool_calls: The calls of tools in the message.
    """
    if not tool_calls:
        return f"{role}\n{content}\n"
    data = msgspec.json.encode(tool_calls, order="sorted")
    calls = xxhash.xxh3_128(data).hexdigest()
    return f"{role}\n{content}\ntools:{calls}\n"


__all__ = ["image_text", "message_text"]
