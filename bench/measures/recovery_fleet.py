"""A fleet behind fault proxies, for the measurements of recovery."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import itertools
import pathlib
import re
import tempfile
import time
import urllib.request

from bench import fleet as fleets
from bench import json_calls
from bench import processes
from tests.support import proxied_fleet

CALL_TIMEOUT_S = 2.0
GIVE_UP_S = 60.0
MS_PER_S = 1_000
OPTION = "limits.max_running"
TEAM = "team-1"
CALL_PATH = "/v1/services/portal/place"
PLAN = fleets.FleetPlan(
    entries=4, engines=0, services={"portal": 2}, teams=(TEAM,)
)
_IN_FORCE = re.compile(
    r"event=view_in_force view_revision=\d+ config_revision=(\d+)"
)


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of the report.

    Attributes:
        name: What was measured.
        bound_ms: What it has to stay within.
        found_ms: What each round took.
    """

    name: str
    bound_ms: float
    found_ms: list[float]

    def __str__(self) -> str:
        """Returns the line as it is printed."""
        found = sorted(self.found_ms)
        verdict = "met" if found[-1] <= self.bound_ms else "missed"
        return (
            f"measure={self.name} rounds={len(found)}"
            f" median_ms={found[len(found) // 2]:.0f} max_ms={found[-1]:.0f}"
            f" bound_ms={self.bound_ms:.0f} verdict={verdict}"
        )


class Links(proxied_fleet.ProxyBoard):
    """A fault proxy on every connection between processes.

    Callers have none, so that it does not add to what they measure.
    """

    def route(self, source: str, destination: str, port: int) -> int:
        """Returns the port by which one process reaches another."""
        if source == "caller":
            return port
        return super().route(source, destination, port)

    @contextlib.contextmanager
    def cut_off(self, name: str) -> Iterator[None]:
        """Cuts a process off from all others for a while."""
        self.isolate(name)
        yield
        self.rejoin(name)


class Bench:
    """A fleet, and the calls that the measurements make to it."""

    def __init__(
        self, fleet: fleets.Fleet, links: Links, folder: pathlib.Path
    ) -> None:
        self.fleet = fleet
        self.links = links
        self.folder = folder
        names = list(fleet.group.process_by_name)
        self.controls = [n for n in names if n.startswith("control-")]
        self.entries = [n for n in names if n.startswith("entry-")]
        self.agents = [n for n in names if n.startswith("agent-")]
        self.url_by_name = dict(
            zip(self.controls, fleet.operator_urls, strict=True)
        ) | dict(zip(self.entries, fleet.entry_urls, strict=True))
        self._values = itertools.count(1)

    def process(self, name: str) -> processes.Process:
        """Returns a process by name."""
        return self.fleet.group.process_by_name[name]

    def get(self, name: str, path: str) -> dict[str, object]:
        """Returns what a process answers."""
        answer = json_calls.call_json(
            self.url_by_name[name] + path, timeout_s=CALL_TIMEOUT_S
        )
        assert isinstance(answer, dict)
        return answer

    def leader(self) -> str:
        """Returns the leader, once all control instances agree."""
        found: set[str] = set()

        def agreed() -> bool:
            found.clear()
            with contextlib.suppress(OSError, json_calls.OperatorError):
                for name in self.controls:
                    answer = self.get(name, "/health/ready")
                    found.add(str(answer["leader"]))
            return len(found) == 1 and "" not in found

        wait_until(agreed, "one leader")
        return found.pop()

    def change(self, names: list[str], revision: int) -> int:
        """Makes a change through the first that accepts it."""
        number = next(self._values)
        body = {
            "change_id": f"recovery-{number}",
            "operator": "bench",
            "reason": "the bench measures recovery",
            "option": OPTION,
            "value": 100 + number,
            "expected_revision": revision,
        }
        for name in itertools.cycle(names):
            with contextlib.suppress(OSError, json_calls.OperatorError):
                url = self.url_by_name[name] + "/v1/defaults"
                answer = json_calls.call_json(url, "POST", body, CALL_TIMEOUT_S)
                assert isinstance(answer, dict)
                return int(answer["config_revision"])
            time.sleep(processes.POLL_S)
        raise AssertionError("no control instance")

    def revision_in(self, name: str) -> int:
        """Returns the config revision that a process has in force."""
        if name in self.agents:
            found = _IN_FORCE.findall(self.process(name).log_text())
            return int(found[-1]) if found else 0
        if name in self.controls:
            return int(str(self.get(name, "/v1/defaults")["config_revision"]))
        gauges = self.get(name, "/v1/counters")["gauges"]
        assert isinstance(gauges, dict)
        return int(gauges["config_revision"])

    def wait_in_force(self, names: list[str], revision: int) -> None:
        """Returns once all have a revision in force."""
        for name in names:
            has_it = functools.partial(self._has_in_force, name, revision)
            wait_until(has_it, f"{name} to have {revision}")

    def _has_in_force(self, name: str, revision: int) -> bool:
        return self.revision_in(name) >= revision

    def call(self, entry: str) -> bool:
        """Returns whether an entry serves a request."""
        request = urllib.request.Request(self.url_by_name[entry] + CALL_PATH)
        key = self.fleet.key_by_team[TEAM]
        request.add_header("Authorization", f"Bearer {key}")
        try:
            with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S):
                return True
        except OSError:
            return False


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Returns once a condition holds; a dead process counts as not yet."""

    def holds() -> bool:
        with contextlib.suppress(OSError):
            return condition()
        return False

    processes.wait_until(holds, what, GIVE_UP_S)


def timed(action: Callable[[], object]) -> float:
    """Returns how many milliseconds an action takes."""
    began = time.monotonic()
    action()
    return (time.monotonic() - began) * MS_PER_S


@contextlib.contextmanager
def started() -> Iterator[Bench]:
    """Yields a running fleet behind proxies."""
    with contextlib.ExitStack() as stack:
        name = stack.enter_context(
            tempfile.TemporaryDirectory(prefix="lycheering-bench-")
        )
        folder = pathlib.Path(name)
        links = Links(stack)
        fleet = fleets.Fleet(PLAN, folder, links.route)
        stack.callback(fleet.close)
        fleet.start()
        yield Bench(fleet, links, folder)


__all__ = [
    "GIVE_UP_S",
    "MS_PER_S",
    "Bench",
    "Line",
    "Links",
    "started",
    "timed",
    "wait_until",
]
