"""Evidence of crashes of targets, merged from all processes of a fleet."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import xxhash

from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from lycheering import clock

MAX_CRASHES = 128
MAX_PROMPTS_PER_CRASH = 32
MAX_PARTS_PER_PROMPT = 16
MAX_KEY_LENGTH = 32
# Makes a fingerprint longer than any key of a part.
FINGERPRINT_PREFIX = "request:"
MAX_RECENT_ANSWERS = 4_096
CRASH_TTL_MS = 7_200_000.0
# Reports of a target's crash that are this close are about the same crash.
SAME_CRASH_MS = 1_000.0

# when each of some keys was answered last, the latest one last
_TimesByKey = collections.OrderedDict[str, float]


@dataclasses.dataclass
class Crash:
    """A crash of a target.

    Attributes:
        target: Digest of the target's key.
        crashed_ms: Time of the crash.
        prompts: The prompts that the target had not answered yet.
        version: Version of the ledger with the last change of this crash.
    """

    target: int
    crashed_ms: float
    prompts: set[messages.BrokenPrompt] = dataclasses.field(default_factory=set)
    version: int = 0


@dataclasses.dataclass
class _Answered:
    """The last answer to a prompt with a part, or to a request.

    Attributes:
        answered_ms: Time of that answer.
        version: Version of the ledger with the last change of this time.
    """

    answered_ms: float
    version: int


class CrashLedger:
    """Crashes, and what was answered of their prompts otherwise.

    Answers are kept by the parts of prompts and by the fingerprints of whole
    requests. Evidence of several processes can be merged in any order and more
    than once. Of the answers, only those to parts and requests in crashes are
    part of the evidence, so that there is none without a crash.

    Attributes:
        version: Increased with each change of the evidence.
        crashes: The crashes, the oldest first.
    """

    def __init__(self, time: clock.Clock) -> None:
        self.version = 0
        self.crashes: list[Crash] = []
        self._clock = time
        self._answered_by_key: dict[str, _Answered] = {}
        self._crash_times_ms_by_key: dict[str, set[float]] = {}
        # of recent answers, the latest one last; apart from each other, as
        # nearly every request has a fingerprint of its own
        self._recent_ms_by_part: _TimesByKey = collections.OrderedDict()
        self._recent_ms_by_fingerprint: _TimesByKey = collections.OrderedDict()

    def record_crash(
        self,
        target: int,
        crashed_ms: float,
        prompts: Iterable[messages.BrokenPrompt],
    ) -> None:
        """Records a crash, or more prompts of a known one.

        Args:
            target: Digest of the target's key.
            crashed_ms: Time of the crash.
            prompts: The prompts that the target had not answered yet.
        """
        crash = self._find(target, crashed_ms)
        if crash is None:
            crash = Crash(target, crashed_ms)
            self.crashes.append(crash)
            self.crashes.sort(key=lambda known: known.crashed_ms)
            self._remove_old()
            if self.crashes[0].crashed_ms > crashed_ms:
                # older than all that are kept
                return
        added = set(prompts) - crash.prompts
        room = MAX_PROMPTS_PER_CRASH - len(crash.prompts)
        if not added or room <= 0:
            return
        crash.prompts.update(sorted(added, key=_evidence_order)[:room])
        self.version += 1
        crash.version = self.version
        for key in _keys_of(crash):
            times_ms = self._crash_times_ms_by_key.setdefault(key, set())
            times_ms.add(crash.crashed_ms)
            recent_ms = self._recent_ms_by_part.get(
                key, self._recent_ms_by_fingerprint.get(key)
            )
            if recent_ms is not None:
                self._add_answer(key, recent_ms)

    def record_answered(
        self, parts: Iterable[str], fingerprint: str = ""
    ) -> None:
        """Records that a target has just answered a prompt without a crash.

        Args:
            parts: Keys of the shared parts of the prompt.
            fingerprint: Fingerprint of the request; empty for none.
        """
        for part in parts:
            self._record_recent(self._recent_ms_by_part, part)
        if fingerprint:
            self._record_recent(self._recent_ms_by_fingerprint, fingerprint)

    def _record_recent(self, recent_ms_by_key: _TimesByKey, key: str) -> None:
        now_ms = self._clock.now_ms()
        recent_ms_by_key[key] = now_ms
        recent_ms_by_key.move_to_end(key)
        while len(recent_ms_by_key) > MAX_RECENT_ANSWERS:
            recent_ms_by_key.popitem(last=False)
        self._add_answer(key, now_ms)

    def answered_ms(self, key: str) -> float | None:
        """Returns when a part or a request in a crash was answered last.

        Args:
            key: Key of the part, or fingerprint of the request.
        """
        answered = self._answered_by_key.get(key)
        return answered.answered_ms if answered is not None else None

    def crash_count(self, key: str) -> int:
        """Returns in how many crashes a part or a request was.

        Args:
            key: Key of the part, or fingerprint of the request.
        """
        return len(self._crash_times_ms_by_key.get(key, ()))

    def merge(self, evidence: messages.CrashEvidence) -> None:
        """Adds the evidence of another process."""
        now_ms = self._clock.now_ms()
        for crash in evidence.crashes:
            if 0 <= crash.age_ms < CRASH_TTL_MS:
                self.record_crash(
                    crash.target, now_ms - crash.age_ms, crash.prompts
                )
        for answered in evidence.answered:
            self._add_answer(answered.part, now_ms - max(0, answered.age_ms))

    def evidence_since(self, version: int) -> messages.CrashEvidence:
        """Returns the evidence that changed after a version of the ledger."""
        now_ms = self._clock.now_ms()
        if version >= self.version:
            return messages.CrashEvidence()
        crashes = tuple(
            messages.TargetCrash(
                crash.target,
                round(now_ms - crash.crashed_ms),
                tuple(sorted(crash.prompts, key=_evidence_order)),
            )
            for crash in self.crashes
            if crash.version > version
        )
        answered = tuple(
            messages.AnsweredPart(key, round(now_ms - known.answered_ms))
            for key, known in self._answered_by_key.items()
            if known.version > version
        )
        return messages.CrashEvidence(crashes, answered)

    def expire(self) -> None:
        """Drops evidence that is too old."""
        oldest_ms = self._clock.now_ms() - CRASH_TTL_MS
        if self.crashes and self.crashes[0].crashed_ms < oldest_ms:
            self.crashes = [
                crash for crash in self.crashes if crash.crashed_ms >= oldest_ms
            ]
            self._remove_old()
            self.version += 1

    def _find(self, target: int, crashed_ms: float) -> Crash | None:
        for crash in self.crashes:
            if (
                crash.target == target
                and abs(crash.crashed_ms - crashed_ms) < SAME_CRASH_MS
            ):
                return crash
        return None

    def _add_answer(self, key: str, answered_ms: float) -> None:
        """Adds an answer to the evidence if it says more about a crash."""
        crash_times_ms = self._crash_times_ms_by_key.get(key)
        known = self._answered_by_key.get(key)
        if not crash_times_ms or (
            known is not None
            and not any(
                known.answered_ms <= crashed_ms < answered_ms
                for crashed_ms in crash_times_ms
            )
        ):
            return
        self.version += 1
        self._answered_by_key[key] = _Answered(answered_ms, self.version)

    def _remove_old(self) -> None:
        """Drops surplus crashes, and answers that concern no known crash."""
        del self.crashes[: max(0, len(self.crashes) - MAX_CRASHES)]
        self._crash_times_ms_by_key = {}
        for crash in self.crashes:
            for key in _keys_of(crash):
                self._crash_times_ms_by_key.setdefault(key, set()).add(
                    crash.crashed_ms
                )
        for key in self._answered_by_key.keys() - (
            self._crash_times_ms_by_key.keys()
        ):
            del self._answered_by_key[key]


def _keys_of(crash: Crash) -> set[str]:
    """Returns the parts and the fingerprints of a crash's prompts."""
    keys = {part for prompt in crash.prompts for part in prompt.parts}
    keys.update(prompt.fingerprint for prompt in crash.prompts)
    keys.discard("")
    return keys


