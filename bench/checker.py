"""Judges a run from what the callers saw and what the targets recorded."""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING
import urllib.request

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Sequence

    from bench.load import driver

FETCH_TIMEOUT_S = 10
ID_SEPARATOR = "."


class TargetRun(msgspec.Struct):
    """One run in the record of an engine or a service.

    Attributes:
        request_id: The request id that the target saw.
        outcome: How the run ended.
        key: The idempotency key, for a service.
        path: Path of the call, for a service.
        body_digest: Hash of the body, for a service.
        salt: Cache salt of the innermost piece, for an engine.
        weights_version: Version that answered; empty if none has.
        cached_pieces: Pieces found in the cache.
        prompt_pieces: Pieces of the prompt.
        tokens_sent: Tokens generated.
    """

    request_id: str
    outcome: str
    key: str = ""
    path: str = ""
    body_digest: str = ""
    salt: str = ""
    weights_version: str = ""
    cached_pieces: int = 0
    prompt_pieces: int = 0
    tokens_sent: int = 0

    @property
    def has_run(self) -> bool:
        """Whether the target has done anything for the request."""
        if self.outcome == "refused":
            return False
        return bool(self.path) or bool(self.weights_version)


class TargetRecord(msgspec.Struct):
    """The record of one target."""

    runs: list[TargetRun]


class ServiceAnswer(msgspec.Struct):
    """What the plain service answers."""

    path: str
    body_digest: str


class Fault(enum.StrEnum):
    """What can be wrong with a call."""

    LOST = "lost"
    DOUBLED = "doubled"
    MISATTRIBUTED = "misattributed"
    FALSE_NOT_RUN = "false_not_run"


@dataclasses.dataclass(frozen=True)
class Finding:
    """One fault and where it was seen."""

    fault: Fault
    call_id: str
    detail: str


@dataclasses.dataclass
class Verdict:
    """The judgement of a run.

    Attributes:
        whole: Number of calls with their whole, own answer.
        refused: Number of calls that ended with an explicit error.
        findings: Every fault found.
    """

    whole: int = 0
    refused: int = 0
    findings: list[Finding] = dataclasses.field(default_factory=list)

    def count(self, fault: Fault) -> int:
        """Returns the number of findings of one fault."""
        return sum(finding.fault is fault for finding in self.findings)

    def line(self) -> str:
        """Returns the counts in one line."""
        return (
            f"whole={self.whole} lost={self.count(Fault.LOST)}"
            f" doubled={self.count(Fault.DOUBLED)}"
            f" misattributed={self.count(Fault.MISATTRIBUTED)}"
        )

    @property
    def is_clean(self) -> bool:
        """Whether no fault was found."""
        return not self.findings


def fetch_runs(urls: Iterable[str]) -> list[TargetRun]:
    """Returns the runs that the targets at some URLs have recorded."""
    runs: list[TargetRun] = []
    for url in urls:
        with urllib.request.urlopen(
            f"{url}/admin/record", timeout=FETCH_TIMEOUT_S
        ) as response:
            record = msgspec.json.decode(response.read(), type=TargetRecord)
        runs += record.runs
    return runs


def base_id(request_id: str) -> str:
    """Returns the caller's request id, without what a router appended."""
    return request_id.split(ID_SEPARATOR)[0]


def call_id_of(request_id: str) -> str:
    """Returns the id of the call that a request id was made from."""
    return base_id(request_id).rsplit("-", 1)[0]


def check(
    records: Sequence[driver.CallRecord],
    runs: Sequence[TargetRun],
    shared_salts: Collection[str] = (),
) -> Verdict:
    """Judges a run.

    Args:
        records: What the callers saw.
        runs: What the targets recorded.
        shared_salts: Cache salts that several teams may use.

    Returns:
        The judgement.
    """
    verdict = Verdict()
    for record in records:
        check_answer(record, verdict)
    check_not_run(records, runs, verdict)
    check_doubled(records, runs, verdict)
    check_salts(records, runs, shared_salts, verdict)
    return verdict


