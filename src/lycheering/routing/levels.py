"""Splits prompts into nested prefix levels and computes their keys."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

PIECE_CHARS = 4_000
MAX_LEVELS = 16
SHARED_SCOPE = "shared"
# 64 bits; a collision only makes routing of one request suboptimal
SHORT_KEY_CHARS = 16


class LevelsError(ValueError):
    """The prefix levels that a caller declared are not valid."""


@dataclasses.dataclass(frozen=True)
class Levels:
    """The nested prefix levels of one prompt, outermost first.

    Attributes:
        ends: The end of each level, in characters from the prompt's start.
        keys: The key of each level, a hash that covers all outer levels.
        cumulative_pieces: Number of cache pieces up to the end of each
            level.
        shared_count: How many of the outermost levels are shared among teams.
        ranking_level: The index of the level that targets are ranked by.
        prompt_pieces: Number of cache pieces of the whole prompt.
        shared_generation: The sharing generation of the shared levels.
    """

    ends: tuple[int, ...] = ()
    keys: tuple[str, ...] = ()
    cumulative_pieces: tuple[int, ...] = ()
    shared_count: int = 0
    ranking_level: int = 0
    prompt_pieces: int = 0
    shared_generation: int = 0

    @property
    def rank_key(self) -> str:
        """Key of the level that targets are ranked by; empty without levels."""
        return self.keys[self.ranking_level] if self.keys else ""

    @property
    def deepest_key(self) -> str:
        """Key of the innermost level; empty without levels."""
        return self.keys[-1] if self.keys else ""

    @property
    def inquiry_keys(self) -> tuple[str, ...]:
        """The truncated keys that cache inquiries to agents carry."""
        return tuple(key[:SHORT_KEY_CHARS] for key in self.keys)


NO_LEVELS = Levels()


def check_ends(ends: Sequence[int], prompt_chars: int) -> tuple[int, ...]:
    """Validates the ends of the prefix levels that a caller declared.

    Args:
        ends: The end of each level, outermost first.
        prompt_chars: The prompt's length in characters.

    Returns:
        The ends.

    Raises:
        LevelsError: If there are too many, or if they are not strictly
            increasing or exceed the prompt's length.
    """
    if len(ends) > MAX_LEVELS:
        raise LevelsError(f"prefix_levels: more than {MAX_LEVELS} levels")
    last_end = 0
    for end in ends:
        if end <= last_end:
            raise LevelsError("prefix_levels: must be strictly increasing")
        last_end = end
    if last_end > prompt_chars:
        raise LevelsError(
            f"prefix_levels: {last_end} exceeds the prompt's length"
            f" of {prompt_chars}"
        )
    return tuple(ends)


def from_declared_ends(
    prompt: str,
    ends: Sequence[int],
    *,
    model: str,
    team: str,
    shared_count: int,
    shared_generation: int = 0,
) -> Levels:
    """Returns the levels of a prompt whose caller declared their ends.

    Args:
        prompt: The prompt's text.
        ends: The end of each level, validated by `check_ends`.
        model: The requested model.
        team: The team that sent the request.
        shared_count: How many of the outermost levels are shared among teams.
        shared_generation: The sharing generation of the fleet view.

    Returns:
        The levels. Targets are ranked by the innermost shared one, or by
        the last but one if none is shared.
    """
    if not ends:
        return Levels()
    shared_count = min(shared_count, len(ends))
    ranking_level = shared_count - 1 if shared_count else max(0, len(ends) - 2)
    return _build(
        prompt,
        tuple(ends),
        model,
        team,
        shared_count,
        ranking_level,
        shared_generation,
    )


def from_message_ends(
    prompt: str, message_ends: Sequence[int], *, model: str, team: str
) -> Levels:
    """Returns the levels of a prompt whose caller declared none.

    They end at message boundaries and at the piece size times powers of
    two. As nobody declared them shared, their keys contain the team.

    Args:
        prompt: The prompt's text.
        message_ends: The ends of all messages except the last one.
        model: The requested model.
        team: The team that sent the request.
    """
    sizes = (PIECE_CHARS << shift for shift in range(MAX_LEVELS))
    size_ends = {size for size in sizes if size <= len(prompt)}
    long_message_ends = {end for end in message_ends if end >= PIECE_CHARS}
    ends = sorted(size_ends | long_message_ends)[:MAX_LEVELS]
    if not ends:
        ends = [len(prompt)] if prompt else []
    if not ends:
        return Levels()
    return _build(prompt, tuple(ends), model, team, 0, 0)


def _build(
    prompt: str,
    ends: tuple[int, ...],
    model: str,
    team: str,
    shared_count: int,
    ranking_level: int,
    shared_generation: int = 0,
) -> Levels:
    shared_scope = SHARED_SCOPE
    if shared_generation:
        shared_scope = f"{SHARED_SCOPE}.{shared_generation}"
    keys: list[str] = []
    cumulative_pieces: list[int] = []
    parent = xxhash.xxh3_128_digest(model.encode())
    start = 0
    piece_count = 0
    for index, end in enumerate(ends):
        scope = shared_scope if index < shared_count else f"team:{team}"
        hasher = xxhash.xxh3_128(parent)
        hasher.update(scope.encode())
        hasher.update(b"\0")
        hasher.update(prompt[start:end].encode("utf-8", "surrogatepass"))
        parent = hasher.digest()
        keys.append(parent.hex())
        piece_count += math.ceil((end - start) / PIECE_CHARS)
        cumulative_pieces.append(piece_count)
        start = end
    tail_pieces = math.ceil((len(prompt) - start) / PIECE_CHARS)
    return Levels(
        ends,
        tuple(keys),
        tuple(cumulative_pieces),
        shared_count,
        ranking_level,
        piece_count + tail_pieces,
        shared_generation,
    )


__all__ = [
    "MAX_LEVELS",
    "NO_LEVELS",
    "PIECE_CHARS",
    "SHARED_SCOPE",
    "SHORT_KEY_CHARS",
    "Levels",
    "LevelsError",
    "check_ends",
    "from_declared_ends",
    "from_message_ends",
]
