"""Steps for faults that strike at a chosen step of an order."""

from __future__ import annotations

import itertools
import threading

from behave import given
from behave import then
from behave import when

from bench import fleet
from bench import json_calls
from tests.steps import control_loss_steps
from tests.support import fault_proxy
from tests.support import order_callers
from tests.support import processes
from tests.support import proxied_fleet

TO_TARGET = fault_proxy.Direction.TO_TARGET
TO_CALLER = fault_proxy.Direction.TO_CALLER
FIRST = "entry-0"
KEYS = itertools.count(1)
FROZEN_MS = 2_500  # longer than a Submit lives and a leader's lease lasts


class Strike:
    """One order, held at a step, and the fleet around it."""

    def __init__(self, running, callers, service):
        self.fleet = running
        self.board = running.board
        self.callers = callers
        self.service = service
        self.key = f"key-{next(KEYS)}"
        self.cuts = []
        self.first = None
        self.frozen = None

    def cut(self, proxies, direction):
        for proxy in proxies:
            proxy.cut(direction)
            self.cuts.append(proxy)

    def heal(self):
        for proxy in self.cuts:
            proxy.heal()
        self.cuts.clear()

    def links(self, source, prefix):
        return [
            proxy
            for (start, end), proxy in self.board.proxy_by_link.items()
            if start == source and end.startswith(prefix)
        ]

    def begin(self):
        self.first = self.callers.begin(0, self.service, self.key)

    def wait_held(self, proxies, what):
        size = len(order_callers.PADDING)
        try:
            processes.wait_for(
                lambda: any(proxy.held_bytes >= size for proxy in proxies),
                what,
            )
        except AssertionError as error:
            self.heal()
            raise AssertionError(self.first.result(60)) from error

    def wait_run(self, outcome):
        def found():
            runs = self.callers.runs_under(self.key)
            return runs and runs[0].outcome == outcome

        processes.wait_for(found, f"the run to be {outcome}")

    def hold_claim(self):
        """The claim is granted, and the entry does not know."""
        self.cut(self.links(FIRST, "control-"), TO_CALLER)
        self.begin()
        self.callers.wait_state(self.key, "claimed")

    def hold_send(self):
        """The entry has sent the order, and no agent has it."""
        proxies = self.links("*", f"agent-{self.service}")
        self.cut(proxies, TO_TARGET)
        self.begin()
        self.wait_held(proxies, "the order to be sent")

    def hold_run(self):
        """The target runs the order."""
        self.begin()
        self.wait_run("running")

    def hold_commit(self):
        """The order ran, and its outcome is on its way to control."""
        self.hold_run()
        proxies = self.links(FIRST, "control-")
        self.cut(proxies, TO_TARGET)
        self.wait_run("finished")
        self.wait_held(proxies, "the outcome to be sent")

    def hold_answer(self):
        """The outcome is committed, and the caller has no answer."""
        proxies = self.links("caller", FIRST)
        self.cut(proxies, TO_CALLER)
        self.begin()
        self.callers.wait_state(self.key, "finished")
        self.wait_held(proxies, "the answer to be sent")

    @property
    def target(self):
        return self.callers.row(self.key)["target"]

    def links_of(self, step):
        """Returns the proxies that carry a step."""
        if step in ("claim", "commit"):
            return self.links(FIRST, "control-")
        if step == "send":
            return self.links("*", f"agent-{self.service}")
        if step == "run":
            agent = f"agent-{self.target}"
            return self.links("*", agent) + self.links(agent, self.target)
        return self.links("caller", FIRST)


def start_again(running):
    """Starts what was killed, wakes what was frozen and heals all cuts."""
    for proxy in running.board.proxy_by_link.values():
        proxy.heal()
    for process in running.group.process_by_name.values():
        if process.running:
            process.resume()
        else:
            process.start()


def is_healthy(running):
    urls = running.entry_urls + running.operator_urls
    return all(json_calls.answers(f"{url}/health/ready") for url in urls)


def restore(running, callers):
    """Waits until every entry gets an order through to every service."""
    start_again(running)
    processes.wait_for(lambda: is_healthy(running), "the fleet")
    running.wait_serving()
    for entry in range(len(running.entry_urls)):
        for service in running.plan.services:
            key = f"warm-{next(KEYS)}"
            callers.settle(entry, service, key)


def control_names(running):
    return [f"control-{n}" for n in range(running.plan.controls)]


