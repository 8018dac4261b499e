"""Converts chat messages to the text that cache keys are computed from."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence


def image_text(url: str) -> str:
    """Returns the text that replaces an image: a hash of its URL.

    Args:
        url: The image's URL, or the image itself as a data URL.
    """
    return f"image:{xxhash.xxh3_128(url.encode()).hexdigest()}"


def message_text(
    role: str, content: str, tool_calls: Sequence[object] = ()
) -> str:
    """Returns the text of one chat message; tool calls are hashed.

    Args:
        role: The role of the message's author.
        content: The message's text, with images replaced by `image_text`.
        tool_calls: The tool calls of the message.
    """
    if not tool_calls:
        return f"{role}\n{content}\n"
    data = msgspec.json.encode(tool_calls, order="sorted")
    calls_hash = xxhash.xxh3_128(data).hexdigest()
    return f"{role}\n{content}\ntools:{calls_hash}\n"


__all__ = ["image_text", "message_text"]