def request_fingerprint(
    method: str, path: str, parts: Iterable[str], body: bytes
) -> str:
    """Returns the name by which evidence knows a request again.

    A caller that repeats a request gives it a new id and the same content.

    Args:
        method: Its HTTP method.
        path: Its path with the query.
        parts: Keys of all parts of its prompt, also of those not shared.
        body: Its body.
    """
    digest = xxhash.xxh3_128(f"{method} {path} {','.join(parts)}\0".encode())
    digest.update(body)
    return FINGERPRINT_PREFIX + digest.hexdigest()


def request_digest(request_id: str) -> int:
    """Returns the digest by which evidence names a request."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) >> 16


def target_digest(name: str) -> int:
    """Returns the digest by which evidence names a target behind an agent."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> 16


def part_keys(keys: Sequence[str]) -> tuple[str, ...]:
    """Returns the keys of a prompt's shared parts as evidence names them.

    Long keys are replaced by a hash, and surplus parts left out.
    """
    return tuple(
        key
        if len(key) <= MAX_KEY_LENGTH
        else xxhash.xxh3_64_hexdigest(key.encode())
        for key in keys[:MAX_PARTS_PER_PROMPT]
    )


def _evidence_order(
    prompt: messages.BrokenPrompt,
) -> tuple[bool, tuple[str, ...], int]:
    """Orders prompts so that those just begun come first."""
    return not prompt.has_begun, prompt.parts, prompt.request


__all__ = [
    "CRASH_TTL_MS",
    "Crash",
    "CrashLedger",
    "part_keys",
    "request_digest",
    "request_fingerprint",
    "target_digest",
]