def leader(running):
    """Returns the control instance that says itself that it leads."""

    def found():
        names = control_names(running)
        for name, url in zip(names, running.operator_urls, strict=True):
            if not running.group.process_by_name[name].running:
                continue
            try:
                reply = json_calls.call_json(f"{url}/v1/members", timeout_s=2)
            except (OSError, json_calls.OperatorError):
                continue
            if reply["current"] and reply["leader"] == name:
                return name
        return None

    return processes.wait_for(found, "a leader")


@given("a fleet of services whose calls may not be repeated")
def step_fleet(context):
    if not hasattr(context.kept, "fleet"):
        plan = fleet.FleetPlan(
            engines=0,
            services={"billing": 2, "booking": 1},
            fencing=frozenset({"booking"}),
            once_services=frozenset({"billing", "booking"}),
            teams=(order_callers.TEAM,),
            service_delay_ms=400,
        )
        context.kept.fleet = context.feature_stack.enter_context(
            proxied_fleet.running(plan)
        )
    context.running = kept = context.kept.fleet
    context.order_callers = order_callers.Callers(kept)
    context.stack.callback(context.order_callers.close)
    start_again(kept)
    control_loss_steps.replace_lost_instance(context)
    restore(kept, context.order_callers)


def strike_of(context, service):
    context.strike = Strike(context.running, context.order_callers, service)
    return context.strike


@when("an order to {service} is held at its {step}")
def step_hold(context, service, step):
    strike = strike_of(context, service)
    context.order_step = step
    getattr(strike, f"hold_{step}")()


def kill_again(running, name):
    running.kill(name)
    running.group.process_by_name[name].start()


@when("the order's entry is killed and started again")
def step_kill_entry(context):
    kill_again(context.strike.fleet, FIRST)


@when("the order's agent is killed and started again")
def step_kill_agent(context):
    strike = context.strike
    kill_again(strike.fleet, f"agent-{strike.target}")


@when("the order's target is killed and started again")
def step_kill_target(context):
    strike = context.strike
    target = strike.target
    strike.callers.keep_runs(target)
    kill_again(strike.fleet, target)


@when("the leader of control is killed and started again")
def step_kill_leader(context):
    running = context.strike.fleet
    kill_again(running, leader(running))


@when("the next leader of control is killed and started again")
def step_kill_next_leader(context):
    running = context.strike.fleet
    kill_again(running, leader(running))


@when("the leader of control is cut off")
def step_cut_leader(context):
    running = context.strike.fleet
    context.cut_off = leader(running)
    running.board.isolate(context.cut_off)


@when("the leader that was cut off is started again")
def step_restart_cut_off(context):
    kill_again(context.strike.fleet, context.cut_off)


@when("the leader that was cut off is back")
def step_rejoin(context):
    context.strike.fleet.board.rejoin(context.cut_off)


@when("the connections that carry the step go silent")
def step_silence(context):
    for proxy in context.strike.links_of(context.order_step):
        proxy.silence_open()


def freeze(context, name):
    process = context.strike.fleet.group.process_by_name[name]
    process.pause()
    context.strike.frozen = process


@when("the order's entry freezes")
def step_freeze_entry(context):
    freeze(context, FIRST)


@when("the order's agent freezes")
def step_freeze_agent(context):
    freeze(context, f"agent-{context.strike.target}")


@when("the leader of control freezes")
def step_freeze_leader(context):
    freeze(context, leader(context.strike.fleet))


@when("it wakes after its leases ended")
def step_wake(context):
    threading.Event().wait(FROZEN_MS / 1_000)
    context.strike.frozen.resume()


@when("the order goes on")
def step_go_on(context):
    context.strike.heal()


@when("the caller sends the order to another entry until it is settled")
def step_settle(context):
    strike = context.strike
    strike.callers.settle(1, strike.service, strike.key)


@then("it ran at most once and every resend is told the same")
def step_judge(context):
    strike = context.strike
    strike.heal()
    strike.first.result(60)
    for entry in (1, 0):
        strike.callers.settle(entry, strike.service, strike.key)
    strike.callers.judge(strike.key)


@then("it ran once and was answered")
def step_ran_once(context):
    strike = context.strike
    replies = strike.callers.replies_by_key[strike.key]
    assert replies[-1].answered, replies[-1]
    assert len(strike.callers.runs_under(strike.key)) == 1
