"""A fleet with calls brought to one step, and faults that strike there."""

from __future__ import annotations

import contextlib
import threading
import time
import urllib.error

from bench import checker
from bench import fleet
from bench import json_calls
from bench import judged
from bench import processes
from tests.support import fault_proxy
from tests.support import held_callers
from tests.support import processes as test_processes
from tests.support import proxied_fleet

SERVICE = "orders"
CALLS = 9
SLOTS = 2
ENGINES = 3
PIECES = 4
TOKENS = 40
DRAINED_CALLS = 10
LONG_CALLS = 6
LONG_TOKENS = 150  # streamed for longer than a silence goes unnoticed
PILED_CHANGES = 200
FROZEN_S = 2.5
# callers and entries wait for longer without a sign of life
HELD_AFTER_FAULT_S = 3.0
GIVE_UP_S = 15
PROMPT_BYTES = 8_000
PLATFORM_LAG_S = 1.0
PLAN = fleet.FleetPlan(
    engines=ENGINES,
    engine=fleet.EnginePlan(slots=SLOTS, prefill_ms_per_piece=100, token_ms=15),
    services={SERVICE: 2},
    once_services=frozenset({SERVICE}),
    agent_silence_ms=1_000,
)
TO_TARGET = fault_proxy.Direction.TO_TARGET
TO_CALLER = fault_proxy.Direction.TO_CALLER


