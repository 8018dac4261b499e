"""Steps for faults that strike while weights are rolled out."""

from __future__ import annotations

import concurrent.futures
import itertools
import json
import threading
import urllib.error
import urllib.request

from behave import given
from behave import then
from behave import when

from bench import fleet
from bench import json_calls
from tests.steps import control_loss_steps
from tests.steps import order_fault_steps
from tests.support import fault_proxy
from tests.support import order_callers
from tests.support import processes
from tests.support import proxied_fleet

TEAM = "team-1"
ENGINES = 3
PADDING = "0" * 950  # makes an order larger than the probes beside it
HELD_MS = 4_000  # a cut would not even take the connection
VERSIONS = itertools.count(2)
ONCE_SERVICE = "billing"
ONCE_CALL_MS = 2_000  # so that connections can go silent under a call
TO_TARGET = fault_proxy.Direction.TO_TARGET


class Requests:
    """A caller that sends requests one after the other."""

    def __init__(self, running):
        self.fleet = running
        self.bad = []
        self.whole = 0
        self._stop = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(1)
        self._work = self._pool.submit(self._run)

    def _run(self):
        for number in itertools.count():
            if self._stop.wait(0.1):
                return
            self.send(number)

    def send(self, number):
        url = self.fleet.entry_urls[number % len(self.fleet.entry_urls)]
        body = {"model": "drafting", "prompt": f"p{number}", "max_tokens": 4}
        request = urllib.request.Request(
            f"{url}/v1/completions", json.dumps(body).encode()
        )
        key = self.fleet.key_by_team[TEAM]
        request.add_header("Authorization", f"Bearer {key}")
        request.add_header("Content-Type", "application/json")
        try:
            with urllib.request.urlopen(request, timeout=30) as reply:
                choice = json.loads(reply.read())["choices"][0]
        except urllib.error.HTTPError as error:
            refusal = json.loads(error.read())["error"]
            if "not_run" not in refusal:
                self.bad.append(refusal)
            return
        if choice["finish_reason"] != "length" or not choice["text"]:
            self.bad.append(choice)
        self.whole += 1

    def close(self):
        self._stop.set()
        self._pool.shutdown()


def new_version():
    return f"v{next(VERSIONS)}-{PADDING}"


def engines(running):
    return [n for n in running.url_by_target if n.startswith("engine-")]


def record(running, name):
    url = running.url_by_target[name]
    try:
        return json_calls.call_json(f"{url}/admin/record", timeout_s=2)[
            "orders"
        ]
    except OSError:
        return []


def orders(running, version):
    """Returns the orders for a version as the engines recorded them."""
    return {
        name: found
        for name in engines(running)
        if (
            found := [
                order
                for order in record(running, name)
                if order["version"] == version
            ]
        )
    }


def served(running):
    """Returns the version of each engine's last load that was done."""
    version_by_name = {}
    for name in engines(running):
        done = [
            order
            for order in record(running, name)
            if order["outcome"] == "done" and order["kind"] == "load_weights"
        ]
        version_by_name[name] = done[-1]["version"] if done else ""
    return version_by_name


def run_versions(running):
    """Returns the weights that each engine's runs met, in order."""
    runs = []
    for name in engines(running):
        url = running.url_by_target[name]
        found = json_calls.call_json(f"{url}/admin/record")["runs"]
        runs += [(run["request_id"], run["weights_version"]) for run in found]
    return runs


@given("a fleet of engines that load weights")
def step_fleet(context, engines=ENGINES):
    if not hasattr(context.kept, "fleet"):
        plan = fleet.FleetPlan(
            engines=engines,
            teams=(TEAM,),
            fencing=frozenset({"engine"}),
            weight_store=True,
            services={ONCE_SERVICE: 1},
            once_services=frozenset({ONCE_SERVICE}),
            service_delay_ms=ONCE_CALL_MS,
        )
        context.kept.fleet = context.feature_stack.enter_context(
            proxied_fleet.running(plan)
        )
    context.running = kept = context.kept.fleet
    order_fault_steps.start_again(kept)
    control_loss_steps.replace_lost_instance(context)
    processes.wait_for(lambda: order_fault_steps.is_healthy(kept), "the fleet")
    kept.wait_serving()
    context.weights_fleet = kept
    context.order_callers = order_callers.Callers(kept)
    context.stack.callback(context.order_callers.close)


