"""Weighted rendezvous hashing: every process ranks targets alike."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.fleet import records

_HASH_RANGE = float(1 << 64)


def hash_weight(key: str, name: str, slots: int) -> float:
    """Returns the rendezvous weight of a target for a key.

    Args:
        key: The key.
        name: The target's name.
        slots: The number of slots of the target, which its share of the
            keys is proportional to.
    """
    digest = xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
    uniform = (digest + 1) / (_HASH_RANGE + 2)
    return -max(1, slots) / math.log(uniform)


def rank(
    key: str, targets: Iterable[records.Target]
) -> tuple[records.Target, ...]:
    """Returns the targets by descending weight for a key.

    When a target is removed, only the keys that ranked it first move.
    """
    weighted = [(hash_weight(key, t.name, t.slots), t.name, t) for t in targets]
    weighted.sort(key=lambda item: (-item[0], item[1]))
    return tuple(target for _, _, target in weighted)


__all__ = ["hash_weight", "rank"]
