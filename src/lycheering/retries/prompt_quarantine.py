"""Finds prompts that crash targets and keeps them from targets."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence
    from collections.abc import Set as AbstractSet
    import random

    from lycheering import clock
    from lycheering.retries import crash_ledger
    from lycheering.telemetry import counters
    from lycheering.wire import messages

_LOG = logs.get("quarantine")


@dataclasses.dataclass(frozen=True)
class QuarantineSettings:
    """When a prompt part or a request is quarantined and for how long.

    Attributes:
        min_crashes: Crashes that a part has to explain if no prompt with it is
            known to have been answered.
        min_crashes_if_answered: The same for other parts, which may be in the
            prompts of several crashes by coincidence.
        min_crashes_if_outermost: The same for those that begin each prompt
            that they are in, since most other prompts share them.
        min_crashes_of_request: Crashes under one and the same request, also
            under repetitions by its caller, after which it is sent no more.
        simultaneous_ms: Crashes within this time count as one, as they may
            have one cause outside of any prompt, unless the same request was
            sent to several of the targets.
        settling_ms: Time after a crash in which reports of it may be missing.
        initial_ms: Duration of the quarantine after the last crash.
        growth: Factor on the duration for each further crash.
        max_ms: Longest duration.
        trial_gap_ms: Shortest time between the requests by which an entry
            tests, after that duration, whether targets still crash.
    """

    min_crashes: int = 2
    min_crashes_if_answered: int = 3
    min_crashes_if_outermost: int = 4
    min_crashes_of_request: int = 3
    simultaneous_ms: float = 200.0
    settling_ms: float = 300.0
    initial_ms: float = 60_000.0
    growth: float = 4.0
    max_ms: float = 3_600_000.0
    trial_gap_ms: float = 10_000.0


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """The quarantine of one prompt part, or of one request.

    Attributes:
        key: Key of the part, or fingerprint of the request.
        crash_count: Crashes that it explains.
        last_crash_ms: Time of the last one.
        until_ms: Time from which on single requests test it again.
        is_request: Whether a request is quarantined, with whatever parts.
    """

    key: str
    crash_count: int
    last_crash_ms: float
    until_ms: float
    is_request: bool = False

    @property
    def kind(self) -> str:
        """What is quarantined, as a word for logs."""
        return "request" if self.is_request else "part"

    @property
    def reason(self) -> str:
        """Why a request is refused, as text for its caller."""
        if self.is_request:
            return f"{self.crash_count} targets crashed under this request"
        return (
            f"part {self.key} of the prompt was in {self.crash_count} crashes"
            " of targets"
        )


@dataclasses.dataclass
class _Suspect:
    """A part of prompts, or a request, that crashes left unanswered.

    Attributes:
        moment_by_crash: The crashes, by index, and the moment of each; crashes
            at the same moment may be one accident.
        begun_count: How many of them came as an answer to it had just begun.
        targets_by_request: Targets that crashed under each request.
        depth: Its position in a prompt; parts that many prompts share come
            first.
    """

    moment_by_crash: dict[int, int] = dataclasses.field(default_factory=dict)
    begun_count: int = 0
    depth: int = 0
    targets_by_request: dict[int, set[int]] = dataclasses.field(
        default_factory=dict
    )

    def crash_count(self, crashes: AbstractSet[int]) -> int:
        """Returns how many of the given crashes are not one accident.

        Targets that crash one after the other under the same request do not
        crash at once by coincidence, so each of them counts.
        """
        moments = {
            moment
            for crash, moment in self.moment_by_crash.items()
            if crash in crashes
        }
        if not moments:
            return 0
        targets = map(len, self.targets_by_request.values())
        return max(len(moments), max(targets, default=0))


class PromptQuarantine:
    """Refuses prompts under which targets keep crashing.

    A crash also breaks requests that have nothing to do with it. A part is
    found by repetition: it is in a prompt that had not been answered at several
    crashes, and in none that was answered since. Each crash is explained by one
    part, the one that explains the most crashes, so that the parts beside it
    are not quarantined with it. If several explain as many, it is one that was
    never answered and that fewer prompts share. Against a part that was
    answered before, a crash counts only when all reports of it are in.

    A single request may crash targets although others with the same parts are
    sound. It is found by its fingerprint, and its crashes are not held against
    parts that were answered otherwise.

    Attributes:
        entry_count: Number of entries that share the tests of a part.
        on_quarantined: Called with each part or fingerprint that becomes
            quarantined.
    """

    def __init__(
        self,
        ledger: crash_ledger.CrashLedger,
        settings: QuarantineSettings,
        time: clock.Clock,
        rng: random.Random,
        counts: counters.Counters,
    ) -> None:
        """Creates a quarantine that follows a ledger.

        Args:
            ledger: The evidence.
            settings: When a part is quarantined and for how long.
            time: The clock.
            rng: Source of randomness for the choice of the testing entry.
            counts: The counters of the process.
        """
        self.entry_count = 1
        self.on_quarantined: Callable[[str], None] = lambda key: None
        self._ledger = ledger
        self._settings = settings
        self._clock = time
        self._rng = rng
        self._counters = counts
        self._ledger_version = 0
        self._next_update_ms = math.inf
        self._quarantine_by_key: dict[str, Quarantine] = {}
        self._trial_ms_by_key: dict[str, float] = {}

    def find(
        self, parts: Iterable[str], fingerprint: str = ""
    ) -> Quarantine | None:
        """Returns the quarantine that a prompt has to be refused for, if any.

        Args:
            parts: Keys of the shared parts of the prompt.
            fingerprint: Fingerprint of the request; empty for none.
        """
        self._update()
        if not self._quarantine_by_key:
            return None
        for key in (fingerprint, *parts):
            quarantine = self._quarantine_by_key.get(key)
            if quarantine is not None and not self._may_test(quarantine):
                return quarantine
        return None

    def next_crash_quarantines(self, fingerprint: str) -> bool:
        """Returns whether a request may be sent no more after one more crash.

        Args:
            fingerprint: Fingerprint of the request.
        """
        crash_count = self._ledger.crash_count(fingerprint)
        return crash_count + 1 >= self._settings.min_crashes_of_request

    def retry_after_ms(self, quarantine: Quarantine) -> float:
        """Returns the time after which a prompt with the part may be tested."""
        return max(
            self._settings.trial_gap_ms,
            quarantine.until_ms - self._clock.now_ms(),
        )

    def refresh(self) -> None:
        """Considers new evidence now, not only for the next prompt."""
        self._update()

    def quarantines(self) -> list[Quarantine]:
        """Returns the quarantines of all parts and requests."""
        self._update()
        return list(self._quarantine_by_key.values())

    def _may_test(self, quarantine: Quarantine) -> bool:
        """Returns whether a prompt may test a part; allows few such tests.

        Any entry may test it. As they don't agree on one, each does so for a
        fraction of its requests.
        """
        now_ms = self._clock.now_ms()
        last_ms = self._trial_ms_by_key.get(quarantine.key, 0.0)
        if (
            now_ms < quarantine.until_ms
            or now_ms - last_ms < self._settings.trial_gap_ms
            or self._rng.random() * self.entry_count >= 1.0
        ):
            return False
        self._trial_ms_by_key[quarantine.key] = now_ms
        self._counters.increment("quarantine.trial")
        kind = quarantine.kind
        _LOG.event(f"{kind}_tested", **{kind: quarantine.key})
        return True

    def _update(self) -> None:
        self._ledger.expire()
        if (
            self._ledger.version == self._ledger_version
            and self._clock.now_ms() < self._next_update_ms
        ):
            return
        self._ledger_version = self._ledger.version
        before = self._quarantine_by_key
        self._next_update_ms = math.inf
        requests = self._crashing_requests()
        self._quarantine_by_key = requests | self._crashing_parts(
            requests.keys()
        )
        for key, quarantine in self._quarantine_by_key.items():
            known = before.get(key)
            if known is None or known.crash_count != quarantine.crash_count:
                now_ms = self._clock.now_ms()
                _LOG.warning(
                    f"{quarantine.kind}_quarantined",
                    **{quarantine.kind: key},
                    crashes=quarantine.crash_count,
                    last_crash_age_ms=round(now_ms - quarantine.last_crash_ms),
                    duration_ms=round(quarantine.until_ms - now_ms),
                    known_crashes=len(self._ledger.crashes),
                )
            if known is None:
                self.on_quarantined(key)
        for key in before.keys() - self._quarantine_by_key.keys():
            self._trial_ms_by_key.pop(key, None)
            kind = before[key].kind
            _LOG.event(f"{kind}_released", **{kind: key})
        self._counters.set_gauge("quarantined_requests", len(requests))
        self._counters.set_gauge(
            "quarantined_parts", len(self._quarantine_by_key) - len(requests)
        )

    def _crashing_requests(self) -> dict[str, Quarantine]:
        """Returns the requests that crashed several targets each."""
        settings = self._settings
        quarantine_by_fingerprint: dict[str, Quarantine] = {}
        for fingerprint, suspect in self._suspects(_fingerprints).items():
            crashes = suspect.moment_by_crash.keys()
            if (
                len(crashes) >= settings.min_crashes_of_request
                and suspect.crash_count(crashes) >= settings.min_crashes
            ):
                quarantine_by_fingerprint[fingerprint] = self._quarantine(
                    fingerprint,
                    len(crashes),
                    self._ledger.crashes[max(crashes)].crashed_ms,
                    is_request=True,
                )
        return quarantine_by_fingerprint

    def _crashing_parts(
        self, fingerprints: AbstractSet[str]
    ) -> dict[str, Quarantine]:
        """Returns the parts that explain the crashes.

        Args:
            fingerprints: Fingerprints of the requests that explain crashes.
        """
        suspect_by_part = self._suspects(_parts, fingerprints)
        unexplained = set(range(len(self._ledger.crashes)))
        quarantine_by_part: dict[str, Quarantine] = {}
        while suspect_by_part:
            part, suspect = max(
                suspect_by_part.items(),
                key=lambda item: (
                    item[1].crash_count(unexplained),
                    self._ledger.answered_ms(item[0]) is None,
                    item[1].begun_count,
                    item[1].depth,
                    item[0],
                ),
            )
            del suspect_by_part[part]
            crash_count = suspect.crash_count(unexplained)
            if crash_count < self._settings.min_crashes:
                break
            if crash_count < self._min_crashes(part, suspect):
                continue
            crashes = suspect.moment_by_crash.keys()
            unexplained -= crashes
            quarantine_by_part[part] = self._quarantine(
                part,
                suspect.crash_count(crashes),
                self._ledger.crashes[max(crashes)].crashed_ms,
            )
        return quarantine_by_part

    def _min_crashes(self, part: str, suspect: _Suspect) -> int:
        if self._ledger.answered_ms(part) is None:
            return self._settings.min_crashes
        if not suspect.depth:
            return self._settings.min_crashes_if_outermost
        return self._settings.min_crashes_if_answered

    def _suspects(
        self,
        keys_of: Callable[[messages.BrokenPrompt], Sequence[str]],
        explaining: AbstractSet[str] = frozenset(),
    ) -> dict[str, _Suspect]:
        """Returns what all prompts contain that crashes left unanswered.

        Args:
            keys_of: Returns the keys of a prompt, the outermost first.
            explaining: Fingerprints of requests that explain their crashes;
                these are not held against what was answered otherwise.
        """
        now_ms = self._clock.now_ms()
        moment = 0
        moment_ms = -math.inf
        suspect_by_key: dict[str, _Suspect] = {}
        for index, crash in enumerate(self._ledger.crashes):
            settled_ms = crash.crashed_ms + self._settings.settling_ms
            if settled_ms > now_ms:
                self._next_update_ms = min(self._next_update_ms, settled_ms)
            if crash.crashed_ms - moment_ms >= self._settings.simultaneous_ms:
                moment += 1
                moment_ms = crash.crashed_ms
            is_explained = any(
                prompt.fingerprint in explaining for prompt in crash.prompts
            )
            for prompt in crash.prompts:
                for depth, key in enumerate(keys_of(prompt)):
                    answered_ms = self._ledger.answered_ms(key)
                    if answered_ms is not None and (
                        is_explained
                        or answered_ms > crash.crashed_ms
                        or settled_ms > now_ms
                    ):
                        continue
                    suspect = suspect_by_key.setdefault(key, _Suspect())
                    suspect.moment_by_crash[index] = moment
                    suspect.begun_count += prompt.has_begun
                    suspect.depth = max(suspect.depth, depth)
                    if prompt.request:
                        suspect.targets_by_request.setdefault(
                            prompt.request, set()
                        ).add(crash.target)
        return suspect_by_key

    def _quarantine(
        self,
        key: str,
        crash_count: int,
        last_crash_ms: float,
        *,
        is_request: bool = False,
    ) -> Quarantine:
        settings = self._settings
        further = crash_count - settings.min_crashes
        duration_ms = min(
            settings.max_ms, settings.initial_ms * settings.growth**further
        )
        return Quarantine(
            key,
            crash_count,
            last_crash_ms,
            last_crash_ms + duration_ms,
            is_request,
        )


def _parts(prompt: messages.BrokenPrompt) -> Sequence[str]:
    return prompt.parts


def _fingerprints(prompt: messages.BrokenPrompt) -> Sequence[str]:
    return (prompt.fingerprint,) if prompt.fingerprint else ()


__all__ = ["PromptQuarantine", "Quarantine", "QuarantineSettings"]
