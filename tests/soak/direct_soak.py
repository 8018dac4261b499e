"""A soak of entries that reach targets directly."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import http.client
import itertools
import random
import threading
import time

from standins import direct_target
from tests.helpers import direct_entry
from tests.soak import direct_fleet
from tests.soak import replacements
from tests.soak import schedule
from tests.soak import soak
from tests.soak import timeline
from tests.soak import usage
from tests.support import strikes

CALLERS = 12
PIECES = 4
PAUSE_S = 0.05
CONNECT_TIMEOUT_S = 1.0
MAX_RETRY_AFTER_S = 1.0
CHANGE_PAUSE_S = 0.3
# the deployments' bound on a route table in force everywhere
APPLY_S = 2.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
ALLOWED_STATUSES = (200, 502, 504, *NOT_RUN_STATUSES)
MAX_SENDS_BY_KIND = {
    "idempotent": 2,
    "once": 1,
    "stream": 1,
    "resumable stream": 2,
}
# the entries' second-send budget, which two windows may give
SECOND_SEND_RATIO = 0.2
SECOND_SENDS = 40


# long enough for a few losses, each with its time to catch up
REPLACING_MS = 20_000


def replacing_kind_by_name(entries=2, targets=4):
    """Returns the processes that are struck beside replacements."""
    kinds = kind_by_name(0, entries, targets)
    del kinds["control"]
    return kinds


def kind_by_name(controls=3, entries=2, targets=4):
    """Returns the processes that are struck."""
    return {
        "control": schedule.Kind(
            [f"control-{n}" for n in range(controls)], schedule.PROCESS_FAULTS
        ),
        "entry": schedule.Kind(
            [f"entry-{n}" for n in range(entries)], schedule.PROCESS_FAULTS
        ),
        "target": schedule.Kind(
            [f"target-{n}" for n in range(targets)],
            (*schedule.LINK_FAULTS, "spoil"),
        ),
    }


class Callers:
    """Callers that use each connection until it ends.

    Attributes:
        findings: What may not be.
        kind_by_id: The kind of each request that was sent.
        not_run_ids: Ids of the requests that are said not to have run.
        answered: Number of whole answers.
    """

    def __init__(self, fleet, seed):
        self.findings = []
        self.kind_by_id = {}
        self.not_run_ids = set()
        self.answered = 0
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        # id and number of events of streams that may be resumed
        self._broken = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._run()), daemon=True
        )
        self._thread.start()

    def finish(self):
        """Returns once all callers have their last answer."""
        self._stopped.set()
        self._thread.join()

    async def _run(self):
        entries = self._fleet.names("entry-")
        async with asyncio.TaskGroup() as group:
            for number in range(CALLERS):
                group.create_task(self._call(entries[number % len(entries)]))

    async def _call(self, entry):
        """Sends one request after the other to an entry."""
        connection = None
        while not self._stopped.is_set():
            try:
                connection = connection or await self._connect(entry)
                answer = await self._exchange(*connection)
            except (OSError, TimeoutError):
                answer = direct_entry.Answer()
            if connection is not None and not answer.is_open:
                connection[1].transport.abort()
                connection = None
            pause_s = float(answer.value_by_header.get("retry-after", PAUSE_S))
            await asyncio.sleep(min(pause_s, MAX_RETRY_AFTER_S))
        if connection is not None:
            connection[1].transport.abort()

    async def _connect(self, entry):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(
                self._fleet.ip_by_name[entry], direct_fleet.CALLER_PORT
            )

    async def _exchange(self, reader, writer):
        kind = self._rng.choice(list(MAX_SENDS_BY_KIND))
        request_id = f"soak-{next(self._numbers)}"
        resumed_id, seen = "", 0
        if kind == "resumable stream" and self._broken:
            resumed_id, seen = self._broken.pop()
        self.kind_by_id[request_id] = kind
        writer.write(request(kind, request_id, resumed_id, seen))
        answer = direct_entry.Answer()
        try:
            return await direct_entry.read_answer(reader, answer)
        finally:
            self._check(answer, kind, request_id, seen)
            seen += answer.body.count(b"\n\n")
            if kind == "resumable stream" and seen and not answer.is_complete:
                self._broken.append((resumed_id or request_id, seen))

    def _check(self, answer, kind, request_id, seen):
        if not answer.status:
            return
        echoed = answer.value_by_header.get("x-attempt-id", request_id)
        if echoed != request_id:
            self.findings.append(f"misattributed: {request_id}, {echoed}")
        if answer.status not in ALLOWED_STATUSES:
            self.findings.append(f"{request_id} got {answer.status}")
        if answer.status in NOT_RUN_STATUSES:
            self.not_run_ids.add(request_id)
        if answer.status == 200:
            self.answered += answer.is_complete
            if not is_sound(answer, expected_body(kind, request_id, seen)):
                self.findings.append(f"unsound: {request_id}, {kind}, {answer}")


def is_sound(answer, expected):
    """Returns whether an answer has nothing but what a target said.

    Only a length or chunks prove that it is whole. One that ends with its
    connection may have fewer events, but all of them whole.

    Args:
        answer: What the caller received.
        expected: The whole body.
    """
    if answer.is_complete:
        return answer.body == expected
    if not answer.is_ended_unframed:
        return expected.startswith(answer.body)
    is_between_events = answer.body[-2:] in (b"", b"\n\n")
    return answer.body == expected or (
        is_between_events and expected.startswith(answer.body)
    )


def request(kind, request_id, resumed_id="", seen=0):
    """Returns the bytes of a request.

    Args:
        kind: Its kind.
        request_id: Its id.
        resumed_id: Id of the request that began its stream; empty for its own.
        seen: Number of events that its caller has already.
    """
    return direct_entry.request(
        kind,
        request_id,
        Resumes=resumed_id or None,
        Last_Event_Id=str(seen) if seen else None,
        Host=direct_fleet.HOST_NAME,
        Authorization=f"Bearer {direct_fleet.KEY}",
    )


def expected_body(kind, request_id, seen=0):
    """Returns the whole answer of a target after some events."""
    if kind == "once":
        return f"whole {request_id}".encode()
    return b"".join(
        f": {request_id}\n".encode() + direct_target.EVENT % (number, number)
        for number in range(seen + 1, PIECES + 1)
    )


class Operators:
    """Sends route tables and reads them back.

    Attributes:
        findings: What may not be.
        kept: Number of tables that were acknowledged.
    """

    def __init__(self, fleet, seed):
        self.findings = []
        self.kept = 0
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._version = 1
        self._kept_at_s = [(0.0, 1)]
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def finish(self):
        """Stops changing, and reads the last table at each instance."""
        self._stopped.set()
        self._thread.join()
        for name in self._fleet.names("control-"):
            give_up_s = time.monotonic() + soak.RECOVERY_S
            found = 0
            while found < self._kept_at_s[-1][1]:
                if time.monotonic() > give_up_s:
                    self.findings.append(
                        f"changes: {name} has table {found},"
                        f" {self._kept_at_s[-1][1]} was kept"
                    )
                    break
                found = self._read(name)
                time.sleep(CHANGE_PAUSE_S)

    def _run(self):
        while not self._stopped.wait(CHANGE_PAUSE_S):
            names = self._fleet.names("control-")
            self._change(self._rng.choice(names))
            self._check_read(self._rng.choice(names))

    def _change(self, name):
        """Sends the next table, or one again that got no clear answer."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            answer = self._fleet.operate(
                name, "PUT", direct_fleet.table(self._version + 1)
            )
            if answer.status == 200:
                self._version += 1
                self.kept += 1
                self._kept_at_s.append((time.monotonic(), self._version))
            elif 400 <= answer.status < 500:
                self.findings.append(
                    f"changes: table {self._version + 1} got {answer.status}"
                )

    def _check_read(self, name):
        due_s = time.monotonic() - APPLY_S
        due = max(version for at_s, version in self._kept_at_s if at_s <= due_s)
        found = self._read(name)
        if found and found < due:
            self.findings.append(f"changes: {name} read {found} after {due}")

    def _read(self, name):
        """Returns the version that an instance reads back; 0 for none."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            answer = self._fleet.operate(name, "GET")
            if answer.status == 200:
                return answer.json["version"]
        return 0


def play(due, seed=1, *, replaces_controls=False):
    """Starts a fleet, plays a schedule at it and ends all its processes.

    Args:
        due: The schedule.
        seed: Determines the calls, the changes, the replacements and what
            targets spoil.
        replaces_controls: Whether control instances are lost and replaced
            meanwhile.
    """
    with direct_fleet.running(seed=seed) as fleet:
        watcher = usage.UsageWatcher(fleet.group)
        try:
            findings = _play(fleet, due, watcher, seed, replaces_controls)
        finally:
            watcher.close()
        result = soak.Result(
            due, findings + watcher.findings, watcher.peak_mb_by_role
        )
        if result.findings:
            result.log_by_name = {
                name: process.log_text()
                for name, process in fleet.group.process_by_name.items()
            }
        return result


def _play(fleet, due, watcher, seed, replaces_controls):
    callers = Callers(fleet, seed)
    operators = Operators(fleet, seed)
    replaced = None
    if replaces_controls:
        replaced = replacements.Replacements(fleet, watcher, seed)
    timeline.play(due, strikes.Striker(fleet), watcher, lambda name: None)
    if replaced is not None:
        replaced.finish()
    findings = _check_recovery(fleet)
    callers.finish()
    operators.finish()
    findings += callers.findings + operators.findings
    if not callers.answered or not operators.kept:
        findings.append("nothing was answered or nothing was kept")
    if replaced is not None and findings:
        findings.append(f"replaced: {', '.join(replaced.done)}")
    return findings + check_runs(fleet, callers)


def _check_recovery(fleet):
    """Checks that each entry answers each kind of request again in time."""
    findings = []
    give_up_s = time.monotonic() + soak.RECOVERY_S
    for name in fleet.names("entry-"):
        for kind in MAX_SENDS_BY_KIND:
            while not asyncio.run(_is_answered(fleet, name, kind)):
                if time.monotonic() > give_up_s:
                    findings.append(f"{name} does not answer a {kind}")
                    break
    return findings


async def _is_answered(fleet, name, kind):
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                fleet.ip_by_name[name], direct_fleet.CALLER_PORT
            )
            with contextlib.closing(writer):
                writer.write(request(kind, "recovered"))
                answer = await direct_entry.read_answer(reader)
    except (OSError, TimeoutError):
        return False
    return answer.status == 200 and answer.is_complete


def check_runs(fleet, callers):
    """Compares what targets received with what callers were told."""
    ids = [
        received.value_by_header.get("x-attempt-id", "")
        for target in fleet.targets.targets
        for received in target.received
    ]
    count_by_id = collections.Counter(
        request_id for request_id in ids if request_id in callers.kind_by_id
    )
    findings = [
        f"false_not_run: {request_id}"
        for request_id in callers.not_run_ids
        if count_by_id[request_id]
    ]
    findings += [
        f"doubled: {request_id}, a {kind}, ran {count_by_id[request_id]} times"
        for request_id, kind in callers.kind_by_id.items()
        if count_by_id[request_id] > MAX_SENDS_BY_KIND[kind]
    ]
    most = len(count_by_id) * (1 + SECOND_SEND_RATIO) + SECOND_SENDS
    if count_by_id.total() > most:
        findings.append(
            f"{count_by_id.total()} runs of {len(count_by_id)} requests"
        )
    return findings


__all__ = [
    "PIECES",
    "REPLACING_MS",
    "check_runs",
    "expected_body",
    "is_sound",
    "kind_by_name",
    "play",
    "replacing_kind_by_name",
]