def check_answer(record: driver.CallRecord, verdict: Verdict) -> None:
    """Compares the answer with the one that belongs to the call."""
    call = record.call
    for attempt in record.attempts:
        if attempt.echoed_id not in ("", attempt.request_id):
            add(verdict, Fault.MISATTRIBUTED, call.call_id, attempt.echoed_id)
    if not record.looks_whole:
        if record.error is not None:
            verdict.refused += 1
            return
        failure = record.attempts[-1].failure if record.attempts else "unsent"
        add(verdict, Fault.LOST, call.call_id, failure or "no whole answer")
        return
    fault = service_fault(record) if call.service else text_fault(record)
    if fault is None:
        verdict.whole += 1
    else:
        add(verdict, fault, call.call_id, "another answer, or a part of it")


def text_fault(record: driver.CallRecord) -> Fault | None:
    """Returns what is wrong with the text of a completion."""
    expected = record.call.expected_text()
    if record.text == expected:
        return None
    is_cut = expected.startswith(record.text)
    return Fault.LOST if is_cut else Fault.MISATTRIBUTED


def service_fault(record: driver.CallRecord) -> Fault | None:
    """Returns what is wrong with the answer of a service."""
    digest = xxhash.xxh3_128(record.call.body()).hexdigest()
    try:
        answer = msgspec.json.decode(record.body, type=ServiceAnswer)
    except msgspec.DecodeError:
        return Fault.LOST
    is_own = answer.body_digest == digest and answer.path.endswith(
        record.call.service_path
    )
    return None if is_own else Fault.MISATTRIBUTED


def check_not_run(
    records: Sequence[driver.CallRecord],
    runs: Sequence[TargetRun],
    verdict: Verdict,
) -> None:
    """Compares every "not run" with the targets' records."""
    run_ids = {base_id(run.request_id) for run in runs if run.has_run}
    for record in records:
        for attempt in record.attempts:
            says_not_run = attempt.error is not None and attempt.error.not_run
            if says_not_run and attempt.request_id in run_ids:
                add(
                    verdict,
                    Fault.FALSE_NOT_RUN,
                    record.call.call_id,
                    attempt.request_id,
                )


def check_doubled(
    records: Sequence[driver.CallRecord],
    runs: Sequence[TargetRun],
    verdict: Verdict,
) -> None:
    """Finds calls that ran more than once though they may not."""
    call_id_by_request_id = {
        attempt.request_id: record.call.call_id
        for record in records
        for attempt in record.attempts
    }
    count_by_call_id: collections.Counter[str] = collections.Counter()
    for run in runs:
        if run.has_run:
            request_id = base_id(run.request_id)
            call_id = call_id_by_request_id.get(request_id, run.key)
            count_by_call_id[call_id] += 1
    for record in records:
        call = record.call
        count = count_by_call_id[call.call_id]
        if not call.is_repeatable and count > 1:
            add(verdict, Fault.DOUBLED, call.call_id, f"ran {count} times")


def check_salts(
    records: Sequence[driver.CallRecord],
    runs: Sequence[TargetRun],
    shared_salts: Collection[str],
    verdict: Verdict,
) -> None:
    """Finds runs under the cache salt of another team."""
    team_by_request_id = {
        attempt.request_id: record.call.team
        for record in records
        for attempt in record.attempts
    }
    team_by_salt: dict[str, str] = {}
    for run in runs:
        team = team_by_request_id.get(base_id(run.request_id))
        if team is None or run.path or run.salt in shared_salts:
            continue
        owner = team_by_salt.setdefault(run.salt, team)
        if owner != team:
            detail = f"{team} ran under the salt of {owner}"
            add(verdict, Fault.MISATTRIBUTED, run.request_id, detail)


def add(verdict: Verdict, fault: Fault, call_id: str, detail: str) -> None:
    """Adds a finding."""
    verdict.findings.append(Finding(fault, call_id, detail))


__all__ = [
    "Fault",
    "Finding",
    "TargetRun",
    "Verdict",
    "call_id_of",
    "check",
    "fetch_runs",
]
