"""Random faults, some at once, while calls and changes go on."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import threading
import time
from typing import TYPE_CHECKING

from tests.support import config_fleet
from tests.support import fault_proxy
from tests.support import held_callers
from tests.support import held_fleet
from tests.support import strikes

if TYPE_CHECKING:
    from collections.abc import Callable

STRIKES = 10
LASTS_S = (0.2, 2.5)
PAUSES_S = (0.2, 1.2)
CALLS_MS = 9_000
COMPLETIONS = 80
ORDERS = 24
CHANGE_PAUSE_S = 0.3
TARGET_FAULTS = ("kill", "freeze", "cut", "half_cut", "silence", "reset")
FAULTS_BY_KIND = {
    "entry": (*TARGET_FAULTS, "stop"),
    "agent": (*TARGET_FAULTS, "stop"),
    "control": (*TARGET_FAULTS, "stop"),
    "engine": TARGET_FAULTS,
    held_fleet.SERVICE: TARGET_FAULTS,
}


@dataclasses.dataclass(frozen=True)
class Strike:
    """One fault at one process that has not ended.

    Attributes:
        name: The process.
        end_s: When the fault ends.
        end: Ends it.
    """

    name: str
    end_s: float
    end: Callable[[], object]


class Storm:
    """Faults drawn from a seed, at a fleet that serves calls.

    Attributes:
        told: What was done, in order, for a report.
    """

    def __init__(self, struck, seed):
        self.told = []
        self._struck = struck
        self._operators = config_fleet.ConfigFleet(struck.fleet)
        self._striker = strikes.Striker(struck)
        self._random = random.Random(seed)
        self._open = []
        self._stopped = threading.Event()

    def run(self):
        """Strikes the fleet, ends all faults and returns the judgement."""
        struck = self._struck
        struck.start(spread(struck.trace(COMPLETIONS), held_callers.fixed))
        struck.start(spread(struck.order_trace(ORDERS), lambda call: call))
        changing = self._operators.in_background(self._change)
        for _ in range(STRIKES):
            self._strike()
            self._wait_until(time.monotonic() + self._draw(PAUSES_S))
        self._wait_until(max((s.end_s for s in self._open), default=0.0))
        found = struck.finish()
        self._stopped.set()
        changing.result()
        return found

    def judge_changes(self):
        """Checks that every accepted change is in force everywhere."""
        self._operators.heal()
        self._operators.judge()

    def close(self):
        self._stopped.set()
        self._operators.close()

    def _change(self):
        """Makes changes through instances in turn until the storm ends."""
        operators = self._operators
        while not self._stopped.wait(CHANGE_PAUSE_S):
            with contextlib.suppress(AssertionError, OSError):
                operators.decide(operators.new_change())

    def _draw(self, bounds):
        return self._random.uniform(*bounds)

    def _strike(self):
        """Strikes one process, unless a fault there has not ended."""
        kind = self._random.choice(list(FAULTS_BY_KIND))
        name = self._random.choice(self._struck.names(f"{kind}-"))
        fault = self._random.choice(FAULTS_BY_KIND[kind])
        lasts_s = self._draw(LASTS_S)
        if name in {strike.name for strike in self._open}:
            return
        self.told.append(f"{fault} {name} for {lasts_s:.1f} s")
        directions = fault_proxy.BOTH
        if fault == "half_cut":
            directions = [self._random.choice(fault_proxy.BOTH)]
        end = self._striker.strike(fault, name, directions)
        self._open.append(Strike(name, time.monotonic() + lasts_s, end))

    def _wait_until(self, until_s):
        """Lets time pass, and ends the faults that are due."""
        due = [strike for strike in self._open if strike.end_s <= until_s]
        for strike in sorted(due, key=lambda strike: strike.end_s):
            time.sleep(max(0, strike.end_s - time.monotonic()))
            strike.end()
            self._open.remove(strike)
        time.sleep(max(0, until_s - time.monotonic()))


def spread(trace, change):
    """Returns calls that are due one after another all through a storm."""
    gap_ms = CALLS_MS / len(trace)
    return [
        dataclasses.replace(change(call), at_ms=number * gap_ms)
        for number, call in enumerate(trace)
    ]


__all__ = ["COMPLETIONS", "Storm", "spread"]
