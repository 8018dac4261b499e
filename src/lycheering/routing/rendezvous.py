"""Weighted rendezvous hashing: the same ranking in every process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.fleet import records

_HASH_RANGE = float(1 << 64)


def weight_of(key: str, name: str, slots: int) -> float:
    """Returns how strongly a key prefers a target.

    Args:
        key: The key.
        name: The target's name.
        slots: The target's size, to which its share of keys is in
            proportion.
    """
    digest = xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
    share = (digest + 1) / (_HASH_RANGE + 2)
    return -max(1, slots) / math.log(share)


def rank(
    key: str, targets: Iterable[records.Target]
) -> tuple[records.Target, ...]:
    """Returns the targets, the one that a key prefers most first.

    A target that leaves moves only the keys that ranked it first.
    """
    weighted = [(weight_of(key, t.name, t.slots), t.name, t) for t in targets]
    weighted.sort(key=lambda item: (-item[0], item[1]))
    return tuple(target for _, _, target in weighted)


__all__ = ["rank", "weight_of"]
