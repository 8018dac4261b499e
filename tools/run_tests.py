"""Runs every feature, passing over only the entries of KNOWN-RED.txt."""

from __future__ import annotations

import concurrent.futures
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn

if TYPE_CHECKING:
    import types

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
PARALLEL_RUNS = 4
RUN_TIMEOUT_S = 420
# tag of features that measure their processes
ALONE_TAG = "@alone"
ABORT_GRACE_S = 5
MAX_REASON_LENGTH = 2_000
SIGNAL_EXIT_BASE = 128
RUNNING: set[subprocess.Popen[str]] = set()
ENVIRONMENT = {
    "PYTHONHASHSEED": "0",
    "PYTHONUNBUFFERED": "1",
    "PYTHONFAULTHANDLER": "1",
}


@dataclasses.dataclass
class Outcome:
    """What one run of behave reported.

    Attributes:
        feature: Path of the feature file, relative to the repository.
        passed: Locations of the scenarios that passed.
        failed: Locations of the scenarios that failed.
        output: What behave printed.
        duration_s: How long it took.
        reason_by_place: The failed step and its error, by location.
    """

    feature: str
    passed: list[str]
    failed: list[str]
    output: str
    duration_s: float = 0.0
    reason_by_place: dict[str, str] = dataclasses.field(default_factory=dict)


def known_red() -> set[str]:
    """Returns the scenario names that KNOWN-RED.txt passes over."""
    names = set()
    for line in KNOWN_RED_FILE.read_text().splitlines():
        if line.startswith("test:"):
            names.add(line.removeprefix("test:").strip())
    return names


def runs_alone(feature: pathlib.Path) -> bool:
    """Returns whether a feature runs after all others, beside none."""
    lines = feature.read_text().splitlines()
    return ALONE_TAG in lines


def run_timed(feature: pathlib.Path) -> Outcome:
    """Runs one feature file and takes the time."""
    began_s = time.monotonic()
    outcome = run_feature(feature)
    outcome.duration_s = time.monotonic() - began_s
    return outcome


def run_feature(feature: pathlib.Path) -> Outcome:
    """Runs one feature file in a process of its own."""
    name = str(feature.relative_to(ROOT))
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture"]
        command += ["--format", "json", "--outfile", str(report)]
        command += ["--format", "plain", name]
        run = subprocess.Popen(
            command,
            cwd=ROOT,
            env=os.environ | ENVIRONMENT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        RUNNING.add(run)
        try:
            output, _ = run.communicate(timeout=RUN_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            output = end(run)
            return Outcome(name, [], [f"{name}: timed out"], output)
        finally:
            RUNNING.discard(run)
        if not report.exists() or not report.read_text().strip():
            return Outcome(name, [], [f"{name}: not loaded"], output)
        outcome = Outcome(name, [], [], output)
        read_report(json.loads(report.read_text()), outcome)
        if run.returncode != 0 and not outcome.failed:
            outcome.failed.append(f"{name}: exit {run.returncode}")
        return outcome


def stop(number: int, _: types.FrameType | None) -> NoReturn:
    """Ends all runs with their processes when this one is told to end."""
    for run in list(RUNNING):
        kill_group(run)
    os._exit(SIGNAL_EXIT_BASE + number)


def kill_group(run: subprocess.Popen[str]) -> None:
    """Kills a run and all processes that it started."""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(run.pid, signal.SIGKILL)


def end(run: subprocess.Popen[str]) -> str:
    """Ends a run that hangs, with the processes that it started.

    Returns:
        What it printed, and where each of its threads stood.
    """
    run.send_signal(signal.SIGABRT)
    with contextlib.suppress(subprocess.TimeoutExpired):
        run.wait(ABORT_GRACE_S)
    kill_group(run)
    output, _ = run.communicate()
    return output


def read_report(features: list[dict[str, Any]], outcome: Outcome) -> None:
    """Adds the scenarios of a behave report to the outcome."""
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            name = element["name"].strip()
            place = f"{outcome.feature}: {name}"
            if element["status"] == "passed":
                outcome.passed.append(place)
            elif element["status"] != "skipped":
                outcome.failed.append(place)
                outcome.reason_by_place[place] = failure_reason(element)


def failure_reason(element: dict[str, Any]) -> str:
    """Returns the step of a scenario that failed, with its error."""
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status", "passed") != "passed":
            lines = result.get("error_message", result.get("status", ""))
            text = lines if isinstance(lines, str) else "\n".join(lines)
            return f"{step['name']}: {text}"[:MAX_REASON_LENGTH]
    return "no step failed"


def main() -> int:
    """Runs all features and prints the tally.

    Returns:
        The exit code: 0 when no scenario outside KNOWN-RED.txt failed.
    """
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, stop)
    wanted = [pathlib.Path(name).resolve() for name in sys.argv[1:]]
    features = wanted or sorted((ROOT / "tests").rglob("*.feature"))
    red = known_red()
    passed = failed = 0
    reasons: list[str] = []
    beside = [feature for feature in features if not runs_alone(feature)]
    alone = [feature for feature in features if runs_alone(feature)]
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for outcome in itertools.chain(
            pool.map(run_timed, beside), map(run_timed, alone)
        ):
            passed += len(outcome.passed)
            unexpected = [place for place in outcome.failed if place not in red]
            failed += len(unexpected)
            print(
                f"{outcome.feature}: {len(outcome.passed)} passed,"
                f" {len(outcome.failed)} failed in {outcome.duration_s:.0f} s",
                flush=True,
            )
            for place in outcome.failed:
                mark = "known red" if place in red else "FAILED"
                print(f"{mark}: {place}", flush=True)
                reason = outcome.reason_by_place.get(place, "no report")
                reasons.append(f"{mark}: {place}\n{reason}")
            if unexpected:
                print(outcome.output, flush=True)
    # logs of long runs are often cut in the middle
    for reason in reasons:
        print(reason)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


__all__ = [
    "Outcome",
    "failure_reason",
    "known_red",
    "main",
    "read_report",
    "run_feature",
    "runs_alone",
]

if __name__ == "__main__":
    sys.exit(main())
