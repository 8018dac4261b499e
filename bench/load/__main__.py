"""Command line of the load tool."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

import msgspec

from bench import checker
from bench import stats
from bench.load import client
from bench.load import driver
from bench.traces import calls
from bench.traces import mavazi
from bench.traces import tahanan

TRACE_BY_NAME = {"mavazi": mavazi, "tahanan": tahanan}


def parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    result = argparse.ArgumentParser(prog="python -m bench.load")
    add = result.add_argument
    defaults = calls.TraceSettings()
    add("--trace", choices=sorted(TRACE_BY_NAME), required=True)
    add("--entry", action="append", required=True, metavar="HOST:PORT")
    add("--keys", type=pathlib.Path, help="JSON file of key by team")
    add("--target", action="append", default=[], metavar="URL")
    add("--shared-salt", action="append", default=[])
    add("--capacity-blocks", type=int, default=0, help="of all engines")
    add("--seed", type=int, default=defaults.seed)
    add("--rate-per-s", type=float, default=defaults.rate_per_s)
    add("--duration-ms", type=float, default=defaults.duration_ms)
    add("--shift-ms", type=float, default=defaults.shift_ms)
    add("--heavy-team", type=int, default=defaults.heavy_team)
    add("--model", default=defaults.model)
    add("--service", default=defaults.service)
    return result


def main() -> int:
    """Drives one trace and prints its figures.

    Returns:
        The exit code: 0 if no fault was found.
    """
    parsed = parser().parse_args()
    settings = calls.TraceSettings(
        seed=parsed.seed,
        duration_ms=parsed.duration_ms,
        rate_per_s=parsed.rate_per_s,
        shift_ms=parsed.shift_ms,
        model=parsed.model,
        service=parsed.service,
        heavy_team=parsed.heavy_team,
    )
    users = TRACE_BY_NAME[parsed.trace]
    trace = users.trace(settings)
    entries = []
    for text in parsed.entry:
        host, port = text.rsplit(":", 1)
        entries.append(client.Address(host, int(port)))
    key_by_team = {team: f"key-{team}" for team in users.team_names(settings)}
    if parsed.keys is not None:
        raw = parsed.keys.read_bytes()
        key_by_team |= msgspec.json.decode(raw, type=dict[str, str])
    callers = driver.Driver(entries, key_by_team)
    records = asyncio.run(callers.run(trace))
    runs = checker.fetch_runs(parsed.target)
    verdict = checker.check(records, runs, parsed.shared_salt)
    summary = stats.summarize(records)
    print(summary.line())
    figures = stats.cache_figures(trace, runs)
    print(
        f"hit_rate={figures.hit_rate:.3f}"
        f" recomputed_share={figures.recomputed_share:.3f}"
    )
    if parsed.capacity_blocks:
        best = stats.best_hit_rate(trace, parsed.capacity_blocks)
        print(f"best_possible_hit_rate={best:.3f}")
    print(stats.histogram(summary.first_token_ms))
    for finding in verdict.findings:
        print(f"{finding.fault} {finding.call_id}: {finding.detail}")
    print(f"refused={verdict.refused} {verdict.line()}")
    return 0 if verdict.is_clean else 1


__all__ = ["main", "parser"]

if __name__ == "__main__":
    sys.exit(main())
