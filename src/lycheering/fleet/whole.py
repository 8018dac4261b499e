"""Whole fleet views, encoded once and handed over in parts."""

from __future__ import annotations

import dataclasses

import msgspec
import xxhash

from lycheering.fleet import changes
from lycheering.fleet import view

PART_BYTES = 61_440
MAX_PARTS = 512
# an encoded view is kept while its last part can bring the changes after it
RENEW_CHANGES = changes.MAX_CHANGES_PER_FRAME

_DECODER = msgspec.msgpack.Decoder(view.ViewSnapshot)


class DamagedViewError(Exception):
    """The parts of a whole view do not make the view that they belong to."""


class ViewPart(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Hands over a part of a whole view.

    Attributes:
        view_revision: The revision of the whole view.
        digest: Digest of the whole view, equal in all of its parts.
        number: The part's number, from 0.
        count: The number of parts.
        data: The part itself.
        later: Changes after the whole view, with its last part.
    """

    view_revision: int
    digest: str
    number: int
    count: int
    data: bytes
    later: tuple[changes.NumberedChange, ...] = ()

    @property
    def is_last(self) -> bool:
        """Whether the whole view is complete with it."""
        return self.number == self.count - 1


@dataclasses.dataclass(frozen=True)
class EncodedView:
    """A whole view as it is sent.

    Attributes:
        view_revision: Its revision.
        digest: Digest of its bytes.
        pieces: Its bytes, in parts.
    """

    view_revision: int
    digest: str
    pieces: tuple[bytes, ...]

    def part(self, number: int) -> ViewPart:
        """Returns one part; the first where there is none of the number."""
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
    """Returns a whole view as it is sent.

    Args:
        fleet: The view.
        with_teams: Whether the receiver uses the teams.
    """
    data = msgspec.msgpack.encode(fleet.snapshot(with_teams=with_teams))
    pieces = tuple(
        data[start : start + PART_BYTES]
        for start in range(0, len(data), PART_BYTES)
    )
    return EncodedView(
        fleet.view_revision, xxhash.xxh3_64_hexdigest(data), pieces
    )


class EncodedViews:
    """The encoded views that all receivers of this process share.

    One that receivers are in the middle of is kept when a newer one
    replaces it, but not after the next replacement.
    """

    def __init__(self) -> None:
        self._current_by_content: dict[bool, EncodedView] = {}
        self._former_by_content: dict[bool, EncodedView] = {}

    def find(self, digest: str) -> EncodedView | None:
        """Returns the encoded view of a digest, if it is still kept."""
        kept = (
            *self._current_by_content.values(),
            *self._former_by_content.values(),
        )
        for encoded in kept:
            if encoded.digest == digest:
                return encoded
        return None

    def current(
        self, fleet: view.FleetView, least_revision: int, *, with_teams: bool
    ) -> EncodedView:
        """Returns an encoded view whose later changes are still known.

        Args:
            fleet: The view to encode.
            least_revision: The lowest revision that is of use.
            with_teams: Whether the receiver uses the teams.
        """
        known = self._current_by_content.get(with_teams)
        if known is not None and _serves(known, fleet, least_revision):
            return known
        encoded = encode(fleet, with_teams=with_teams)
        if known is not None:
            self._former_by_content[with_teams] = known
        self._current_by_content[with_teams] = encoded
        return encoded


def _serves(
    known: EncodedView, fleet: view.FleetView, least_revision: int
) -> bool:
    if known.view_revision < least_revision:
        return False
    later = fleet.changes_since(known.view_revision)
    return later is not None and len(later) <= RENEW_CHANGES


class IncomingView:
    """The parts of one whole view, until all of them are here.

    Attributes:
        digest: Digest of the view that the parts belong to.
        view_revision: Its revision.
    """

    def __init__(self) -> None:
        self.digest = ""
        self.view_revision = 0
        self._pieces: list[bytes] = []

    @property
    def next_part(self) -> int:
        """The number of the part to ask for."""
        return len(self._pieces)

    def clear(self) -> None:
        """Forgets the parts."""
        self.digest = ""
        self.view_revision = 0
        self._pieces.clear()

    def take(self, part: ViewPart) -> view.ViewSnapshot | None:
        """Takes a part in; parts of another view replace those held.

        Args:
            part: The part.

        Returns:
            The whole view, once the last part is here.

        Raises:
            DamagedViewError: If the parts make no view.
        """
        if not 0 <= part.number < part.count <= MAX_PARTS:
            raise DamagedViewError(f"part {part.number} of {part.count}")
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
        raise DamagedViewError("digest differs")
    try:
        snapshot = _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise DamagedViewError(str(error)) from error
    if snapshot.view_revision != part.view_revision:
        raise DamagedViewError("revision differs")
    return snapshot


__all__ = [
    "MAX_PARTS",
    "PART_BYTES",
    "RENEW_CHANGES",
    "DamagedViewError",
    "EncodedView",
    "EncodedViews",
    "IncomingView",
    "ViewPart",
    "encode",
]
