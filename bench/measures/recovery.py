"""Measures how fast a fleet of real processes recovers from faults."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import itertools
import shutil
import threading
import time

from bench import json_calls
from bench import processes
from bench.measures import recovery_fleet

ROUNDS = 5
PILED_UP_CHANGES = 10_000
PILED_UP_ROUNDS = 3
LOAD_THREADS = 4
LOAD_PAUSE_S = 0.02
HERD_SETTLE_S = 2.0
SILENT = "reason=_SilenceError"


def leader_killed(bench: recovery_fleet.Bench) -> recovery_fleet.Line:
    """Measures how long writes stop when the leader is killed."""
    found = []
    for _ in range(ROUNDS):
        leader = bench.leader()
        revision = bench.revision_in(leader)
        others = [name for name in bench.controls if name != leader]
        bench.process(leader).kill()
        found.append(
            recovery_fleet.timed(
                functools.partial(bench.change, others, revision)
            )
        )
        bench.process(leader).start()
    return recovery_fleet.Line("leader_killed_writes_again", 3_000, found)


def change_in_force(bench: recovery_fleet.Bench) -> recovery_fleet.Line:
    """Measures how long a change takes to all live processes."""
    found = []
    everyone = [*bench.controls, *bench.entries, *bench.agents]
    for _ in range(ROUNDS):
        leader = bench.leader()
        before = bench.revision_in(leader)

        def spread(leader: str = leader, before: int = before) -> None:
            revision = bench.change([leader], before)
            bench.wait_in_force(everyone, revision)

        found.append(recovery_fleet.timed(spread))
    return recovery_fleet.Line("change_in_force_everywhere", 2_000, found)


def change_in_force_cut(
    bench: recovery_fleet.Bench, *, of_leader: bool
) -> recovery_fleet.Line:
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
            found.append(recovery_fleet.timed(spread))
        bench.wait_in_force(bench.controls, before + 1)
    who = "leader" if of_leader else "follower"
    return recovery_fleet.Line(
        f"change_in_force_with_a_{who}_cut_off", 8_000, found
    )


def silence_noticed(bench: recovery_fleet.Bench) -> recovery_fleet.Line:
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
        before = process.log_text().count(SILENT)
        silenced = sum(proxy.silence_open() for proxy in links)
        assert silenced > 0

        def noticed(
            process: processes.Process = process, wanted: int = before + 1
        ) -> bool:
            return process.log_text().count(SILENT) >= wanted

        found.append(
            recovery_fleet.timed(
                functools.partial(recovery_fleet.wait_until, noticed, "silence")
            )
        )
        time.sleep(HERD_SETTLE_S)
    return recovery_fleet.Line("silent_connection_noticed", 3_000, found)


@contextlib.contextmanager
def load(bench: recovery_fleet.Bench) -> Iterator[None]:
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


def entry_restarted(bench: recovery_fleet.Bench) -> recovery_fleet.Line:
    """Measures an entry's first served request after its start."""
    found = []
    entry = bench.entries[0]
    assert bench.call(entry)
    with load(bench):
        for _ in range(ROUNDS):
            bench.process(entry).kill()

            def serve() -> None:
                bench.process(entry).start()
                recovery_fleet.wait_until(
                    lambda: bench.call(entry), "a served request"
                )

            found.append(recovery_fleet.timed(serve))
    return recovery_fleet.Line(
        "entry_restarted_under_load_serves", 1_000, found
    )


def herd_restart(bench: recovery_fleet.Bench) -> str:
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


def _restart_all(bench: recovery_fleet.Bench) -> None:
    for name in bench.entries:
        bench.process(name).kill()
    for name in bench.entries:
        bench.process(name).start()


def _control_cost(
    bench: recovery_fleet.Bench, action: Callable[[], None]
) -> float:
    used = [bench.process(name).cpu_seconds() for name in bench.controls]
    action()
    time.sleep(HERD_SETTLE_S)
    for name in bench.entries:
        recovery_fleet.wait_until(functools.partial(bench.call, name), name)
    after = [bench.process(name).cpu_seconds() for name in bench.controls]
    return (sum(after) - sum(used)) * recovery_fleet.MS_PER_S


def pile_up(bench: recovery_fleet.Bench) -> None:
    """Makes many changes."""
    leader = bench.leader()
    revision = bench.revision_in(leader)
    wanted = revision + PILED_UP_CHANGES
    while revision < wanted:
        revision = bench.change([leader], revision)


def replaced(bench: recovery_fleet.Bench) -> recovery_fleet.Line:
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
        recovery_fleet.wait_until(
            functools.partial(json_calls.answers, live), lost
        )
        found.append(
            recovery_fleet.timed(
                functools.partial(_replace, bench, leader, lost)
            )
        )
        last = bench.revision_in(leader)
        bench.wait_in_force([lost], last)
    return recovery_fleet.Line("replaced_with_10000_changes", 5_000, found)


def _replace(bench: recovery_fleet.Bench, leader: str, lost: str) -> None:
    port = bench.links.proxy_by_link[leader, lost].target_port
    body = {"old": lost, "new": lost, "ip": processes.HOST, "port": port}
    url = bench.url_by_name[leader] + "/v1/members/replace"

    def over() -> bool:
        try:
            json_calls.call_json(url, "POST", body, recovery_fleet.GIVE_UP_S)
        except json_calls.OperatorError as error:
            if error.status != 503:
                raise
            return False
        return True

    recovery_fleet.wait_until(over, "the repair")


def restarted(bench: recovery_fleet.Bench) -> recovery_fleet.Line:
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
            recovery_fleet.wait_until(current, f"{name} to be current")

        found.append(recovery_fleet.timed(restart))
    return recovery_fleet.Line(
        "control_restart_with_10000_changes", 1_000, found
    )


def main() -> int:
    """Prints one line for each measurement.

    Returns:
        The exit code: 1 if a bound was missed.
    """
    missed = 0
    with recovery_fleet.started() as bench:
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
        took_ms = recovery_fleet.timed(lambda: pile_up(bench))
        rate = PILED_UP_CHANGES / took_ms * recovery_fleet.MS_PER_S
        print(f"measure=changes_one_by_one per_s={rate:.0f}", flush=True)
        for late in (restarted, replaced):
            line = late(bench)
            missed += "verdict=missed" in str(line)
            print(line, flush=True)
    return 1 if missed else 0


__all__ = ["main"]

if __name__ == "__main__":
    raise SystemExit(main())