@when("new weights are held at their {step}")
def step_hold(context, step):
    hold(context, step)
    context.requests = Requests(context.weights_fleet)
    context.stack.callback(context.requests.close)


def hold(context, step):
    running = context.weights_fleet
    context.version = new_version()
    names = [f"engine-{n}" for n in range(ENGINES)]
    links = [(f"agent-{name}", name) for name in names]
    proxies = [running.board.proxy_by_link[link] for link in links]
    if step == "send":
        for proxy in proxies:
            proxy.delay(HELD_MS, TO_TARGET)
    running.set_default("weights.version", context.version)
    if step == "send":

        def held():
            for number, proxy in enumerate(proxies):
                if proxy.held_bytes >= len(PADDING):
                    context.engine = f"engine-{number}"
                    return True
            return False

        processes.wait_for(held, "an order to be sent")
        assert not orders(running, context.version)
        return
    wanted = {"load": "running", "serve": "done"}[step]

    def found():
        for name, given_orders in orders(running, context.version).items():
            if given_orders[-1]["outcome"] == wanted:
                context.engine = name
                return True
        return False

    processes.wait_for(found, f"an order to be {wanted}")


def kill_again(context, name):
    order_fault_steps.kill_again(context.weights_fleet, name)


@when("the engine of the weights is killed and started again")
def step_kill_engine(context):
    kill_again(context, context.engine)


@when("the agent of the weights is killed and started again")
def step_kill_agent(context):
    kill_again(context, f"agent-{context.engine}")


@when("the leader that gave the weights order is killed and started again")
def step_kill_leader(context):
    kill_again(context, order_fault_steps.leader(context.weights_fleet))


@when("the leader that gave the weights order is cut off")
def step_cut_leader(context):
    running = context.weights_fleet
    context.cut_off = order_fault_steps.leader(running)
    running.board.isolate(context.cut_off)


@when("the leader that gave the weights order freezes")
def step_freeze_leader(context):
    running = context.weights_fleet
    context.frozen = order_fault_steps.leader(running)
    running.group.process_by_name[context.frozen].pause()


@when("the connections to all agents and engines go silent")
def step_silence(context):
    board = context.weights_fleet.board
    for (_, name), proxy in board.proxy_by_link.items():
        if "engine-" in name:
            proxy.silence_open()


@when("the weights go on")
def step_go_on(context):
    running = context.weights_fleet
    for (_, name), proxy in running.board.proxy_by_link.items():
        if name in engines(running):
            proxy.delay(0, TO_TARGET)


@when("still newer weights are wanted")
def step_newer(context):
    context.version = new_version()
    running = context.weights_fleet

    def set_default():
        try:
            running.set_default("weights.version", context.version)
        except (OSError, json_calls.OperatorError):
            return False
        return True

    processes.wait_for(set_default, "the newer weights to be accepted")


@then("every engine comes to serve the weights wanted last")
def step_all_serve(context):
    running = context.weights_fleet

    def all_serve():
        return set(served(running).values()) == {context.version}

    processes.wait_for(all_serve, "all engines to serve it", 60)


@then("requests that follow meet them")
def step_follow(context):
    running = context.weights_fleet
    context.requests.close()
    before = set(run_versions(running))
    for number in range(6):
        context.requests.send(number)
    after = [run for run in run_versions(running) if run not in before]
    assert len(after) >= 6, after
    assert {version for _, version in after} == {context.version}


@then("at most two loaded at once, under fencing numbers that grow")
def step_bounds(context):
    running = context.weights_fleet
    log = running.group.process_by_name["weight-store"].ready_port()
    store = json_calls.call_json(f"http://{processes.HOST}:{log}/admin/record")
    assert store["most_at_once"] <= 2, store
    for name in engines(running):
        fences = [
            order["fence"]
            for order in record(running, name)
            if order["outcome"] == "done"
        ]
        assert fences == sorted(set(fences)), (name, fences)


@then("requests were answered whole meanwhile")
def step_whole(context):
    context.requests.close()
    assert not context.requests.bad, context.requests.bad
    assert context.requests.whole
