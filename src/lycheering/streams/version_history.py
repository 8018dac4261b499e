"""The software versions that each service has had recently."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock
    from lycheering.fleet import records

# callers take a broken stream up within this time
STREAM_TTL_MS = 30_000.0


class VersionHistory:
    """Tells whether the streams of a service may be of several versions."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._seen_ms_by_version_by_service: dict[str, dict[str, float]] = {}

    def observe(self, targets: Iterable[records.DirectTarget]) -> None:
        """Records the versions of all targets that there are now."""
        now_ms = self._clock.now_ms()
        seen = self._seen_ms_by_version_by_service
        for target in targets:
            seen.setdefault(target.service, {})[target.software_version] = (
                now_ms
            )
        for service, seen_ms_by_version in list(seen.items()):
            seen[service] = {
                version: seen_ms
                for version, seen_ms in seen_ms_by_version.items()
                if now_ms - seen_ms < STREAM_TTL_MS
            }
            if not seen[service]:
                del seen[service]

    def sole_version(self, service: str) -> str | None:
        """Returns the version of all streams of a service, None if several."""
        now_ms = self._clock.now_ms()
        versions = [
            version
            for version, seen_ms in self._seen_ms_by_version_by_service.get(
                service, {}
            ).items()
            if now_ms - seen_ms < STREAM_TTL_MS
        ]
        return versions[0] if len(versions) == 1 else None

    def is_any_service_mixed(self) -> bool:
        """Returns whether any service has had several versions recently."""
        return any(
            self.sole_version(service) is None
            for service in self._seen_ms_by_version_by_service
        )


class StreamRecords:
    """The software versions of streams, each for a limited time."""

    def __init__(self, time: clock.Clock, max_count: int) -> None:
        """Creates an empty collection.

        Args:
            time: The clock.
            max_count: Number of streams from which on the oldest are dropped.
        """
        self._clock = time
        self._max_count = max_count
        self._begun_by_stream: collections.OrderedDict[
            int, tuple[str, float]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._begun_by_stream)

    def add(self, stream: int, version: str) -> None:
        """Records a stream; the first version of a stream stays."""
        now_ms = self._clock.now_ms()
        self._begun_by_stream.setdefault(stream, (version, now_ms))
        while self._begun_by_stream:
            oldest = next(iter(self._begun_by_stream))
            is_expired = (
                now_ms - self._begun_by_stream[oldest][1] >= STREAM_TTL_MS
            )
            if not is_expired and len(self) <= self._max_count:
                return
            del self._begun_by_stream[oldest]

    def find(self, stream: int) -> str | None:
        """Returns the version of a stream, None if it is not known."""
        begun = self._begun_by_stream.get(stream)
        return begun[0] if begun is not None else None

    def all(self) -> dict[int, str]:
        """Returns the version of each stream."""
        return {
            stream: version
            for stream, (version, _) in self._begun_by_stream.items()
        }


__all__ = ["STREAM_TTL_MS", "StreamRecords", "VersionHistory"]
