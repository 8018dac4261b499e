"""Plays a schedule of faults at a fleet of real processes and judges it."""

from __future__ import annotations

import contextlib
import dataclasses
import threading
import time

from bench import fleet as fleets
from bench import processes
from tests.soak import schedule
from tests.soak import timeline
from tests.soak import usage
from tests.support import config_fleet
from tests.support import held_callers
from tests.support import held_fleet
from tests.support import proxied_fleet
from tests.support import storms
from tests.support import strikes

DURATION_MS = 9_000
CALLS_PER_ENGINE = 12
ORDERS_PER_SERVICE = 10
CHANGE_PAUSE_S = 0.3
# the deployments' bound on serving again after a final fault
RECOVERY_S = 12.0
# A retry budget earns a tenth of the first attempts and holds 50 at most;
# each start of an entry brings 10 more.
RETRY_RATIO = 0.1
RETRIES_PER_ENTRY_START = 60


@dataclasses.dataclass
class Result:
    """What became of one schedule.

    Attributes:
        strikes: The schedule.
        findings: What may not be; empty if all promises were kept.
        peak_mb_by_role: The most memory that a process of a role held.
        log_by_name: The logs of the processes, if there are findings.
    """

    strikes: tuple[schedule.Strike, ...]
    findings: list[str]
    peak_mb_by_role: dict[str, float]
    log_by_name: dict[str, str] = dataclasses.field(default_factory=dict)


def plan(engines):
    """Returns a fleet with a number of engines."""
    return dataclasses.replace(
        held_fleet.PLAN,
        engines=engines,
        entries=max(2, engines // 10),
        services={held_fleet.SERVICE: max(2, engines // 10)},
    )


def kind_by_name(fleet_plan):
    """Returns the processes that are struck."""
    engines = [f"engine-{n}" for n in range(fleet_plan.engines)]
    services = [
        f"{service}-{number}"
        for service, count in fleet_plan.services.items()
        for number in range(count)
    ]
    agents = [f"agent-{name}" for name in engines + services]
    controls = [f"control-{n}" for n in range(fleet_plan.controls)]
    entries = [f"entry-{n}" for n in range(fleet_plan.entries)]
    links = schedule.LINK_FAULTS
    outside = (*links, "kill", "freeze")
    product = (*links, *schedule.PROCESS_FAULTS)
    return {
        "agent": schedule.Kind(agents, product),
        "control": schedule.Kind(controls, product),
        "engine": schedule.Kind(engines, outside),
        "entry": schedule.Kind(entries, product),
        "service": schedule.Kind(services, outside),
    }


def play(fleet_plan: fleets.FleetPlan, due) -> Result:
    """Starts a fleet, plays a schedule at it and ends all its processes."""
    with proxied_fleet.running(fleet_plan) as running:
        soak = Soak(running, due)
        try:
            findings = soak.run()
        finally:
            soak.close()
        result = Result(due, findings, soak.usage.peak_mb_by_role)
        if findings:
            result.log_by_name = {
                name: process.log_text()
                for name, process in running.group.process_by_name.items()
            }
        return result


def shorten(result, play_schedule, max_tries=24):
    """Returns the result of the shortest schedule found that still fails.

    Args:
        result: The result of a schedule that fails.
        play_schedule: Returns the result of a schedule.
        max_tries: How many schedules are played at most.
    """
    tries = 0
    is_shorter = True
    while is_shorter:
        is_shorter = False
        for due in schedule.shorter(result.strikes):
            if tries == max_tries:
                return result
            tries += 1
            found = play_schedule(due)
            if found.findings:
                result = found
                is_shorter = True
                break
    return result


class Soak:
    """One schedule at one fleet.

    Attributes:
        usage: Watches the processes.
    """

    def __init__(self, running, due):
        self.usage = usage.UsageWatcher(running.group)
        self._struck = held_fleet.StruckFleet(running)
        self._striker = strikes.Striker(self._struck)
        self._operators = config_fleet.ConfigFleet(running)
        self._due = due
        self._findings = []
        self._entry_starts = running.plan.entries
        self._stopped = threading.Event()

    def close(self):
        self._stopped.set()
        self._operators.close()
        self.usage.close()

    def run(self):
        """Plays the schedule and returns what may not be."""
        self._start_calls()
        changing = self._operators.in_background(self._change)
        timeline.play(self._due, self._striker, self.usage, self._on_restart)
        recovered_s = self._recovery_s()
        if recovered_s > RECOVERY_S:
            self._findings.append(f"served again after {recovered_s:.1f} s")
        judged = self._struck.finish()
        self._stopped.set()
        changing.result()
        self._check_answers(judged)
        self._check_retries(judged)
        self._check_changes()
        return self._findings + self.usage.findings

    def _start_calls(self):
        struck = self._struck
        fleet_plan = struck.fleet.plan
        completions = struck.trace(CALLS_PER_ENGINE * fleet_plan.engines)
        struck.start(storms.spread(completions, held_callers.fixed))
        services = sum(fleet_plan.services.values())
        orders = struck.order_trace(ORDERS_PER_SERVICE * services)
        struck.start(storms.spread(orders, lambda call: call))

    def _change(self):
        """Makes changes through instances in turn until the soak ends."""
        operators = self._operators
        while not self._stopped.wait(CHANGE_PAUSE_S):
            with contextlib.suppress(AssertionError, OSError):
                operators.decide(operators.new_change())

    def _on_restart(self, name):
        self._entry_starts += name.startswith("entry-")

    def _recovery_s(self):
        """Returns the time until all targets and entries serve again."""
        began_s = time.monotonic()
        try:
            self._struck.fleet.wait_serving()
        except processes.GiveUpError as error:
            self._findings.append(str(error))
        return time.monotonic() - began_s

    def _check_answers(self, judged):
        for finding in judged.verdict.findings:
            self._findings.append(
                f"{finding.fault}: {finding.call_id}, {finding.detail}"
            )
        for record in judged.records:
            if not record.call.service and not record.looks_whole:
                last = record.attempts[-1]
                self._findings.append(
                    f"no answer: {record.call.call_id}, {last}"
                )

    def _check_retries(self, judged):
        """Checks the runs at engines against what callers sent."""
        completions = [r for r in judged.records if not r.call.service]
        attempts = sum(len(record.attempts) for record in completions)
        runs = sum(not run.path for run in judged.runs)
        most = attempts * (1 + RETRY_RATIO)
        most += RETRIES_PER_ENTRY_START * self._entry_starts
        if runs > most:
            self._findings.append(f"{runs} runs of {attempts} attempts")

    def _check_changes(self):
        try:
            self._operators.heal()
            self._operators.judge()
        except AssertionError as error:
            self._findings.append(f"changes: {error}")


__all__ = [
    "DURATION_MS",
    "Result",
    "kind_by_name",
    "plan",
    "play",
    "shorten",
]