class StruckFleet:
    """One fleet, used by scenario after scenario.

    Attributes:
        fleet: The fleet.
        board: Its proxies.
        recorder: Keeps the records of killed targets.
        rounds: How often calls were started.
        callers: All callers of the scenario.
        draining: The target whose agent is being stopped.
        release: Ends the hold of the calls at their step.
    """

    def __init__(self, running):
        self.fleet = running
        self.board = running.board
        self.recorder = judged.Recorder(running)
        self.rounds = 0
        self.callers = []
        self.draining = ""
        self.release = do_nothing

    # what is seen

    def process(self, name):
        return self.fleet.group.process_by_name[name]

    def around(self, name):
        return self.board.around(name)

    def names(self, prefix):
        names = self.fleet.group.process_by_name
        return [name for name in names if name.startswith(prefix)]

    def engines(self):
        return [n for n in self.names("engine-") if self.process(n).running]

    def runs(self, target):
        """Returns what a target recorded of this scenario's calls."""
        ids = set().union(*(callers.ids for callers in self.callers))
        url = self.fleet.url_by_target[target]
        return [
            run
            for run in checker.fetch_runs([url])
            if checker.call_id_of(run.request_id) in ids or run.key in ids
        ]

    def open_runs(self, target):
        return [run for run in self.runs(target) if run.outcome == "running"]

    def some_run(self, condition):
        return any(
            condition(run)
            for target in self.engines()
            for run in self.runs(target)
        )

    def busiest(self):
        """Returns the busiest target, once all of them tell their calls."""
        found = []
        self.wait(lambda: found.append(self._busiest()) or True, "records")
        return found[-1]

    def _busiest(self):
        """Returns the draining target, or the engine with most calls."""
        if self.draining:
            return self.draining
        held = {n: self.held(f"agent-{n}") for n in self.engines()}
        if max(held.values()) >= PROMPT_BYTES:
            return max(held, key=held.get)
        return max(self.engines(), key=lambda n: len(self.open_runs(n)))

    def held(self, name):
        return sum(proxy.held_bytes for proxy in self.board.to(name))

    def leader(self):
        """Returns the leader, once the instance that answers knows it."""
        found = []

        def known():
            found.append(self.fleet.operator("/v1/members")["leader"])
            return found[-1] and self.process(found[-1]).running

        self.wait(known, "a leader")
        return found[-1]

    def wait(self, condition, what):
        def met():
            with contextlib.suppress(OSError, json_calls.OperatorError):
                return condition()
            return False

        processes.wait_until(met, what, GIVE_UP_S)

    # bringing calls to a step

    def start(self, trace, gate=None):
        callers = held_callers.Callers(self.fleet, trace, gate)
        self.callers.append(callers)
        return callers.start()

    def trace(self, count=CALLS, level="", tokens=TOKENS):
        self.rounds += 1
        teams = self.fleet.plan.teams
        return held_callers.completions(
            f"r{self.rounds}", count, teams, tokens, PIECES, level
        )

    def order_trace(self, count):
        self.rounds += 1
        teams = self.fleet.plan.teams
        return held_callers.orders(f"o{self.rounds}", count, teams, SERVICE)

    def agent_links(self):
        return [p for n in self.names("agent-") for p in self.board.to(n)]

    def bring_to(self, step):
        """Starts calls and returns once some are at a step.

        Returns:
            What ends the hold of the calls there.
        """
        self.release = getattr(self, f"_at_{step}")()
        return self.release

    def _at_accept(self):
        gate = threading.Event()
        callers = self.start(self.trace(), gate)
        self.wait(
            lambda: callers.halves == CALLS and not self.held_from_callers(),
            "the halves of the requests",
        )
        return gate.set

    def held_from_callers(self):
        return sum(proxy.held_bytes for proxy in self.caller_links())

    def caller_links(self):
        links = self.board.proxy_by_link
        return [links["caller", name] for name in self.names("entry-")]

    def _at_choose(self):
        for proxy in self.agent_links():
            proxy.cut(TO_TARGET)
        self.start(self.trace())
        self.wait(
            lambda: (
                max(self.held(f"agent-{n}") for n in self.engines())
                >= PROMPT_BYTES
            ),
            "a chosen target",
        )
        return self.heal_agents

    def heal_agents(self):
        for proxy in self.agent_links():
            proxy.heal(TO_TARGET, TO_CALLER)

    def _at_queue(self):
        self._start_until(
            lambda: (
                len(self.open_runs(self._busiest())) >= SLOTS
                and self.some_run(lambda run: not run.weights_version)
            ),
            "a queue",
        )
        return do_nothing

    def _at_first_token(self):
        self._start_until(
            lambda: self.some_run(
                lambda run: run.weights_version and not run.tokens_sent
            ),
            "a prefill",
        )
        return do_nothing

    def _at_stream(self):
        self._start_until(
            lambda: self.some_run(lambda run: run.tokens_sent > TOKENS / 4),
            "a stream",
        )
        return do_nothing

    def _start_until(self, condition, what, new_trace=None):
        """Starts calls until some are seen at a step.

        On a busy machine all may have ended before they were seen there.
        """

        def met():
            if not any(callers.running for callers in self.callers):
                self.start((new_trace or self.trace)())
            return condition()

        self.wait(met, what)

    def _at_finish(self):
        self._start_until(
            lambda: self.some_run(lambda run: run.tokens_sent > TOKENS / 2),
            "a long stream",
        )
        for proxy in self.agent_links():
            proxy.cut(TO_CALLER)
        self.wait(
            lambda: self.some_run(lambda run: run.outcome == "finished"),
            "an answer that ended on its way",
        )
        return self.heal_agents

    # draining an agent; each returns what ends the hold there

    def drain_at(self, step, orders=False):
        """Stops a busy agent and returns once its drain is at a step."""
        if orders:
            self._hold_orders()
        else:
            self._start_until(
                self._is_streaming,
                "streams before the drain",
                lambda: self._drained_trace(step),
            )
            self.draining = self.busiest()
        self.release = getattr(self, f"_drain_{step}")()
        return self.release

    def _drained_trace(self, step):
        if step == "finish":
            return self.trace(LONG_CALLS, tokens=LONG_TOKENS)
        return self.trace(DRAINED_CALLS)

    def _is_streaming(self):
        runs = self.open_runs(self._busiest())
        return sum(run.tokens_sent > TOKENS / 4 for run in runs) == SLOTS

    def _hold_orders(self):
        services = list(self.names(f"{SERVICE}-"))
        for name in services:
            for proxy in self.board.to(name):
                proxy.cut(TO_CALLER)
        self.start(self.order_trace(DRAINED_CALLS))
        self.wait(
            lambda: max(len(self.runs(name)) for name in services) >= SLOTS,
            "orders that ran",
        )
        self.draining = max(services, key=lambda name: len(self.runs(name)))

    def _stop_agent(self):
        agent = self.process(f"agent-{self.draining}")
        before = agent.log_text().count("event=draining")
        agent.terminate()
        self.wait(
            lambda: agent.log_text().count("event=draining") > before,
            "the drain to begin",
        )

    def _drain_announce(self):
        links = [
            self.board.proxy_by_link[f"agent-{self.draining}", name]
            for name in self.names("control-")
            if (f"agent-{self.draining}", name) in self.board.proxy_by_link
        ]
        for proxy in links:
            proxy.cut(TO_TARGET)
        self._stop_agent()
        self.wait(lambda: any(p.held_bytes for p in links), "the announcement")
        return self.heal_all

    def _drain_hand_back(self):
        links = self.board.to(f"agent-{self.draining}")
        for proxy in links:
            proxy.cut(TO_CALLER)
        self._stop_agent()
        self.wait(lambda: any(p.held_bytes for p in links), "what is refused")
        return self.heal_all

    def _drain_finish(self):
        self._stop_agent()
        return self.heal_all

    def _drain_exit(self):
        for proxy in self.board.to(f"agent-{self.draining}"):
            proxy.cut(TO_CALLER)
        self._stop_agent()
        for proxy in self.board.to(self.draining):
            proxy.heal(TO_CALLER)
        self.wait(
            lambda: not self.open_runs(self.draining),
            "the last answer to be whole",
        )
        return self.heal_all

    def heal_all(self):
        for proxy in self.board.proxy_by_link.values():
            proxy.heal(*fault_proxy.BOTH)

    # faults; each returns what ends it

    def strike(self, fault):
        return getattr(self, f"_{fault}")()

    def kill(self, name):
        if name in self.fleet.url_by_target:
            self._keep_record(name)
        self.process(name).kill()

    def _keep_record(self, name):
        try:
            self.recorder.keep(name)
        except urllib.error.URLError as error:
            # a target that does not listen yet has recorded nothing
            if not isinstance(error.reason, ConnectionRefusedError):
                raise

    def start_again(self, name):
        if name in self.engines_of_plan():
            self.fleet.start_engine(name)
        else:
            self.process(name).start()

    def engines_of_plan(self):
        return [f"engine-{n}" for n in range(self.fleet.plan.engines)]

    def _kill_until_ended(self, *names):
        for name in names:
            self.kill(name)
        return lambda: [self.start_again(name) for name in names]

    def _engine_crash(self):
        return self._kill_until_ended(self.busiest())

    def _agent_crash(self):
        return self._kill_until_ended(f"agent-{self.busiest()}")

    def _entry_restart(self):
        self._kill_until_ended(*self.names("entry-"))()
        return do_nothing

    def _entry_stop(self):
        self.process("entry-0").terminate()
        return do_nothing

    def list_as_leaving(self):
        """Has the platform list the instance of a streaming target."""
        self._at_stream()
        self.draining = self.busiest()
        body = {"instance": f"agent-{self.draining}", "state": "leaving"}
        url = f"{self.fleet.platform_url}/admin/set"
        json_calls.call_json(url, "POST", body)

    def _control_loss(self):
        return self._kill_until_ended(self.leader())

    def _control_partition(self):
        leader = self.leader()
        self.board.isolate(leader)
        return lambda: self.board.rejoin(leader)

    def _fault_twice(self):
        """Kills the agent of a call, and the next one as it comes back."""
        for _ in range(2):
            self._agent_crash()()
        return do_nothing

    def _process_freeze(self):
        """Freezes one process of each kind past its leases."""
        frozen = self.busiest()
        others = [name for name in self.engines() if name != frozen]
        names = ["entry-0", self.leader(), f"agent-{frozen}", others[0]]
        for name in names:
            self.process(name).pause()
        time.sleep(FROZEN_S)
        return lambda: [self.process(name).resume() for name in names]

    def _partition_then_restart(self):
        """Cuts off an entry and the leader and restarts both meanwhile."""
        names = ["entry-1", self.leader()]
        for name in names:
            self.board.isolate(name)
        self._kill_until_ended(*names)()
        return lambda: [self.board.rejoin(name) for name in names]

    def _silent_inner(self):
        """Silences all open connections but those of callers."""
        for (source, _), proxy in self.board.proxy_by_link.items():
            if source != "caller":
                proxy.silence_open()
        return do_nothing

    def _silent_callers(self):
        for proxy in self.caller_links():
            proxy.silence_open()
        return do_nothing

    def _event_loss(self):
        self.synced_before = {n: self.synced(n) for n in self.engines()}
        self.set_faults(events_loss=1.0, events_lag_ms=300, seed=1)
        return lambda: self.set_faults(events_loss=0.0, events_lag_ms=0)

    def _hot_shift(self):
        level = f"hot-{self.rounds}"
        self.start(self.trace(2 * CALLS, level, TOKENS // 4))
        return do_nothing

    def _restart_behind(self):
        self.start_again("entry-1")
        return do_nothing

    def _leader_twice(self):
        """Kills the leader, and the next one as soon as there is one.

        How long that takes depends on the machine; answers are not held
        for as long.
        """
        self._control_loss()()
        timer = threading.Timer(HELD_AFTER_FAULT_S, self.release)
        timer.start()
        self._control_loss()()
        timer.cancel()
        timer.join()
        return do_nothing

    def _operator_race(self):
        """Has operators drain and undrain under equal revisions."""
        revision = self.fleet.revision()
        paths = [
            f"/v1/targets/{self.draining}/{act}" for act in ("drain", "undrain")
        ]
        answers = [self._race(path, revision) for path in paths * 2]
        assert answers == [True, False, False, False], answers
        return lambda: self._race(paths[1], self.fleet.revision())

    def _race(self, path, revision):
        body = self.fleet.change("race") | {"expected_revision": revision}
        try:
            self.fleet.operator(path, "POST", body)
        except json_calls.OperatorError as error:
            assert error.status == 409, error
            return False
        return True

    def set_faults(self, **faults):
        for name in self.engines():
            url = f"{self.fleet.url_by_target[name]}/admin/faults"
            json_calls.call_json(url, "POST", faults)

    # changes

    def pile_up_changes(self):
        """Kills an entry, and makes hundreds of changes while it is down."""
        self.kill("entry-1")
        for number in range(PILED_CHANGES - 1):
            self.fleet.set_default("retry.max_attempts", 3 + number % 2)
        self.newest_team = f"newest-{self.rounds}"
        key = f"key-{self.newest_team}"
        self.fleet.operator(
            f"/v1/teams/{self.newest_team}",
            "PUT",
            self.fleet.change("newest", keys=[key]),
        )
        self.fleet.key_by_team[self.newest_team] = key

    def first_answer(self, name):
        """Returns what an entry first answers to the newest team."""
        url = self.fleet.entry_urls[int(name.rpartition("-")[2])]
        port = int(url.rpartition(":")[2])
        key = self.fleet.key_by_team[self.newest_team]
        body = {"model": self.fleet.plan.model, "prompt": "x", "max_tokens": 2}
        return test_processes.wait_for(
            lambda: test_processes.call(
                port,
                "POST",
                "/v1/completions",
                body,
                {
                    "Authorization": f"Bearer {key}",
                    "Content-Type": "application/json",
                },
            ),
            f"an answer of {name}",
        )

    def wait_synced(self):
        """Returns once agents that lost events list their blocks anew."""
        for name, count in self.synced_before.items():
            if self.runs(name):
                self.wait(
                    lambda name=name, count=count: self.synced(name) > count,
                    f"the index of {name} to sync",
                )

    def synced(self, engine):
        log = self.process(f"agent-{engine}").log_text()
        return log.count("event=index_synced")

    # judging and mending

    def finish(self):
        """Returns the judgement once all callers have ended."""
        records = [r for callers in self.callers for r in callers.finish()]
        return judged.judge(self.fleet, records, self.recorder)

    def restore(self):
        """Ends all faults and waits until the whole fleet serves."""
        self.heal_all()
        self.draining = ""
        self.release = do_nothing
        for name, process in self.fleet.group.process_by_name.items():
            if process.running:
                process.resume()
            else:
                self.start_again(name)
        for callers in self.callers:
            callers.finish()
        self.fleet.wait_serving()
        self.wait(
            lambda: all(
                proxy.open_count >= len(self.names("entry-"))
                for proxy in self.agent_links()
            ),
            "connections from the entries to the agents",
        )
        self.callers = []
        self.recorder.runs.clear()


def do_nothing():
    """Ends what has ended by itself."""


@contextlib.contextmanager
def running():
    """Yields a started fleet for a feature's scenarios."""
    with proxied_fleet.running(PLAN) as started:
        yield StruckFleet(started)


__all__ = ["PLATFORM_LAG_S", "SERVICE", "StruckFleet", "do_nothing", "running"]
