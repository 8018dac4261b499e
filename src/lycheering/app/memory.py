"""Keeps the collection of cycles from pausing a process that serves."""

from __future__ import annotations

import gc

# new objects between collections; reference counts free nearly all of them
YOUNG_OBJECTS = 10_000
YOUNG_COLLECTIONS = 10
MIDDLE_COLLECTIONS = 10


def settle() -> None:
    """Leaves out of collections what was made while the process started."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)


__all__ = [
    "MIDDLE_COLLECTIONS",
    "YOUNG_COLLECTIONS",
    "YOUNG_OBJECTS",
    "settle",
]
