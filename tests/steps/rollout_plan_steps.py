"""Steps that simulate updates of engines in virtual time."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering.control.direct import rollout_plan

TICK_MS = 50
MAX_OUTDATED_MS = 10_000.0
HUNG_LOAD_MS = 4_000
FAILED_LOAD_MS = 800
RETRY_MS = 500
SETTINGS = rollout_plan.RolloutPlanSettings(max_outdated_ms=MAX_OUTDATED_MS)


class SimulatedEngine:
    """An engine whose loads take a given time, fail or hang."""

    def __init__(self, number):
        self.key = f"e{number:03}"
        self.version = 0
        self.loading_until_ms = None
        self.fault = ""
        self.failures = 0
        self.paused_until_ms = 0
        self.loads = 0
        self.max_outdated_ms = 0.0

    def start_load(self, now_ms, out_ms):
        self.loads += 1
        self.fails = self.fault == "fails each load" or (
            self.fault == "fails every other load" and self.loads % 2
        )
        duration_ms = out_ms
        if self.fails:
            duration_ms = FAILED_LOAD_MS
        elif self.fault == "hangs for 4 s in each load":
            duration_ms = HUNG_LOAD_MS
        self.loading_until_ms = now_ms + duration_ms

    def finish_load(self, now_ms, newest_version):
        if self.loading_until_ms is None or now_ms < self.loading_until_ms:
            return
        self.loading_until_ms = None
        if self.fails:
            self.failures += 1
            self.paused_until_ms = now_ms + RETRY_MS
            return
        self.failures = 0
        self.version = newest_version


@given(
    "{count:d} engines that are out of service for {out_ms:d} ms with each load"
)
def step_engines(context, count, out_ms):
    context.simulated_engines = [
        SimulatedEngine(number) for number in range(count)
    ]
    context.out_ms = out_ms


@given("every {nth:d}th of them {fault}")
def step_faults(context, nth, fault):
    for engine in context.simulated_engines[::nth]:
        engine.fault = fault


@when("weights are named every {gap_ms:d} ms for {seconds:d} s")
def step_simulate(context, gap_ms, seconds):
    named_at_ms = []
    context.max_out = 0
    for now_ms in range(0, seconds * 1_000, TICK_MS):
        if now_ms % gap_ms == 0:
            named_at_ms.append(now_ms)
        for engine in context.simulated_engines:
            engine.finish_load(now_ms, len(named_at_ms))
        outdated_ms_by_key = {
            engine.key: now_ms - named_at_ms[engine.version]
            for engine in context.simulated_engines
            if engine.version < len(named_at_ms)
        }
        waiting = [
            rollout_plan.OutdatedEngine(
                engine.key,
                "m",
                outdated_ms_by_key[engine.key],
                engine.failures,
                is_paused=now_ms < engine.paused_until_ms,
            )
            for engine in context.simulated_engines
            if engine.key in outdated_ms_by_key
            and engine.loading_until_ms is None
        ]
        out = sum(
            engine.loading_until_ms is not None
            for engine in context.simulated_engines
        )
        reachable = sum(
            not engine.failures for engine in context.simulated_engines
        )
        limit = rollout_plan.max_out_of_service(
            reachable, context.out_ms, SETTINGS
        )
        engine_by_key = {
            engine.key: engine for engine in context.simulated_engines
        }
        for engine in rollout_plan.next_engines(waiting, limit - out):
            engine_by_key[engine.key].start_load(now_ms, context.out_ms)
            out += 1
        context.max_out = max(context.max_out, out)
        for engine in context.simulated_engines:
            # a loading engine serves no requests, so its weights don't matter
            if engine.loading_until_ms is None:
                engine.max_outdated_ms = max(
                    engine.max_outdated_ms,
                    outdated_ms_by_key.get(engine.key, 0),
                )


@then("no engine had outdated weights for longer than 10 s")
def step_all(context):
    most = max(engine.max_outdated_ms for engine in context.simulated_engines)
    assert most <= MAX_OUTDATED_MS, most


@then("no working engine had outdated weights for longer than 10 s")
def step_working(context):
    working = [
        engine for engine in context.simulated_engines if not engine.fault
    ]
    most = max(engine.max_outdated_ms for engine in working)
    assert most <= MAX_OUTDATED_MS, most


@then("never more than {most:d} engines were out of service")
def step_out(context, most):
    assert 0 < context.max_out <= most, context.max_out


@then("each engine loaded once")
def step_once(context):
    assert all(engine.loads == 1 for engine in context.simulated_engines)
