"""Cuts prompts into cache pieces and computes their chained keys."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import xxhash

from lycheering.cache import prompt_text

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


class ImageUrl(msgspec.Struct, frozen=True):
    """Where an image is, or the image itself as a data URL.

    Attributes:
        url: The URL.
    """

    url: str


class ContentPart(msgspec.Struct, frozen=True):
    """A part of a message: text or an image.

    Attributes:
        text: The text, if it is one.
        image_url: The image, if it is one.
    """

    text: str = ""
    image_url: ImageUrl | None = None

    def as_text(self) -> str:
        """Returns the text, or the text that stands for the image."""
        if self.image_url is None:
            return self.text
        return prompt_text.image_text(self.image_url.url)


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat.

    Attributes:
        role: Who speaks.
        content: What is said, whole or in parts.
        tool_calls: The calls of tools in the message.
    """

    role: str
    content: str | tuple[ContentPart, ...] | None = None
    tool_calls: tuple[Any, ...] = ()

    def text(self) -> str:
        """Returns the message's text within the prompt."""
        content = self.content or ""
        if not isinstance(content, str):
            content = "".join(part.as_text() for part in content)
        return prompt_text.message_text(self.role, content, self.tool_calls)


class PromptBody(msgspec.Struct, frozen=True):
    """The part of a completion's body that makes up its prompt.

    Attributes:
        messages: The chat, for a chat completion.
        prompt: The prompt, for a plain completion.
    """

    messages: tuple[ChatMessage, ...] = ()
    prompt: str = ""

    def text(self) -> str:
        """Returns the text that the engine continues."""
        if not self.messages:
            return self.prompt
        return "".join(message.text() for message in self.messages)


@dataclasses.dataclass(frozen=True)
class PromptPlan:
    """A prompt as the engine is to cache it.

    Attributes:
        pieces: The prompt, cut.
        salts: The cache salt of each piece.
        cacheable_count: Leading pieces that are whole enough to be kept.
    """

    pieces: tuple[str, ...]
    salts: tuple[str, ...]
    cacheable_count: int

    @property
    def char_count(self) -> int:
        """Characters of the whole prompt."""
        return sum(len(piece) for piece in self.pieces)

    def links(self, model: str, weights_version: str) -> tuple[ChainLink, ...]:
        """Returns the key of each piece that can be cached."""
        count = self.cacheable_count
        return chain(
            model, weights_version, self.pieces[:count], self.salts[:count]
        )

    def missing_pieces(self, cached_count: int, piece_chars: int) -> float:
        """Returns how much is to be prefilled, in whole pieces."""
        missing = sum(len(piece) for piece in self.pieces[cached_count:])
        return missing / piece_chars


def shared_salt(model: str) -> str:
    """Returns the cache salt of levels that all teams share."""
    return f"shared:{model}"


def team_salt(team: str) -> str:
    """Returns the cache salt of one team's own levels."""
    return f"team:{team}"


def usable_ends(level_ends: Iterable[int], char_count: int) -> list[int]:
    """Returns the level ends that lie inside a prompt, in order."""
    ends: list[int] = []
    for end in level_ends:
        last = ends[-1] if ends else 0
        if not last < end <= char_count:
            break
        ends.append(end)
    return ends


def plan_prompt(
    text: str,
    level_ends: Sequence[int],
    shared_levels: int,
    *,
    model: str,
    team: str,
    piece_chars: int,
) -> PromptPlan:
    """Cuts a prompt at its levels and then at each piece size.

    Args:
        text: The prompt.
        level_ends: Ends of its nested levels, in characters.
        shared_levels: How many outermost levels teams share.
        model: The model, which scopes the shared levels.
        team: The team, which scopes all others.
        piece_chars: Characters in one piece.

    Returns:
        The pieces with a salt for each.
    """
    ends = usable_ends(level_ends, len(text))
    shared_count = min(max(shared_levels, 0), len(ends))
    shared_end = ends[shared_count - 1] if shared_count else 0
    pieces: list[str] = []
    salts: list[str] = []
    for start, end in itertools.pairwise([0, *ends, len(text)]):
        salt = shared_salt(model) if end <= shared_end else team_salt(team)
        for place in range(start, end, piece_chars):
            pieces.append(text[place : min(place + piece_chars, end)])
            salts.append(salt)
    cacheable_count = len(pieces)
    if pieces and len(pieces[-1]) < piece_chars:
        cacheable_count -= 1
    return PromptPlan(tuple(pieces), tuple(salts), cacheable_count)


@dataclasses.dataclass(frozen=True)
class ChainLink:
    """One key of a chain.

    Attributes:
        key: The key of the piece, 16 bytes.
        parent: The key that it was derived from.
        salt: The cache salt.
    """

    key: bytes
    parent: bytes
    salt: str


def chain(
    model: str,
    weights_version: str,
    pieces: Sequence[str],
    salts: Sequence[str],
) -> tuple[ChainLink, ...]:
    """Returns one key for each piece, over it and all before it.

    Args:
        model: The model.
        weights_version: The weights that compute the pieces.
        pieces: The pieces, outermost first.
        salts: The cache salt of each.

    Returns:
        The keys with their parents.
    """
    links: list[ChainLink] = []
    parent = b""
    before = ""
    for piece, salt in zip(pieces, salts, strict=True):
        if not links:
            root = f"{model}\0{weights_version}\0{salt}"
            parent = xxhash.xxh3_128_digest(root.encode())
        elif salt != before:
            parent = xxhash.xxh3_128_digest(parent + b"\0" + salt.encode())
        key = xxhash.xxh3_128_digest(parent + piece.encode())
        links.append(ChainLink(key, parent, salt))
        parent = key
        before = salt
    return tuple(links)


__all__ = [
    "ChainLink",
    "ChatMessage",
    "PromptBody",
    "PromptPlan",
    "chain",
    "plan_prompt",
    "shared_salt",
    "team_salt",
    "usable_ends",
]
