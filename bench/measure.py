"""Runs the measurements: `python -m bench.measure [part ...]`."""

from __future__ import annotations

import argparse
import importlib
import json
import sys

from bench.measures import api

# each name is a module of bench.measures with run(settings)
PARTS = (
    "routing",
    "shifts",
    "kept_kv",
    "reuse_weight",
    "overhead",
    "limits",
    "retries",
    "capacity",
    "herd",
    "link_bytes",
    "entry_bytes",
    "idle_links",
)


def main() -> int:
    """Runs the parts named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[[], *PARTS])
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--duration-ms", type=float, default=20_000)
    parser.add_argument("--traces", default="")
    parser.add_argument("--policies", default="")
    parser.add_argument("--shifts", default="")
    parser.add_argument(
        "--set", action="append", default=[], help="option=JSON value"
    )
    parsed = parser.parse_args()
    pairs = [item.partition("=") for item in parsed.set]
    settings = api.Settings(
        seeds=tuple(int(seed) for seed in parsed.seeds.split(",")),
        workers=parsed.workers,
        duration_ms=parsed.duration_ms,
        traces=tuple(filter(None, parsed.traces.split(","))),
        policies=tuple(filter(None, parsed.policies.split(","))),
        shifts=tuple(filter(None, parsed.shifts.split(","))),
        value_by_default={name: json.loads(text) for name, _, text in pairs},
    )
    for name in parsed.parts or PARTS:
        api.say(f"== {name}: seeds {parsed.seeds}")
        importlib.import_module(f"bench.measures.{name}").run(settings)
    return 0


__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
