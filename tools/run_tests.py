"""Runs every feature, passing over only the entries of KNOWN-RED.txt."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
PARALLEL_RUNS = 3
RUN_TIMEOUT_S = 420
PLAIN_FILE = "plain.txt"


@dataclasses.dataclass
class Outcome:
    """What one run of behave reported.

    Attributes:
        feature: Path of the feature file, relative to the repository.
        passed: Locations of the scenarios that passed.
        failed: Locations of the scenarios that failed.
        output: What behave printed.
    """

    feature: str
    passed: list[str]
    failed: list[str]
    output: str


def known_red() -> set[str]:
    """Returns the scenario names that KNOWN-RED.txt passes over."""
    names = set()
    for line in KNOWN_RED_FILE.read_text().splitlines():
        if line.startswith("test:"):
            names.add(line.removeprefix("test:").strip())
    return names


def run_feature(feature: pathlib.Path) -> Outcome:
    """Runs one feature file in a process of its own."""
    name = str(feature.relative_to(ROOT))
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture"]
        command += ["--format", "plain", "--outfile", f"{folder}/{PLAIN_FILE}"]
        command += ["--format", "json", "--outfile", str(report), name]
        try:
            done = subprocess.run(
                command,
                cwd=ROOT,
                env=os.environ | {"PYTHONHASHSEED": "0"},
                capture_output=True,
                text=True,
                timeout=RUN_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired as error:
            output = read_plain(folder) + decoded(error.stdout)
            output += decoded(error.stderr)
            return Outcome(name, [], [f"{name}: timed out"], output)
        printed = read_plain(folder)
        output = printed + done.stdout + done.stderr
        if not report.exists() or not report.read_text().strip():
            return Outcome(name, [], [f"{name}: not loaded"], output)
        outcome = Outcome(name, [], [], output)
        read_report(json.loads(report.read_text()), outcome)
        if done.returncode != 0 and not outcome.failed:
            outcome.failed.append(f"{name}: exit {done.returncode}")
        return outcome


def read_plain(folder: str) -> str:
    """Returns what behave's plain formatter has written so far."""
    plain = pathlib.Path(folder) / PLAIN_FILE
    return plain.read_text() if plain.exists() else ""


def decoded(output: bytes | str | None) -> str:
    """Returns captured output as text; a timeout yields it as bytes."""
    if isinstance(output, bytes):
        return output.decode(errors="replace")
    return output or ""


def read_report(features: list[dict[str, object]], outcome: Outcome) -> None:
    """Adds the scenarios of a behave report to the outcome."""
    for feature in features:
        elements = feature.get("elements", [])
        assert isinstance(elements, list)
        for element in elements:
            if element["type"] == "background":
                continue
            name = element["name"].strip()
            place = f"{outcome.feature}: {name}"
            if element["status"] == "passed":
                outcome.passed.append(place)
            elif element["status"] != "skipped":
                outcome.failed.append(place)


def main() -> int:
    """Runs all features and prints the tally.

    Returns:
        The exit code: 0 when no scenario outside KNOWN-RED.txt failed.
    """
    wanted = [pathlib.Path(name).resolve() for name in sys.argv[1:]]
    features = wanted or sorted((ROOT / "tests").rglob("*.feature"))
    red = known_red()
    passed = failed = 0
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for outcome in pool.map(run_feature, features):
            passed += len(outcome.passed)
            unexpected = [place for place in outcome.failed if place not in red]
            failed += len(unexpected)
            print(
                f"{outcome.feature}: {len(outcome.passed)} passed,"
                f" {len(outcome.failed)} failed",
                flush=True,
            )
            for place in outcome.failed:
                mark = "known red" if place in red else "FAILED"
                print(f"{mark}: {place}", flush=True)
            if unexpected:
                print(outcome.output, flush=True)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


__all__ = ["Outcome", "known_red", "main", "read_report", "run_feature"]

if __name__ == "__main__":
    sys.exit(main())
