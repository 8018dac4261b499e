"""An entry that forwards to stand-in targets, and a caller of raw bytes."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from lycheering import clock
from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.fleet import view_holder
from lycheering.forward import allowance_gate
from lycheering.forward import application
from lycheering.forward import attempt
from lycheering.forward import crash_detector
from lycheering.forward import forwarder
from lycheering.forward import intake
from lycheering.forward import liveness
from lycheering.forward import target_registry
from lycheering.forward import target_selection
from lycheering.platform import header_codec
from lycheering.retries import crash_ledger
from lycheering.retries import prompt_quarantine
from lycheering.retries import second_send_window
from lycheering.routes import api as routes
from lycheering.streams import stream_versions
from lycheering.telemetry import counters
from lycheering.telemetry import histograms
from lycheering.web import connection_pool
from lycheering.web import head_limits
from lycheering.web import server
from lycheering.wire import api as wire_api
from lycheering.wire import messages
from standins import direct_target
from tests.helpers import local_control

HOST = direct_target.own_host()
KEY = "secret-key"
TEAM = "team-a"
READ_TIMEOUT_S = 10
MAX_BODY_BYTES = 1_000
# of one target, from all entries together
MAX_CONNECTIONS = 100
PATH_BY_KIND = {
    "idempotent": "/safe/",
    "once": "/once/",
    "stream": "/stream/",
    "resumable stream": "/resume/",
    "once, resumable": "/once-resumable/",
    "idempotent, resumable": "/safe-resumable/",
    "public": "/public/",
}


@dataclasses.dataclass
class Answer:
    """An answer as the caller received it.

    Attributes:
        status: The HTTP status; 0 if no answer arrived.
        value_by_header: The headers, names in lower case.
        body: The body, without chunk framing.
        is_complete: Whether a length or chunks show that the body is whole.
        is_ended_unframed: Whether the body has neither, and its connection was
            closed and not reset.
        is_open: Whether the connection stays open.
    """

    status: int = 0
    value_by_header: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    is_open: bool = False
    is_ended_unframed: bool = False


class DirectEntry:
    """A forwarder behind a real HTTP server, with a view set by the test."""

    def __init__(
        self, targets, timeout_ms=3_000.0, allowance=100.0, control=None
    ):
        self.targets = targets
        self.control = control or local_control.LocalControl()
        self.timeout_ms = timeout_ms
        self.team_options = {}
        self.has_teams = True
        self.team = TEAM
        self.needs_key = True
        self.is_current = True
        self.max_body_bytes = MAX_BODY_BYTES
        self.limits = head_limits.HeadLimits(
            max_header_bytes=4_096, header_timeout_ms=300.0
        )
        time = clock.Clock()
        self.view = view_holder.ViewHolder()
        self.counters = counters.Counters()
        self.connections = connection_pool.HttpConnectionPool(time)
        self.registry = target_registry.TargetRegistry(time)
        self.crashes = crash_ledger.CrashLedger(time)
        self.quarantine = prompt_quarantine.PromptQuarantine(
            self.crashes,
            prompt_quarantine.QuarantineSettings(),
            time,
            random.Random(1),
            self.counters,
        )
        self.streams = stream_versions.StreamVersions(self.control, time)
        self.view.listen(self._observe_versions)
        codec = header_codec.PlatformHeaderCodec()
        self.intake = intake.RequestIntake(
            self.view,
            self.registry,
            codec,
            self._wait_until_current,
            time,
        )
        self.allowances = allowance_gate.AllowanceGate(
            self.control,
            wire_api.Identity(f"e{id(self)}", messages.Role.ENTRY, "d1"),
            self.control.rule,
            time,
            self.counters,
        )
        self.forwarder = forwarder.Forwarder(
            forwarder.ForwardSettings(
                target_selection.SelectionSettings(),
                second_send_window.SecondSendSettings(0.2, allowance, 10_000.0),
            ),
            self.view,
            self.intake,
            attempt.AttemptRunner(
                self.connections,
                self.registry,
                codec,
                self.crashes,
                self.streams,
                time,
            ),
            crash_detector.CrashDetector(
                self.crashes, self.connections, time, self.counters
            ),
            self.quarantine,
            "d1",
            time,
            self.counters,
            histograms.Histograms(self.counters),
            self.allowances,
        )
        self.liveness = liveness.LivenessMonitor(
            self.registry, self.connections, time, self.counters
        )
        self.application = application.ForwardApplication(
            self.forwarder, self.intake, codec, time, self.counters
        )
        self.web = server.WebServer(self.application, HOST, 0, self.limits)

    def _observe_versions(self):
        targets = self.view.fleet.direct_target_by_key.values()
        self.streams.observe(targets)
        self.control.aggregator.streams.observe(targets)

    async def _wait_until_current(self, timeout_ms):
        return self.is_current

    async def __aenter__(self):
        for target in self.targets:
            await target.start()
        self.put_table()
        self.put_targets()
        await self.liveness.start()
        await self.streams.start()
        await self.allowances.start()
        await self.web.start()
        return self

    async def __aexit__(self, *exc_info):
        await self.web.stop()
        await self.allowances.stop()
        await self.streams.stop()
        await self.liveness.stop()
        self.connections.close()
        for target in self.targets:
            await target.stop()

    def apply_change(self, change):
        fleet = self.view.fleet
        copy = view.FleetView()
        copy.restore(fleet.snapshot())
        self.view.take(
            view_holder.messages.ViewUpdate(
                numbered=(copy.add_change(change, by_operator=True),)
            )
        )

    def put_table(self, revision=1, keys=(KEY,)):
        service_shares = (routes.ServiceShare("s", 1),)
        options_by_name = {
            "idempotent": (routes.RouteKind.IDEMPOTENT, 2, False),
            "once": (routes.RouteKind.ONCE, 1, False),
            "stream": (routes.RouteKind.STREAM, 1, False),
            "resumable stream": (routes.RouteKind.STREAM, 2, True),
            "once, resumable": (routes.RouteKind.ONCE, 2, True),
            "idempotent, resumable": (routes.RouteKind.IDEMPOTENT, 2, True),
            "public": (routes.RouteKind.IDEMPOTENT, 2, False),
        }
        table_routes = tuple(
            routes.Route(
                name=name,
                host="one.test",
                path_prefix=PATH_BY_KIND[name],
                kind=kind,
                timeout_ms=self.timeout_ms,
                objective_ms=500.0,
                priority=1,
                shares=service_shares,
                max_sends=sends,
                is_resumable=resumable,
                is_public=name == "public",
            )
            for name, (kind, sends, resumable) in options_by_name.items()
        )
        digests = tuple(view.key_digest(key) for key in keys)
        teams = (
            routes.RouteTableTeam(self.team, digests, **self.team_options),
        )
        table = routes.RouteTable(
            revision,
            table_routes,
            (routes.Service("s", MAX_CONNECTIONS),),
            teams if self.has_teams else (),
            routes.CallerLimits(
                max_header_bytes=4_096, max_body_bytes=self.max_body_bytes
            ),
            needs_key=self.needs_key,
        )
        self.apply_change(changes.RouteTablePut(table))

    def put_targets(self):
        for target in self.targets:
            self.apply_change(
                changes.DirectTargetPut(
                    records.DirectTarget(
                        target.target_id,
                        "s",
                        target.host,
                        target.port,
                        "d1",
                        8,
                        software_version=target.software_version,
                    )
                )
            )

    async def connect(self):
        return await asyncio.open_connection(HOST, self.web.port)


def request(kind="idempotent", request_id="r1", **options):
    """Returns the bytes of a request."""
    body = options.pop("body", b"question")
    path = options.pop("path", PATH_BY_KIND[kind] + "x?y=1")
    values = {
        "Host": "one.test",
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "2000",
        "Authorization": f"Bearer {KEY}",
        "Content-Length": str(len(body)),
    }
    for name, value in options.items():
        values[name.replace("_", "-")] = value
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{n}: {v}" for n, v in values.items() if v is not None]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader, answer=None):
    """Returns what arrives until the answer or its connection ends.

    Args:
        reader: Reads the connection.
        answer: Takes what arrives, also if it does not end in time.
    """
    answer = answer or Answer()
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            answer.status = int(lines[0].split()[1])
            for line in lines[1:]:
                name, colon, value = line.partition(":")
                if colon:
                    answer.value_by_header[name.lower()] = value.strip()
            await _read_body(reader, answer)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass  # which the answer records
    closes = answer.value_by_header.get("connection") == "close"
    answer.is_open = answer.is_complete and not closes
    return answer


async def _read_body(reader, answer):
    if "content-length" in answer.value_by_header:
        length = int(answer.value_by_header["content-length"])
        await _read_bytes(reader, length, answer)
        answer.is_complete = True
        return
    if "transfer-encoding" not in answer.value_by_header:
        while data := await reader.read(65_536):
            answer.body += data
        answer.is_ended_unframed = True
        return
    while size := int(await reader.readuntil(b"\r\n"), 16):
        await _read_bytes(reader, size, answer)
        await reader.readexactly(2)
    await reader.readexactly(2)
    answer.is_complete = True


async def _read_bytes(reader, length, answer):
    try:
        answer.body += await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
        raise


async def ask(entry, data):
    """Sends one request on a connection of its own."""
    reader, writer = await entry.connect()
    writer.write(data)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


__all__ = [
    "KEY",
    "TEAM",
    "Answer",
    "DirectEntry",
    "ask",
    "direct_target",
    "read_answer",
    "request",
]
