"""Tunes the garbage collector, so that it rarely pauses a server process."""

from __future__ import annotations

import gc

# New objects that trigger a collection of the youngest generation. Reference
# counting frees nearly all objects, so collections can be rare.
YOUNG_OBJECTS = 10_000
# Collections of a generation that trigger one of the next older generation.
YOUNG_COLLECTIONS = 10
MIDDLE_COLLECTIONS = 10


def freeze_startup_objects() -> None:
    """Exempts all existing objects from collections; call it after startup."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)


__all__ = [
    "MIDDLE_COLLECTIONS",
    "YOUNG_COLLECTIONS",
    "YOUNG_OBJECTS",
    "freeze_startup_objects",
]
