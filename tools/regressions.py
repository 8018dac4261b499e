"""Plays the deployments of the regression runs and compares with before.

    python -m tools.regressions PROGRAM FOLDER [JOBS]

PROGRAM plays a deployment and adds an entry to journal/; FOLDER holds the
deployments' folders.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import subprocess
import sys
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
# the newest deployments; the oldest leaves when one joins
DEPLOYMENTS = ("further", "further-grown", "large", "demands")
# plays of the same code differ by as much
NOISE = 0.03
DEFAULT_JOBS = 2


@dataclasses.dataclass(frozen=True)
class Score:
    """What one score of a deployment gave.

    Attributes:
        deployment: The deployment's name.
        commit: The commit that was played.
        worth_by_day: Worth of each standard day.
        refused_days: Days that did not pass the gate, drawn ones included.
    """

    deployment: str
    commit: str
    worth_by_day: dict[str, float]
    refused_days: tuple[str, ...] = ()

    @property
    def mean(self) -> float:
        """Mean worth of the standard days."""
        return sum(self.worth_by_day.values()) / len(self.worth_by_day)


def score_of(entry: dict[str, Any]) -> Score | None:
    """Returns the score in an entry of the journal, None if it holds none.

    Days that were drawn for one score are left out of the worth, as another
    score has others.
    """
    days = entry.get("days") or []
    if entry.get("cmd") != "score" or not entry.get("ok") or not days:
        return None
    standard = {
        day["name"]: day["G"] for day in days if day["kind"] != "replay"
    }
    refused = tuple(day["name"] for day in days if not day["gate"])
    return Score(entry["site"], entry["head"][:7], standard, refused)


def scores(journal: pathlib.Path) -> list[Score]:
    """Returns all scores of a journal, the oldest first."""
    paths = sorted(journal.glob("*.json"))
    found = [score_of(json.loads(path.read_text())) for path in paths]
    return [score for score in found if score is not None]


def findings(before: Score | None, after: Score) -> list[str]:
    """Returns what got worse, beyond the noise.

    Args:
        before: The score to hold, None if there is none.
        after: The score now.
    """
    found = [f"{day} did not pass the gate" for day in after.refused_days]
    if (
        before is None
        or before.worth_by_day.keys() != after.worth_by_day.keys()
    ):
        return found
    if after.mean < before.mean - NOISE:
        found.append(
            f"mean worth {after.mean:.3f}, {before.mean:.3f} on {before.commit}"
        )
    return found


def play(program: str, site: pathlib.Path, jobs: int) -> list[str]:
    """Scores a deployment and returns what got worse."""
    known = scores(JOURNAL)
    subprocess.run(
        [
            program,
            "score",
            str(site),
            "--jobs",
            str(jobs),
            "--why",
            "regression",
        ],
        cwd=ROOT,
        check=False,
    )
    new = scores(JOURNAL)[len(known) :]
    if not new:
        return ["not played"]
    after = new[-1]
    held = [score for score in known if score.deployment == after.deployment]
    print(f"{after.deployment}: mean worth {after.mean:.3f}", flush=True)
    return findings(held[-1] if held else None, after)


def main() -> int:
    """Plays all deployments.

    Returns:
        The exit code: 0 when nothing got worse.
    """
    if len(sys.argv) not in (3, 4):
        print(__doc__)
        return 2
    program, folder = sys.argv[1], pathlib.Path(sys.argv[2])
    jobs = int(sys.argv[3]) if len(sys.argv) > 3 else DEFAULT_JOBS
    worse = 0
    for name in DEPLOYMENTS:
        sites = sorted((folder / name).glob("*.toml"))
        if not sites:
            print(f"{name}: no deployment in {folder}")
            worse += 1
        for site in sites:
            for finding in play(program, site, jobs):
                worse += 1
                print(f"{site.stem}: {finding}", flush=True)
    print(f"{worse} findings")
    return 1 if worse else 0


__all__ = ["Score", "findings", "main", "score_of", "scores"]

if __name__ == "__main__":
    sys.exit(main())
