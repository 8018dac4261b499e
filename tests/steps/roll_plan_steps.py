"""Steps that replay a plan of loads in virtual time."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering.control.direct import roll_plan

STEP_MS = 50
BOUND_MS = 10_000.0
HANG_MS = 4_000
FAIL_MS = 800
RETRY_MS = 500
SETTINGS = roll_plan.PlanSettings(bound_ms=BOUND_MS)


class Engine:
    """An engine that loads weights when it is told to."""

    def __init__(self, number):
        self.key = f"e{number:03}"
        self.version = 0
        self.until_ms = None
        self.fault = ""
        self.failures = 0
        self.paused_ms = 0
        self.loads = 0
        self.most_lacking_ms = 0.0

    def begin(self, now_ms, out_ms):
        self.loads += 1
        self.fails = self.fault == "fails each load" or (
            self.fault == "fails every other load" and self.loads % 2
        )
        span_ms = out_ms
        if self.fails:
            span_ms = FAIL_MS
        elif self.fault == "hangs for 4 s in each load":
            span_ms = HANG_MS
        self.until_ms = now_ms + span_ms

    def settle(self, now_ms, newest):
        if self.until_ms is None or now_ms < self.until_ms:
            return
        self.until_ms = None
        if self.fails:
            self.failures += 1
            self.paused_ms = now_ms + RETRY_MS
            return
        self.failures = 0
        self.version = newest


@given("{count:d} engines that are out for {out_ms:d} ms with each load")
def step_engines(context, count, out_ms):
    context.fleet = [Engine(number) for number in range(count)]
    context.out_ms = out_ms


@given("every {nth:d}th of them {fault}")
def step_faults(context, nth, fault):
    for engine in context.fleet[::nth]:
        engine.fault = fault


@when("weights are named every {gap_ms:d} ms for {seconds:d} s")
def step_replay(context, gap_ms, seconds):
    named_ms = []
    context.most_out = 0
    for now_ms in range(0, seconds * 1_000, STEP_MS):
        if now_ms % gap_ms == 0:
            named_ms.append(now_ms)
        for engine in context.fleet:
            engine.settle(now_ms, len(named_ms))
        lacking = {
            engine.key: now_ms - named_ms[engine.version]
            for engine in context.fleet
            if engine.version < len(named_ms)
        }
        waiting = [
            roll_plan.Engine(
                engine.key,
                "m",
                lacking[engine.key],
                engine.failures,
                is_paused=now_ms < engine.paused_ms,
            )
            for engine in context.fleet
            if engine.key in lacking and engine.until_ms is None
        ]
        out = sum(engine.until_ms is not None for engine in context.fleet)
        reachable = sum(not engine.failures for engine in context.fleet)
        most = roll_plan.at_once(reachable, context.out_ms, SETTINGS)
        by_key = {engine.key: engine for engine in context.fleet}
        for engine in roll_plan.next_engines(waiting, most - out):
            by_key[engine.key].begin(now_ms, context.out_ms)
            out += 1
        context.most_out = max(context.most_out, out)
        for engine in context.fleet:
            # one that loads gets no requests
            if engine.until_ms is None:
                engine.most_lacking_ms = max(
                    engine.most_lacking_ms, lacking.get(engine.key, 0)
                )


@then("no engine lacked weights for longer than 10 s")
def step_all(context):
    most = max(engine.most_lacking_ms for engine in context.fleet)
    assert most <= BOUND_MS, most


@then("no sound engine lacked weights for longer than 10 s")
def step_sound(context):
    sound = [engine for engine in context.fleet if not engine.fault]
    most = max(engine.most_lacking_ms for engine in sound)
    assert most <= BOUND_MS, most


@then("never more than {most:d} engines were out of service")
def step_out(context, most):
    assert 0 < context.most_out <= most, context.most_out


@then("each engine loaded once")
def step_once(context):
    assert all(engine.loads == 1 for engine in context.fleet)
