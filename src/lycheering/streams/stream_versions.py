"""Records the software versions of an entry's streams, and finds others'."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import xxhash

from lycheering.app import api as app_api
from lycheering.entry import control_client
from lycheering.streams import version_history
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock
    from lycheering.fleet import records

MAX_STREAMS = 20_000
# how long the first event of a stream waits until its version is reported
REPORT_TIMEOUT_MS = 150.0
FIND_TIMEOUT_MS = 400.0
MAX_REPORTED_STREAMS = 2_000

_LOG = logs.get("streams")


class VersionUnavailableError(Exception):
    """The version of a stream can't be told now."""


def stream_digest(request_id: str) -> int:
    """Returns the digest of a request's id; 0 for no id."""
    if not request_id:
        return 0
    return xxhash.xxh3_64_intdigest(request_id.encode()) >> 16


class StreamVersions(app_api.Part):
    """The software versions of streams, as one entry knows them.

    While a service has targets of one version only, its streams are reported
    with the exchange of loads. Otherwise a stream is reported before its first
    event is passed on, so that its version is known after a kill of this
    entry. Streams that begin while a report is under way share the next one.
    """

    def __init__(
        self, control: control_client.ControlClient, time: clock.Clock
    ) -> None:
        """Creates a part without streams.

        Args:
            control: Client of the control instances.
            time: The clock.
        """
        self._control = control
        self._history = version_history.VersionHistory(time)
        self._records = version_history.StreamRecords(time, MAX_STREAMS)
        self._unreported: dict[int, str] = {}
        self._in_exchange: dict[int, str] = {}
        self._epoch = ""
        self._is_report_due = asyncio.Event()
        self._reported = asyncio.Event()
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Starts to report streams."""
        self._tasks.spawn_with_restarts(self._run, "stream_versions")

    async def stop(self) -> None:
        """Stops reporting streams."""
        await self._tasks.cancel_all()

    def observe(self, targets: Iterable[records.DirectTarget]) -> None:
        """Records the versions of all targets that there are now.

        Streams that began before a second version appeared are reported at
        once, as their version can't be told from the targets any more.
        """
        self._history.observe(targets)
        if self._unreported and self._history.is_any_service_mixed():
            self._is_report_due.set()

    async def record_begin(
        self, request_id: str, service: str, version: str
    ) -> None:
        """Records the version that brings the first event of a stream.

        Returns once the leader knows it, if it may be asked for it.

        Args:
            request_id: Id of the request that brings the event.
            service: The service of the stream.
            version: The software version of the target.
        """
        stream = stream_digest(request_id)
        self._records.add(stream, version)
        self._unreported[stream] = version
        while len(self._unreported) > MAX_STREAMS:
            del self._unreported[next(iter(self._unreported))]
        if self._history.sole_version(service) is not None:
            return
        self._is_report_due.set()
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_MS / 1_000):
                while stream in self._unreported:
                    await self._reported.wait()
        except TimeoutError:
            _LOG.warning(
                "stream_version_not_shared", id=request_id, version=version
            )

    async def find(self, request_id: str, service: str) -> str | None:
        """Returns the software version that began a stream.

        Args:
            request_id: Id of the request that brought the first event; empty
                if the caller does not name it.
            service: The service of the stream.

        The targets that this entry knows tell nothing of a stream that began at
        another entry: that one may have heard of targets of another version
        already.

        Returns:
            The version; None if nobody can tell it.

        Raises:
            VersionUnavailableError: If the leader could not be asked.
        """
        stream = stream_digest(request_id)
        version = self._records.find(stream)
        if version is not None:
            return version
        wanted = messages.WantedStream(stream, service)
        try:
            reply = await self._control.call(
                messages.StreamExchange(wanted=(wanted,)), FIND_TIMEOUT_MS
            )
        except (
            control_client.ControlUnavailableError,
            errors.WireError,
        ) as error:
            _LOG.warning(
                "stream_version_unavailable", id=request_id, error=error
            )
            raise VersionUnavailableError(str(error)) from error
        if not isinstance(reply, messages.StreamReply) or not reply.versions:
            return None
        return reply.versions[0]

    def next_report(self) -> tuple[messages.BegunStreams, ...]:
        """Returns unreported streams for the next exchange of loads."""
        self._in_exchange = self._take_unreported()
        return _group_by_version(self._in_exchange)

    def apply_reply(self, epoch: str) -> None:
        """Records that the last exchange was answered.

        Args:
            epoch: Identifies the memory of the leader; a new one knows none
                of the streams.
        """
        if epoch != self._epoch:
            self._epoch = epoch
            self._unreported = self._records.all()
        else:
            self._remove_reported(self._in_exchange)

    def _take_unreported(self) -> dict[int, str]:
        return dict(list(self._unreported.items())[:MAX_REPORTED_STREAMS])

    def _remove_reported(self, version_by_stream: dict[int, str]) -> None:
        for stream in version_by_stream:
            self._unreported.pop(stream, None)
        self._reported.set()
        self._reported = asyncio.Event()

    async def _run(self) -> None:
        while True:
            await self._is_report_due.wait()
            self._is_report_due.clear()
            reported = self._take_unreported()
            if not reported:
                continue
            try:
                await self._control.call(
                    messages.StreamExchange(_group_by_version(reported)),
                    REPORT_TIMEOUT_MS,
                )
            except (
                control_client.ControlUnavailableError,
                errors.WireError,
            ) as error:
                _LOG.debug("report_failed", error=error)
                continue
            self._remove_reported(reported)


def _group_by_version(
    version_by_stream: dict[int, str],
) -> tuple[messages.BegunStreams, ...]:
    streams_by_version: dict[str, list[int]] = {}
    for stream, version in version_by_stream.items():
        streams_by_version.setdefault(version, []).append(stream)
    return tuple(
        messages.BegunStreams(version, tuple(streams))
        for version, streams in streams_by_version.items()
    )


__all__ = [
    "REPORT_TIMEOUT_MS",
    "StreamVersions",
    "VersionUnavailableError",
    "stream_digest",
]
