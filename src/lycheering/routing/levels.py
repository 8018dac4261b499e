"""The nested prefix levels of a prompt and the keys they rank by."""

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
SHORT_KEY_CHARS = 16  # 64 bits; a clash only misleads one choice


class LevelsError(ValueError):
    """The caller's level ends do not fit the prompt."""


@dataclasses.dataclass(frozen=True)
class Levels:
    """The nested levels of one prompt, outermost first.

    Attributes:
        ends: Where each level ends, in characters.
        keys: A chained key of each level.
        pieces: Full cache pieces up to the end of each level.
        shared: How many outermost levels teams share.
        rank_index: The level that targets are ranked by.
        prompt_pieces: Cache pieces of the whole prompt.
    """

    ends: tuple[int, ...] = ()
    keys: tuple[str, ...] = ()
    pieces: tuple[int, ...] = ()
    shared: int = 0
    rank_index: int = 0
    prompt_pieces: int = 0

    @property
    def rank_key(self) -> str:
        """The key that targets are ranked by; empty without levels."""
        return self.keys[self.rank_index] if self.keys else ""

    @property
    def deepest_key(self) -> str:
        """The key of the innermost level; empty without levels."""
        return self.keys[-1] if self.keys else ""

    @property
    def short_keys(self) -> tuple[str, ...]:
        """The keys as agents are asked for them."""
        return tuple(key[:SHORT_KEY_CHARS] for key in self.keys)


NO_LEVELS = Levels()


def check_ends(ends: Sequence[int], length: int) -> tuple[int, ...]:
    """Checks level ends given by a caller.

    Args:
        ends: Where each level ends, outermost first.
        length: The prompt's length in characters.

    Returns:
        The ends.

    Raises:
        LevelsError: If they are too many, not rising or past the end.
    """
    if len(ends) > MAX_LEVELS:
        raise LevelsError(f"prefix_levels: more than {MAX_LEVELS} levels")
    before = 0
    for end in ends:
        if end <= before:
            raise LevelsError("prefix_levels: each must exceed the one before")
        before = end
    if before > length:
        raise LevelsError(f"prefix_levels: {before} is past {length}")
    return tuple(ends)


def given(
    prompt: str, ends: Sequence[int], *, model: str, team: str, shared: int
) -> Levels:
    """Returns the levels of a prompt whose caller named them.

    Args:
        prompt: The prompt's text.
        ends: Where each level ends; checked before.
        model: The model asked for.
        team: The team that asks.
        shared: How many outermost levels teams share.

    Returns:
        The levels, ranked by the deepest one that teams share, or by the
        last but one where teams share none.
    """
    if not ends:
        return Levels()
    shared = min(shared, len(ends))
    rank_index = shared - 1 if shared else max(0, len(ends) - 2)
    return _build(prompt, tuple(ends), model, team, shared, rank_index)


def found(
    prompt: str, boundaries: Sequence[int], *, model: str, team: str
) -> Levels:
    """Returns the levels of a prompt whose caller named none.

    They start at message boundaries and at multiples of the piece size,
    and belong to the team, since nobody declared them shared.

    Args:
        prompt: The prompt's text.
        boundaries: Ends of the messages but the last.
        model: The model asked for.
        team: The team that asks.
    """
    sizes = (PIECE_CHARS << shift for shift in range(MAX_LEVELS))
    fixed = {size for size in sizes if size <= len(prompt)}
    long_enough = {end for end in boundaries if end >= PIECE_CHARS}
    ends = sorted(fixed | long_enough)[:MAX_LEVELS]
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
    shared: int,
    rank_index: int,
) -> Levels:
    keys: list[str] = []
    pieces: list[int] = []
    parent = xxhash.xxh3_128_digest(model.encode())
    start = 0
    count = 0
    for index, end in enumerate(ends):
        scope = SHARED_SCOPE if index < shared else f"team:{team}"
        chain = xxhash.xxh3_128(parent)
        chain.update(scope.encode())
        chain.update(b"\0")
        chain.update(prompt[start:end].encode("utf-8", "surrogatepass"))
        parent = chain.digest()
        keys.append(parent.hex())
        count += math.ceil((end - start) / PIECE_CHARS)
        pieces.append(count)
        start = end
    tail = math.ceil((len(prompt) - start) / PIECE_CHARS)
    return Levels(
        ends, tuple(keys), tuple(pieces), shared, rank_index, count + tail
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
    "found",
    "given",
]
