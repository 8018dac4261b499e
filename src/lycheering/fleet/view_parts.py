"""Whole fleet views: encoded once, and sent in parts."""

from __future__ import annotations

import dataclasses

import msgspec
import xxhash

from lycheering.fleet import changes
from lycheering.fleet import view

PART_BYTES = 61_440
MAX_PARTS = 512
# an encoded view is reused while its last part can hold all later changes
MAX_LATER_CHANGES = changes.MAX_CHANGES_PER_FRAME

_DECODER = msgspec.msgpack.Decoder(view.ViewSnapshot)


class DamagedViewError(Exception):
    """The parts of a whole view do not form a valid view."""


class ViewPart(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Sends a part of a whole view.

    Attributes:
        view_revision: The revision of the whole view.
        digest: Digest of the whole view, equal in all of its parts.
        number: The part's number, from 0.
        count: The number of parts.
        data: The bytes of the part.
        later: Changes after the whole view; only in its last part.
    """

    view_revision: int
    digest: str
    number: int
    count: int
    data: bytes
    later: tuple[changes.NumberedChange, ...] = ()

    @property
    def is_last(self) -> bool:
        """Whether this is the last part of the whole view."""
        return self.number == self.count - 1


@dataclasses.dataclass(frozen=True)
class EncodedView:
    """A whole view, encoded and split into parts.

    Attributes:
        view_revision: Its revision.
        digest: Digest of its bytes.
        pieces: Its bytes, split into parts.
    """

    view_revision: int
    digest: str
    pieces: tuple[bytes, ...]

    def part(self, number: int) -> ViewPart:
        """Returns the part of a number, or the first if there is none."""
        if not 0 <= number < len(self.pieces):
            number = 0
        return ViewPart(
            self.view_revision,
            self.digest,
            number,
            len(self.pieces),
            self.pieces[number],
        )


def encode(fleet: view.FleetView, *, with_teams: bool) -> EncodedView:
    """Encodes a whole view and splits it into parts.

    Args:
        fleet: The view.
        with_teams: Whether the receiver needs the teams.
    """
    data = msgspec.msgpack.encode(fleet.snapshot(with_teams=with_teams))
    pieces = tuple(
        data[start : start + PART_BYTES]
        for start in range(0, len(data), PART_BYTES)
    )
    return EncodedView(
        fleet.view_revision, xxhash.xxh3_64_hexdigest(data), pieces
    )


class EncodedViewCache:
    """Caches the encoded views that all receivers of this process share.

    A view is still available after a newer one has replaced it, so that
    receivers can finish their transfer, but not after the next replacement.
    """

    def __init__(self) -> None:
        self._current_by_has_teams: dict[bool, EncodedView] = {}
        self._previous_by_has_teams: dict[bool, EncodedView] = {}

    def find(self, digest: str) -> EncodedView | None:
        """Returns the encoded view with a digest, if it is still cached."""
        cached = (
            *self._current_by_has_teams.values(),
            *self._previous_by_has_teams.values(),
        )
        for encoded in cached:
            if encoded.digest == digest:
                return encoded
        return None

    def current(
        self, fleet: view.FleetView, min_revision: int, *, with_teams: bool
    ) -> EncodedView:
        """Returns an encoded view whose later changes are still known.

        Args:
            fleet: The view to encode, if no cached one can be used.
            min_revision: The lowest revision that the receiver can use.
            with_teams: Whether the receiver needs the teams.
        """
        cached = self._current_by_has_teams.get(with_teams)
        if cached is not None and _is_usable(cached, fleet, min_revision):
            return cached
        encoded = encode(fleet, with_teams=with_teams)
        if cached is not None:
            self._previous_by_has_teams[with_teams] = cached
        self._current_by_has_teams[with_teams] = encoded
        return encoded


def _is_usable(
    cached: EncodedView, fleet: view.FleetView, min_revision: int
) -> bool:
    if cached.view_revision < min_revision:
        return False
    later = fleet.changes_since(cached.view_revision)
    return later is not None and len(later) <= MAX_LATER_CHANGES


class PartialView:
    """Collects the parts of a whole view until it is complete.

    Attributes:
        digest: Digest of the whole view, empty if there are no parts.
        view_revision: The revision of the whole view.
    """

    def __init__(self) -> None:
        self.digest = ""
        self.view_revision = 0
        self._pieces: list[bytes] = []

    @property
    def next_part(self) -> int:
        """The number of the part to request next."""
        return len(self._pieces)

    def clear(self) -> None:
        """Drops all parts."""
        self.digest = ""
        self.view_revision = 0
        self._pieces.clear()

    def add_part(self, part: ViewPart) -> view.ViewSnapshot | None:
        """Adds a part; parts of another view are dropped.

        A part other than the next one is ignored.

        Args:
            part: The part.

        Returns:
            The whole view after its last part, else None.

        Raises:
            DamagedViewError: If the parts do not form a valid view.
        """
        if not 0 <= part.number < part.count <= MAX_PARTS:
            raise DamagedViewError(
                f"invalid number of a part: {part.number} of {part.count}"
            )
        if part.digest != self.digest:
            self.clear()
            self.digest = part.digest
            self.view_revision = part.view_revision
        if part.number != self.next_part:
            return None
        self._pieces.append(part.data)
        if len(self._pieces) < part.count:
            return None
        data = b"".join(self._pieces)
        self.clear()
        return _decode(data, part)


def _decode(data: bytes, part: ViewPart) -> view.ViewSnapshot:
    if xxhash.xxh3_64_hexdigest(data) != part.digest:
        raise DamagedViewError("digest of the view does not match its parts")
    try:
        snapshot = _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise DamagedViewError(str(error)) from error
    if snapshot.view_revision != part.view_revision:
        raise DamagedViewError("revision of the view does not match its parts")
    return snapshot


__all__ = [
    "MAX_PARTS",
    "PART_BYTES",
    "MAX_LATER_CHANGES",
    "DamagedViewError",
    "EncodedView",
    "EncodedViewCache",
    "PartialView",
    "ViewPart",
    "encode",
]
