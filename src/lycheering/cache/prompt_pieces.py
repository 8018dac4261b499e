"""Splits prompts into pieces and computes their chained cache keys.

A piece is the text of one KV cache block.
"""

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
    """The reference to an image in a chat message.

    Attributes:
        url: The image's URL, or the image itself as a data URL.
    """

    url: str


class ContentPart(msgspec.Struct, frozen=True):
    """A part of a message: text or an image.

    Attributes:
        text: The text; empty for an image.
        image_url: The image; None for text.
    """

    text: str = ""
    image_url: ImageUrl | None = None

    def as_text(self) -> str:
        """Returns the text, or the text that replaces the image."""
        if self.image_url is None:
            return self.text
        return prompt_text.image_text(self.image_url.url)


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat.

    Attributes:
        role: The role of the message's author.
        content: The message's content, as one text or in parts.
        tool_calls: The tool calls of the message.
    """

    role: str
    content: str | tuple[ContentPart, ...] | None = None
    tool_calls: tuple[Any, ...] = ()

    def text(self) -> str:
        """Returns the text that the message adds to the prompt."""
        content = self.content or ""
        if not isinstance(content, str):
            content = "".join(part.as_text() for part in content)
        return prompt_text.message_text(self.role, content, self.tool_calls)


class PromptBody(msgspec.Struct, frozen=True):
    """The fields of a completion request's body that form its prompt.

    Attributes:
        messages: The messages of a chat completion.
        prompt: The prompt of a plain completion.
    """

    messages: tuple[ChatMessage, ...] = ()
    prompt: str = ""

    def text(self) -> str:
        """Returns the text of the whole prompt."""
        if not self.messages:
            return self.prompt
        return "".join(message.text() for message in self.messages)


@dataclasses.dataclass(frozen=True)
class SplitPrompt:
    """A prompt, split into the pieces that the engine is to cache.

    Attributes:
        pieces: The texts of the pieces, outermost first.
        salts: The cache salt of each piece.
        cacheable_count: Number of leading pieces that can be cached: all,
            except for a last piece that is shorter than the piece size.
    """

    pieces: tuple[str, ...]
    salts: tuple[str, ...]
    cacheable_count: int

    @property
    def char_count(self) -> int:
        """Number of characters in the whole prompt."""
        return sum(len(piece) for piece in self.pieces)

    def piece_keys(
        self, model: str, weights_version: str
    ) -> tuple[PieceKey, ...]:
        """Returns the keys of the pieces that can be cached.

        Args:
            model: The model.
            weights_version: The version of the weights that compute them.
        """
        count = self.cacheable_count
        return compute_chain(
            model, weights_version, self.pieces[:count], self.salts[:count]
        )

    def uncached_pieces(self, cached_count: int, piece_chars: int) -> float:
        """Returns the uncached part of the prompt, in full-size pieces.

        Args:
            cached_count: Number of leading pieces that are cached.
            piece_chars: Number of characters in a full-size piece.
        """
        uncached_chars = sum(len(piece) for piece in self.pieces[cached_count:])
        return uncached_chars / piece_chars


def shared_salt(model: str, generation: int = 0) -> str:
    """Returns the cache salt of the levels that all teams share.

    Args:
        model: The model.
        generation: The sharing generation of the fleet view.
    """
    return f"shared.{generation}:{model}" if generation else f"shared:{model}"


def team_salt(team: str) -> str:
    """Returns the cache salt of the levels that only one team uses."""
    return f"team:{team}"


def valid_level_ends(level_ends: Iterable[int], char_count: int) -> list[int]:
    """Returns the leading level ends that ascend and lie inside a prompt.

    Args:
        level_ends: The ends of the levels, in characters.
        char_count: Number of characters in the prompt.
    """
    ends: list[int] = []
    for end in level_ends:
        previous_end = ends[-1] if ends else 0
        if not previous_end < end <= char_count:
            break
        ends.append(end)
    return ends


def split_prompt(
    text: str,
    level_ends: Sequence[int],
    shared_levels: int,
    *,
    model: str,
    team: str,
    piece_chars: int,
    generation: int = 0,
) -> SplitPrompt:
    """Splits a prompt at the ends of its levels and each level into pieces.

    Args:
        text: The prompt.
        level_ends: The ends of its nested levels, in characters.
        shared_levels: Number of outermost levels that all teams share.
        model: The model, which determines the salt of the shared levels.
        team: The team, which determines the salt of the other levels.
        piece_chars: Number of characters in a full-size piece.
        generation: The sharing generation, which determines the salt of the
            shared levels as well.

    Returns:
        The pieces with their salts.
    """
    common_salt = shared_salt(model, generation)
    ends = valid_level_ends(level_ends, len(text))
    shared_count = min(max(shared_levels, 0), len(ends))
    shared_end = ends[shared_count - 1] if shared_count else 0
    pieces: list[str] = []
    salts: list[str] = []
    for start, end in itertools.pairwise([0, *ends, len(text)]):
        salt = common_salt if end <= shared_end else team_salt(team)
        for piece_start in range(start, end, piece_chars):
            pieces.append(
                text[piece_start : min(piece_start + piece_chars, end)]
            )
            salts.append(salt)
    cacheable_count = len(pieces)
    if pieces and len(pieces[-1]) < piece_chars:
        cacheable_count -= 1
    return SplitPrompt(tuple(pieces), tuple(salts), cacheable_count)


@dataclasses.dataclass(frozen=True)
class PieceKey:
    """The cache key of one piece, linked to the piece before it.

    Attributes:
        key: The key of the piece, 16 bytes.
        parent: The hash that the key was derived from: the key of the piece
            before it, hashed with the salt where the salt changes; for the
            first piece a hash of the model, the weights and the salt.
        salt: The cache salt of the piece.
    """

    key: bytes
    parent: bytes
    salt: str


def compute_chain(
    model: str,
    weights_version: str,
    pieces: Sequence[str],
    salts: Sequence[str],
) -> tuple[PieceKey, ...]:
    """Returns a key for each piece, hashed over it and all pieces before it.

    Args:
        model: The model.
        weights_version: The version of the weights that compute the pieces.
        pieces: The texts of the pieces, outermost first.
        salts: The cache salt of each piece.

    Returns:
        The keys, each with its parent and its salt.
    """
    piece_keys: list[PieceKey] = []
    parent = b""
    previous_salt = ""
    for piece, salt in zip(pieces, salts, strict=True):
        if not piece_keys:
            root = f"{model}\0{weights_version}\0{salt}"
            parent = xxhash.xxh3_128_digest(root.encode())
        elif salt != previous_salt:
            parent = xxhash.xxh3_128_digest(parent + b"\0" + salt.encode())
        key = xxhash.xxh3_128_digest(parent + piece.encode())
        piece_keys.append(PieceKey(key, parent, salt))
        parent = key
        previous_salt = salt
    return tuple(piece_keys)


__all__ = [
    "ChatMessage",
    "PieceKey",
    "PromptBody",
    "SplitPrompt",
    "compute_chain",
    "shared_salt",
    "split_prompt",
    "team_salt",
    "valid_level_ends",
]
