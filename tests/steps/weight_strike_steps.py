"""Steps for faults that strike with engines at every step of new weights."""

from __future__ import annotations

import itertools
import re

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
LOAD_MS = 800
SLOW_LOAD_MS = 4_000  # so that the load is still seen on a busy machine
PROMPTS = 12  # each tells only once what is held of it
LEVEL_CHARS = 4_000
LEVELS = 3
PROBES = itertools.count(1)
SEEN = re.compile(r"\bheld=(\d+)")
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
    proxies = {
        n: links[f"agent-{n}", n] for n in weight_fault_steps.engines(running)
    }
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
    processes.wait_for(
        lambda: weight_fault_steps.orders(running, context.version),
        "the first load",
    )
    # the first load keeps its time, and the second one takes long
    set_pace(running, SLOW_LOAD_MS)
    context.stack.callback(set_pace, running, LOAD_MS)
    context.engine_by_step = processes.wait_for(
        lambda: engines_at(context, held), "an engine at every step"
    )
    set_pace(running, LOAD_MS)
    assert sorted(context.engine_by_step) == sorted(STEPS)
    assert holds_order(proxies[held])


def set_pace(running, load_ms):
    port = running.group.process_by_name["weight-store"].ready_port()
    url = f"http://{processes.HOST}:{port}/admin/pace"
    json_calls.call_json(url, "POST", {"load_ms": load_ms})


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
    rest = (
        set(weight_fault_steps.engines(context.running))
        - set(outcomes)
        - {held}
    )
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
    operated = control_loss_steps.operator_fleet(context)
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
    for name in weight_fault_steps.engines(context.running):
        context.running.restart(f"agent-{name}")


@when("the engines' cache events are lost from then on")
def step_lose_events(context):
    set_events_loss(context, 1.0)
    context.stack.callback(set_events_loss, context, 0.0)


def set_events_loss(context, share):
    for name in weight_fault_steps.engines(context.running):
        url = context.running.url_by_target[name]
        faults = {"events_loss": share, "seed": 1}
        json_calls.call_json(f"{url}/admin/faults", "POST", faults)


def seen_pieces(context, prompt):
    """Sends a prompt; returns the pieces that agents said were held of it."""
    running = context.running
    length = LEVEL_CHARS * LEVELS
    body = {
        "model": running.plan.model,
        "prompt": f"{prompt} ".ljust(length, "x") + " the question",
        "prefix_levels": [length - LEVEL_CHARS, length],
        "max_tokens": 2,
    }
    url = running.entry_urls[0]
    port = int(url.rpartition(":")[2])
    key = running.key_by_team[weight_fault_steps.TEAM]
    headers = {
        "Authorization": f"Bearer {key}",
        "X-Request-Id": f"seen-{next(PROBES)}",
    }
    answer = processes.call(port, "POST", "/v1/completions", body, headers)
    assert answer.status == 200, answer
    request_id = headers["X-Request-Id"]
    found = json_calls.call_json(f"{url}/v1/explain/{request_id}")
    reasons = [c["reason"] for c in found["attempts"][-1]["candidates"]]
    return [int(match[1]) for r in reasons if (match := SEEN.search(r))]


@given("prompts that entries know to be held by engines")
def step_held_prompts(context):
    context.prompts = [f"prompt {number}" for number in range(PROMPTS)]
    for prompt in context.prompts:
        seen_pieces(context, prompt)
        processes.wait_for(
            lambda prompt=prompt: LEVELS in seen_pieces(context, prompt),
            f"{prompt} to be held",
        )


@then("what engines held under older weights is counted on no more")
def step_counted_no_more(context):
    seen = [seen_pieces(context, prompt) for prompt in context.prompts]
    # agents learn of a cleared cache from the next tick of the events
    assert any(held and not any(held) for held in seen), seen
    assert not any(seen[-1]), seen


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
        for name in weight_fault_steps.engines(running)
        for order in weight_fault_steps.record(running, name)
    ]
    assert len(fences) == len(set(fences)), fences
