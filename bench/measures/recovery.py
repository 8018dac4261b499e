"""Measures how fast a fleet of real processes recovers from faults."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import pathlib
import re
import shutil
import tempfile
import threading
import time
import urllib.request

from bench import fleet as fleets
from bench import processes
from tests.support import fault_proxy

ROUNDS = 5
PILED_UP_CHANGES = 10_000
PILED_UP_ROUNDS = 3
OPTION = "limits.max_running"
TEAM = "team-1"
CALL_PATH = "/v1/services/portal/place"
LOAD_THREADS = 4
LOAD_PAUSE_S = 0.02
HERD_SETTLE_S = 2.0
MS_PER_S = 1_000
GIVE_UP_S = 60.0
PLAN = fleets.FleetPlan(
    entries=4, engines=0, services={"portal": 2}, teams=(TEAM,)
)
_IN_FORCE = re.compile(
    r"event=view_in_force view_revision=\d+ config_revision=(\d+)"
)
_SILENT = "reason=_SilenceError"


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


class Links:
    """A fault proxy on every connection between processes.

    Attributes:
        proxy_by_link: Each proxy by source and destination.
    """

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self.proxy_by_link: dict[tuple[str, str], fault_proxy.FaultProxy] = {}
        self._stack = stack

    def route(self, source: str, destination: str, port: int) -> int:
        """Returns the port of the proxy between two processes."""
        if port == 0 or source in (destination, "caller"):
            return port
        link = (source, destination)
        if link not in self.proxy_by_link:
            proxy = fault_proxy.FaultProxy(port)
            self.proxy_by_link[link] = self._stack.enter_context(proxy)
        return self.proxy_by_link[link].port

    def around(self, name: str) -> list[fault_proxy.FaultProxy]:
        """Returns the proxies on either side of a process."""
        return [p for link, p in self.proxy_by_link.items() if name in link]

    @contextlib.contextmanager
    def cut_off(self, name: str) -> Iterator[None]:
        """Cuts a process off from all others for a while."""
        for proxy in self.around(name):
            proxy.cut()
        yield
        for proxy in self.around(name):
            proxy.heal()


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
        answer = fleets.call_json(
            self.url_by_name[name] + path, timeout_s=HERD_SETTLE_S
        )
        assert isinstance(answer, dict)
        return answer

    def leader(self) -> str:
        """Returns the leader, once all control instances agree."""
        found: set[str] = set()

        def agreed() -> bool:
            found.clear()
            with contextlib.suppress(OSError, fleets.OperatorError):
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
            with contextlib.suppress(OSError, fleets.OperatorError):
                url = self.url_by_name[name] + "/v1/defaults"
                answer = fleets.call_json(url, "POST", body, HERD_SETTLE_S)
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
            wait_until(
                lambda name=name: self.revision_in(name) >= revision,  # type: ignore[misc]
                f"{name} to have {revision}",
            )

    def call(self, entry: str) -> bool:
        """Returns whether an entry serves a request."""
        request = urllib.request.Request(self.url_by_name[entry] + CALL_PATH)
        key = self.fleet.key_by_team[TEAM]
        request.add_header("Authorization", f"Bearer {key}")
        try:
            with urllib.request.urlopen(request, timeout=HERD_SETTLE_S):
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


def leader_killed(bench: Bench) -> Line:
    """Measures how long writes stop when the leader is killed."""
    found = []
    for _ in range(ROUNDS):
        leader = bench.leader()
        revision = bench.revision_in(leader)
        others = [name for name in bench.controls if name != leader]
        bench.process(leader).kill()
        found.append(timed(lambda: bench.change(others, revision)))  # noqa: B023
        bench.process(leader).start()
    return Line("leader_killed_writes_again", 3_000, found)


def change_in_force(bench: Bench) -> Line:
    """Measures how long a change takes to all live processes."""
    found = []
    everyone = [*bench.controls, *bench.entries, *bench.agents]
    for _ in range(ROUNDS):
        leader = bench.leader()
        before = bench.revision_in(leader)

        def spread(leader: str = leader, before: int = before) -> None:
            revision = bench.change([leader], before)
            bench.wait_in_force(everyone, revision)

        found.append(timed(spread))
    return Line("change_in_force_everywhere", 2_000, found)


def change_in_force_cut(bench: Bench, *, of_leader: bool) -> Line:
    """Measures the same with one control instance cut off just before."""
    found = []
    for _ in range(ROUNDS):
        leader = bench.leader()
        before = bench.revision_in(leader)
        cut = leader
        if not of_leader:
            cut = next(name for name in bench.controls if name != leader)
        others = [name for name in bench.controls if name != cut]
        rest = [*others, *bench.entries, *bench.agents]

        def spread(
            others: list[str] = others,
            rest: list[str] = rest,
            before: int = before,
        ) -> None:
            bench.wait_in_force(rest, bench.change(others, before))

        with bench.links.cut_off(cut):
            found.append(timed(spread))
        bench.wait_in_force(bench.controls, before + 1)
    who = "leader" if of_leader else "follower"
    return Line(f"change_in_force_with_a_{who}_cut_off", 8_000, found)


def silence_noticed(bench: Bench) -> Line:
    """Measures how long an entry takes to notice a silent connection."""
    found = []
    entry = bench.entries[0]
    links = [
        proxy
        for (source, destination), proxy in bench.links.proxy_by_link.items()
        if source == entry and destination in bench.controls
    ]
    for _ in range(ROUNDS):
        process = bench.process(entry)
        before = process.log_text().count(_SILENT)
        silenced = sum(proxy.silence_open() for proxy in links)
        assert silenced > 0

        def noticed(
            process: processes.Process = process, wanted: int = before + 1
        ) -> bool:
            return process.log_text().count(_SILENT) >= wanted

        found.append(timed(lambda: wait_until(noticed, "silence")))  # noqa: B023
        time.sleep(HERD_SETTLE_S)
    return Line("silent_connection_noticed", 3_000, found)


@contextlib.contextmanager
def load(bench: Bench) -> Iterator[None]:
    """Keeps calling all entries for a while."""
    ended = threading.Event()

    def work(first: int) -> None:
        for number in itertools.count(first):
            if ended.wait(LOAD_PAUSE_S):
                return
            bench.call(bench.entries[number % len(bench.entries)])

    threads = [
        threading.Thread(target=work, args=(number,))
        for number in range(LOAD_THREADS)
    ]
    for thread in threads:
        thread.start()
    yield
    ended.set()
    for thread in threads:
        thread.join()


def entry_restarted(bench: Bench) -> Line:
    """Measures an entry's first served request after its start."""
    found = []
    entry = bench.entries[0]
    assert bench.call(entry)
    with load(bench):
        for _ in range(ROUNDS):
            bench.process(entry).kill()

            def serve() -> None:
                bench.process(entry).start()
                wait_until(lambda: bench.call(entry), "a served request")

            found.append(timed(serve))
    return Line("entry_restarted_under_load_serves", 1_000, found)


