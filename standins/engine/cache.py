"""A bounded cache of prompt pieces, keyed by their whole prefix."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from standins.engine import events

PIECE_CHARS = 4_000


@dataclasses.dataclass(frozen=True)
class Block:
    """One cached piece.

    Attributes:
        block: Hex key over the piece and everything before it.
        parent: Hex key of the piece before, or of the scope.
        salt: The cache salt that the piece was stored under.
    """

    block: str
    parent: str
    salt: str


def cut_prompt(prompt_text: str) -> list[str]:
    """Cuts a prompt into pieces of the engine's own size."""
    return [
        prompt_text[start : start + PIECE_CHARS]
        for start in range(0, len(prompt_text), PIECE_CHARS)
    ]


def cacheable_count(pieces: Sequence[str]) -> int:
    """Returns how many leading pieces are complete enough to be cached."""
    if pieces and len(pieces[-1]) < PIECE_CHARS:
        return len(pieces) - 1
    return len(pieces)


def block_chain(
    model: str,
    weights_version: str,
    pieces: Sequence[str],
    salts: Sequence[str],
) -> list[Block]:
    """Returns the blocks of a prompt, outermost first.

    Args:
        model: Name of the model.
        weights_version: Version of the weights that computed the pieces.
        pieces: The pieces to be cached.
        salts: One cache salt for each piece.

    Returns:
        One block for each piece.
    """
    chain: list[Block] = []
    parent = b""
    for index, piece in enumerate(pieces):
        salt = salts[index]
        if index == 0:
            scope = f"{model}\0{weights_version}\0{salt}"
            parent = xxhash.xxh3_128(scope.encode()).digest()
        elif salt != salts[index - 1]:
            scope_bytes = parent + b"\0" + salt.encode()
            parent = xxhash.xxh3_128(scope_bytes).digest()
        key = xxhash.xxh3_128(parent + piece.encode()).digest()
        chain.append(Block(key.hex(), parent.hex(), salt))
        parent = key
    return chain


class PrefixCache:
    """Blocks in least-recently-used order, leaves evicted first.

    Attributes:
        capacity_blocks: Number of blocks kept at most.
        block_by_key: The blocks, the next one to be evicted first.
        event_log: Where changes are published.
        weights_version: Version of the weights in use.
    """

    def __init__(
        self,
        capacity_blocks: int,
        event_log: events.EventLog,
        weights_version: str,
    ) -> None:
        self.capacity_blocks = capacity_blocks
        self.block_by_key: collections.OrderedDict[str, Block] = (
            collections.OrderedDict()
        )
        self.event_log = event_log
        self.weights_version = weights_version

    def matched_count(self, chain: Sequence[Block]) -> int:
        """Returns how many leading blocks are cached, and touches them."""
        count = 0
        for block in chain:
            if block.block not in self.block_by_key:
                break
            count += 1
        self._touch(chain[:count])
        return count

    def store(self, chain: Sequence[Block]) -> None:
        """Adds the blocks that are missing and evicts what does not fit."""
        for block in chain:
            if block.block not in self.block_by_key:
                self.block_by_key[block.block] = block
                self.event_log.publish("stored", self.weights_version, block)
        self._touch(chain)
        while len(self.block_by_key) > self.capacity_blocks:
            _, evicted = self.block_by_key.popitem(last=False)
            self.event_log.publish("evicted", self.weights_version, evicted)

    def clear(self, weights_version: str) -> None:
        """Drops every block because the weights have changed."""
        self.block_by_key.clear()
        self.weights_version = weights_version
        self.event_log.publish("cleared", weights_version, None)

    def _touch(self, chain: Sequence[Block]) -> None:
        # the parent moves last, so it always outlives its children
        for block in reversed(chain):
            self.block_by_key.move_to_end(block.block)


__all__ = [
    "PIECE_CHARS",
    "Block",
    "PrefixCache",
    "block_chain",
    "cacheable_count",
    "cut_prompt",
]
