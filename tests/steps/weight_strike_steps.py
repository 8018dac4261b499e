"""Steps for faults that strike with engines at every step of new weights."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from bench import json_calls
from tests.steps import control_loss_steps
from tests.steps import order_fault_steps
from tests.steps import weight_fault_steps
from tests.support import fault_proxy
from tests.support import processes

HELD_MS = 8_000
STEPS = ("fence", "send", "load", "serve")


@given("a fleet of {count:d} engines that load weights")
def step_fleet(context, count):
    weight_fault_steps.step_fleet(context, count)


@when("engines are held at every step of new weights")
def step_hold(context):
    """Holds an order on its way, so that the rest pass one by one.

    Two orders may be in flight, so that with one of them held one engine
    serves, one loads and the last waits for its number.
    """
    running = context.running
    context.version = weight_fault_steps.new_version()
    links = running.board.proxy_by_link
    proxies = {n: links[f"agent-{n}", n] for n in running.url_by_target}
    for proxy in proxies.values():
        proxy.delay(HELD_MS, fault_proxy.Direction.TO_TARGET)
    context.requests = weight_fault_steps.Requests(running)
    context.stack.callback(context.requests.close)
    context.leader = order_fault_steps.leader(running)
    running.set_default("weights.version", context.version)
    held = processes.wait_for(
        lambda: next((n for n in proxies if holds_order(proxies[n])), ""),
        "an order to be sent",
    )
    for name, proxy in proxies.items():
        if name != held:
            proxy.delay(0, fault_proxy.Direction.TO_TARGET)
    context.engine_by_step = processes.wait_for(
        lambda: engines_at(context, held), "an engine at every step"
    )
    assert sorted(context.engine_by_step) == sorted(STEPS)
    assert holds_order(proxies[held])


def holds_order(proxy):
    return proxy.held_bytes >= len(weight_fault_steps.PADDING)


def engines_at(context, held):
    """Returns the engine at each step, once there is one at all."""
    given_orders = weight_fault_steps.orders(context.running, context.version)
    outcomes = {n: rows[-1]["outcome"] for n, rows in given_orders.items()}
    assert held not in outcomes, outcomes
    if sorted(outcomes.values()) != ["done", "running"]:
        return None
    step_by_outcome = {"done": "serve", "running": "load"}
    found = {step_by_outcome[o]: n for n, o in outcomes.items()}
    rest = set(context.running.url_by_target) - set(outcomes) - {held}
    return found | {"send": held, "fence": rest.pop()}


@when("the leader of the weights is cut off")
def step_cut(context):
    context.cut_off = context.leader
    context.running.board.isolate(context.cut_off)


@when("the cut-off leader of the weights restarts")
def step_cut_restart(context):
    context.running.restart(context.cut_off)


@when("the leader of the weights freezes")
def step_freeze(context):
    context.frozen = context.running.group.process_by_name[context.leader]
    context.frozen.pause()


@when("the frozen leader wakes after another one leads")
def step_wake(context):
    operated = control_loss_steps.fleet_of(context)
    names = [name for name in operated.controls if name != context.leader]
    processes.wait_for(
        lambda: operated.leader(*names) in names, "another leader"
    )
    context.frozen.resume()


@when("the leader of the weights is killed, and the next one too")
def step_kill_twice(context):
    running = context.running
    running.restart(context.leader)
    running.restart(order_fault_steps.leader(running))


@when("all connections between processes go silent")
def step_silence(context):
    for (source, _), proxy in context.running.board.proxy_by_link.items():
        if source != "caller":
            proxy.silence_open()


@when("the agents of the weights are killed and started again")
def step_kill_agents(context):
    for name in context.running.url_by_target:
        context.running.restart(f"agent-{name}")


@when("the engines' cache events are lost from then on")
def step_lose_events(context):
    set_events_loss(context, 1.0)
    context.stack.callback(set_events_loss, context, 0.0)


def set_events_loss(context, share):
    for url in context.running.url_by_target.values():
        faults = {"events_loss": share, "seed": 1}
        json_calls.call_json(f"{url}/admin/faults", "POST", faults)


@then("the engines of all steps serve the weights wanted last")
def step_all_serve(context):
    weight_fault_steps.step_all_serve(context)
    served = weight_fault_steps.served(context.running)
    for step, name in context.engine_by_step.items():
        assert served[name] == context.version, (step, name)


@then("no engine was told to load under the same number twice")
def step_once(context):
    running = context.running
    fences = [
        order["fence"]
        for name in running.url_by_target
        for order in weight_fault_steps.record(running, name)
    ]
    assert len(fences) == len(set(fences)), fences