def herd_restart(bench: Bench) -> str:
    """Measures what a restart of all entries at once costs control."""
    costs = []
    for _ in range(ROUNDS):
        idle = _control_cost(bench, lambda: None)
        costs.append(_control_cost(bench, lambda: _restart_all(bench)) - idle)
    costs.sort()
    per_entry = costs[len(costs) // 2] / len(bench.entries)
    return (
        f"measure=herd_restart rounds={ROUNDS} entries={len(bench.entries)}"
        f" control_cpu_median_ms={costs[len(costs) // 2]:.0f}"
        f" control_cpu_max_ms={costs[-1]:.0f} per_entry_ms={per_entry:.1f}"
    )


def _restart_all(bench: Bench) -> None:
    for name in bench.entries:
        bench.process(name).kill()
    for name in bench.entries:
        bench.process(name).start()


def _control_cost(bench: Bench, action: Callable[[], None]) -> float:
    used = [bench.process(name).cpu_seconds() for name in bench.controls]
    action()
    time.sleep(HERD_SETTLE_S)
    for name in bench.entries:
        wait_until(lambda name=name: bench.call(name), name)  # type: ignore[misc]
    after = [bench.process(name).cpu_seconds() for name in bench.controls]
    return (sum(after) - sum(used)) * MS_PER_S


def pile_up(bench: Bench) -> None:
    """Makes many changes."""
    leader = bench.leader()
    revision = bench.revision_in(leader)
    wanted = revision + PILED_UP_CHANGES
    while revision < wanted:
        revision = bench.change([leader], revision)


def replaced(bench: Bench) -> Line:
    """Measures a repair from the operator's call to its report."""
    found = []
    for _ in range(PILED_UP_ROUNDS):
        leader = bench.leader()
        lost = next(name for name in bench.controls if name != leader)
        process = bench.process(lost)
        process.kill()
        shutil.rmtree(bench.folder / f"{lost}.data")
        process.start()
        live = f"{bench.url_by_name[lost]}/health/live"
        wait_until(lambda url=live: fleets.answers(url), lost)  # type: ignore[misc]
        found.append(timed(lambda: _replace(bench, leader, lost)))  # noqa: B023
        last = bench.revision_in(leader)
        bench.wait_in_force([lost], last)
    return Line("replaced_with_10000_changes", 5_000, found)


def _replace(bench: Bench, leader: str, lost: str) -> None:
    port = bench.links.proxy_by_link[leader, lost].target_port
    body = {"old": lost, "new": lost, "ip": processes.HOST, "port": port}
    url = bench.url_by_name[leader] + "/v1/members/replace"

    def over() -> bool:
        try:
            fleets.call_json(url, "POST", body, GIVE_UP_S)
        except fleets.OperatorError as error:
            if error.status != 503:
                raise
            return False
        return True

    wait_until(over, "the repair")


def restarted(bench: Bench) -> Line:
    """Measures a restart, up to a read that is current and newest."""
    found = []
    for _ in range(ROUNDS):
        leader = bench.leader()
        last = bench.revision_in(leader)
        name = next(n for n in bench.controls if n != leader)
        bench.process(name).kill()

        def current(name: str = name, last: int = last) -> bool:
            answer = bench.get(name, "/v1/defaults")
            return answer["current"] is True and (
                int(str(answer["config_revision"])) >= last
            )

        def restart(
            name: str = name, current: Callable[[], bool] = current
        ) -> None:
            bench.process(name).start()
            wait_until(current, f"{name} to be current")

        found.append(timed(restart))
    return Line("control_restart_with_10000_changes", 1_000, found)


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


def main() -> int:
    """Prints one line for each measurement.

    Returns:
        The exit code: 1 if a bound was missed.
    """
    missed = 0
    with started() as bench:
        for measure in (
            change_in_force,
            lambda b: change_in_force_cut(b, of_leader=False),
            lambda b: change_in_force_cut(b, of_leader=True),
            leader_killed,
            silence_noticed,
            entry_restarted,
        ):
            line = measure(bench)
            missed += "verdict=missed" in str(line)
            print(line, flush=True)
        print(herd_restart(bench), flush=True)
        took_ms = timed(lambda: pile_up(bench))
        rate = PILED_UP_CHANGES / took_ms * MS_PER_S
        print(f"measure=changes_one_by_one per_s={rate:.0f}", flush=True)
        for late in (restarted, replaced):
            line = late(bench)
            missed += "verdict=missed" in str(line)
            print(line, flush=True)
    return 1 if missed else 0


__all__ = ["Bench", "Line", "Links", "main", "started"]

if __name__ == "__main__":
    raise SystemExit(main())
