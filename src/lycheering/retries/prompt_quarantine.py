"""Finds prompt parts that crash targets and keeps them from targets."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Set as AbstractSet
    import random

    from lycheering import clock
    from lycheering.retries import crash_ledger
    from lycheering.telemetry import counters

_LOG = logs.get("quarantine")


@dataclasses.dataclass(frozen=True)
class QuarantineSettings:
    """When a prompt part is quarantined and for how long.

    Attributes:
        min_crashes: Crashes that a part has to explain if no prompt with it is
            known to have been answered.
        min_crashes_if_answered: The same for other parts, which may be in the
            prompts of several crashes by coincidence.
        min_crashes_if_outermost: The same for those that begin each prompt
            that they are in, since most other prompts share them.
        simultaneous_ms: Crashes within this time count as one, as they may
            have one cause outside of any prompt, unless the same request was
            sent to several of the targets.
        settling_ms: Time after a crash in which reports of it may be missing.
        initial_ms: Duration of the quarantine after the last crash.
        growth: Factor on the duration for each further crash.
        max_ms: Longest duration.
        trial_gap_ms: Shortest time between the requests by which an entry
            tests, after that duration, whether the part still crashes targets.
    """

    min_crashes: int = 2
    min_crashes_if_answered: int = 3
    min_crashes_if_outermost: int = 4
    simultaneous_ms: float = 200.0
    settling_ms: float = 300.0
    initial_ms: float = 60_000.0
    growth: float = 4.0
    max_ms: float = 3_600_000.0
    trial_gap_ms: float = 10_000.0


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """The quarantine of one part.

    Attributes:
        part: Key of the part.
        crash_count: Crashes that the part explains.
        last_crash_ms: Time of the last one.
        until_ms: Time from which on single requests test the part again.
    """

    part: str
    crash_count: int
    last_crash_ms: float
    until_ms: float


@dataclasses.dataclass
class _Suspect:
    """A part of prompts that were not answered before crashes.

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
        """Returns how many crashes the part explains among the given ones.

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
    """Refuses prompts with a part under which targets keep crashing.

    A crash also breaks requests that have nothing to do with it. A part is
    found by repetition: it is in a prompt that had not been answered at several
    crashes, and in none that was answered since. Each crash is explained by one
    part, the one that explains the most crashes, so that the parts beside it
    are not quarantined with it. If several explain as many, it is one that was
    never answered and that fewer prompts share. Against a part that was
    answered before, a crash counts only when all reports of it are in.

    Attributes:
        entry_count: Number of entries that share the tests of a part.
        on_quarantined: Called with each part that becomes quarantined.
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
        self.on_quarantined: Callable[[str], None] = lambda part: None
        self._ledger = ledger
        self._settings = settings
        self._clock = time
        self._rng = rng
        self._counters = counts
        self._ledger_version = 0
        self._next_update_ms = math.inf
        self._quarantine_by_part: dict[str, Quarantine] = {}
        self._trial_ms_by_part: dict[str, float] = {}

    def find(self, parts: Iterable[str]) -> Quarantine | None:
        """Returns the quarantine that a prompt has to be refused for, if any.

        Args:
            parts: Keys of the shared parts of the prompt.
        """
        self._update()
        if not self._quarantine_by_part:
            return None
        for part in parts:
            quarantine = self._quarantine_by_part.get(part)
            if quarantine is not None and not self._may_test(quarantine):
                return quarantine
        return None

    def retry_after_ms(self, quarantine: Quarantine) -> float:
        """Returns the time after which a prompt with the part may be tested."""
        return max(
            self._settings.trial_gap_ms,
            quarantine.until_ms - self._clock.now_ms(),
        )

    def refresh(self) -> None:
        """Considers new evidence now, not only for the next prompt."""
        self._update()

    def parts(self) -> list[Quarantine]:
        """Returns all quarantined parts."""
        self._update()
        return list(self._quarantine_by_part.values())

    def _may_test(self, quarantine: Quarantine) -> bool:
        """Returns whether a prompt may test a part; allows few such tests.

        Any entry may test the part. As they don't agree on one, each does so
        for a fraction of its requests.
        """
        now_ms = self._clock.now_ms()
        last_ms = self._trial_ms_by_part.get(quarantine.part, 0.0)
        if (
            now_ms < quarantine.until_ms
            or now_ms - last_ms < self._settings.trial_gap_ms
            or self._rng.random() * self.entry_count >= 1.0
        ):
            return False
        self._trial_ms_by_part[quarantine.part] = now_ms
        self._counters.increment("quarantine.trial")
        _LOG.event("part_tested", part=quarantine.part)
        return True

    def _update(self) -> None:
        self._ledger.expire()
        if (
            self._ledger.version == self._ledger_version
            and self._clock.now_ms() < self._next_update_ms
        ):
            return
        self._ledger_version = self._ledger.version
        before = self._quarantine_by_part
        self._quarantine_by_part = self._explain_crashes()
        for part, quarantine in self._quarantine_by_part.items():
            known = before.get(part)
            if known is None or known.crash_count != quarantine.crash_count:
                now_ms = self._clock.now_ms()
                _LOG.warning(
                    "part_quarantined",
                    part=part,
                    crashes=quarantine.crash_count,
                    last_crash_age_ms=round(now_ms - quarantine.last_crash_ms),
                    duration_ms=round(quarantine.until_ms - now_ms),
                    known_crashes=len(self._ledger.crashes),
                )
            if known is None:
                self.on_quarantined(part)
        for part in before.keys() - self._quarantine_by_part.keys():
            self._trial_ms_by_part.pop(part, None)
            _LOG.event("part_released", part=part)
        self._counters.set_gauge(
            "quarantined_parts", len(self._quarantine_by_part)
        )

    def _explain_crashes(self) -> dict[str, Quarantine]:
        """Returns the parts that explain the crashes."""
        suspect_by_part = self._suspects()
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

    def _suspects(self) -> dict[str, _Suspect]:
        """Returns the parts of all prompts that crashes left unanswered."""
        now_ms = self._clock.now_ms()
        self._next_update_ms = math.inf
        moment = 0
        moment_ms = -math.inf
        suspect_by_part: dict[str, _Suspect] = {}
        for index, crash in enumerate(self._ledger.crashes):
            settled_ms = crash.crashed_ms + self._settings.settling_ms
            if settled_ms > now_ms:
                self._next_update_ms = min(self._next_update_ms, settled_ms)
            if crash.crashed_ms - moment_ms >= self._settings.simultaneous_ms:
                moment += 1
                moment_ms = crash.crashed_ms
            for prompt in crash.prompts:
                for depth, part in enumerate(prompt.parts):
                    answered_ms = self._ledger.answered_ms(part)
                    if answered_ms is not None and (
                        answered_ms > crash.crashed_ms or settled_ms > now_ms
                    ):
                        continue
                    suspect = suspect_by_part.setdefault(part, _Suspect())
                    suspect.moment_by_crash[index] = moment
                    suspect.begun_count += prompt.has_begun
                    suspect.depth = max(suspect.depth, depth)
                    if prompt.request:
                        suspect.targets_by_request.setdefault(
                            prompt.request, set()
                        ).add(crash.target)
        return suspect_by_part

    def _quarantine(
        self, part: str, crash_count: int, last_crash_ms: float
    ) -> Quarantine:
        settings = self._settings
        further = crash_count - settings.min_crashes
        duration_ms = min(
            settings.max_ms, settings.initial_ms * settings.growth**further
        )
        return Quarantine(
            part, crash_count, last_crash_ms, last_crash_ms + duration_ms
        )


__all__ = ["PromptQuarantine", "Quarantine", "QuarantineSettings"]
