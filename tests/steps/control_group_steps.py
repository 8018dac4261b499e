"""Steps for control instances that run as processes."""

from __future__ import annotations

import concurrent.futures
import tempfile
import time

from behave import given
from behave import then
from behave import when

from lycheering.wire import messages
from tests.support import control_group
from tests.support import control_peers
from tests.support import fault_proxy
from tests.support import processes

OPTION = "limits.max_running"
# longer than members wait for a reply, shorter than the connections' timeout
SLOW_MS = 450


def prepare_group(context, size, **options):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    running = context.stack.enter_context(processes.ProcessGroup(folder))
    context.group = control_group.ControlGroup(running, size, **options)


def start_group(context, size, **options):
    prepare_group(context, size, **options)
    context.group.start()
    context.group.wait_ready()


@given("a group of {size:d} control instances")
def step_group(context, size):
    start_group(context, size)


@given(
    "a group of {size:d} control instances with a snapshot every {count:d}"
    " entries"
)
def step_group_snapshots(context, size, count):
    start_group(context, size, snapshot_entries=count)


@given('a group of {size:d} control instances with the operator key "{key}"')
def step_group_key(context, size, key):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    path = f"{folder}/keys"
    with open(path, "w", encoding="utf-8") as file:
        file.write(f"another-key\n{key}\n")
    context.key = key
    start_group(context, size, operator_key_file=path)


@given("a group of {size:d} control instances behind proxies")
def step_group_proxies(context, size):
    start_group(context, size, proxies=context.stack)


@given(
    "{size:d} new control instances whose connections are slow for {lasting:d}"
    " s"
)
def step_slow_start(context, size, lasting):
    prepare_group(context, size, proxies=context.stack)
    proxies = context.group.proxy_by_name.values()
    for proxy in proxies:
        proxy.delay(SLOW_MS, fault_proxy.Direction.TO_CALLER)
    context.group.start()
    time.sleep(lasting)
    for proxy in proxies:
        proxy.delay(0, fault_proxy.Direction.TO_CALLER)
    context.group.wait_ready()


@when("all traffic to the leader is cut off")
def step_cut_leader(context):
    context.old_leader = context.group.leader()
    context.group.proxy_by_name[context.old_leader].cut()
    context.others = [
        name for name in context.group.names if name != context.old_leader
    ]


@then("{option} can be set to {value:d} through each other instance")
def step_set_others(context, option, value):
    for name in context.others:
        step_set(context, option, value, name)


@then(
    "the instance that was cut off never again reports {option} at {value:d} as"
    " current"
)
def step_cut_off_reads(context, option, value):
    for _ in range(10):
        found = context.group.value(context.old_leader, option)
        assert found != (value, True), found


@when("the traffic to it is restored")
def step_heal(context):
    context.group.proxy_by_name[context.old_leader].heal()


@then(
    "the instance that was cut off comes to report {option} at {value:d} as"
    " current"
)
def step_healed(context, option, value):
    processes.wait_for(
        lambda: (
            context.group.value(context.old_leader, option) == (value, True)
        ),
        f"{option} to be {value}",
    )


@when("all open connections go silent")
def step_silence(context):
    for proxy in context.group.proxy_by_name.values():
        assert proxy.silence_open() > 0


@given("an entry on the inner protocol")
def step_entry(context):
    if not hasattr(context, "peers"):
        context.peers = context.stack.enter_context(
            control_peers.ControlPeers()
        )
    role = messages.Role.ENTRY
    context.entry = context.peers.join(context.group, "entry-1", role)


@given("a process that ignores view updates")
def step_stale(context):
    stale = context.peers.join(
        context.group, "stale-entry", messages.Role.ENTRY
    )
    stale.view.take = lambda update: True


@when('{option} is set to {value:d} through "{name}"')
def step_set(context, option, value, name):
    context.answer = context.group.set_default(name, option, value)
    assert context.answer.status == 200, context.answer


@when("the leader is killed")
def step_kill_leader(context):
    context.old_leader = context.group.leader()
    context.group.kill(context.old_leader)


@when("{option} is set to {value:d} through a running instance")
def step_set_running(context, option, value):
    name = context.group.running()[-1]
    step_set(context, option, value, name)


@then("{option} can be set to {value:d} through each running instance")
def step_set_each(context, option, value):
    for name in context.group.running():
        step_set(context, option, value, name)


@then("each running instance has both changes in its history")
def step_has_both(context):
    for name in context.group.running():
        rows = context.group.call(name, "GET", "/v1/history").json["changes"]
        values = [row["value"] for row in reversed(rows)]
        assert values[:2] == [5, 6], values


@when("three operators race through three instances {count:d} times")
def step_race(context, count):
    group = context.group
    context.races = []
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        for number in range(count):
            revision = group.defaults("c1")["config_revision"]
            bodies = {
                name: group.new_change(
                    operator=f"operator-{name}",
                    option=OPTION,
                    value=number + 1,
                    expected_revision=revision,
                )
                for name in group.names
            }
            done = {
                name: pool.submit(
                    group.call, name, "POST", "/v1/defaults", body
                )
                for name, body in bodies.items()
            }
            answers = {name: future.result() for name, future in done.items()}
            context.races.append((bodies, answers, revision))


@then("each race had one accepted change, and both conflicts named it")
def step_race_result(context):
    context.winners = []
    for bodies, answers, revision in context.races:
        by_status = {}
        for name, answer in answers.items():
            by_status.setdefault(answer.status, []).append(name)
        assert {k: len(v) for k, v in by_status.items()} == {200: 1, 409: 2}
        winner = by_status[200][0]
        accepted = {
            "revision": revision + 1,
            "operator": f"operator-{winner}",
            "change_id": bodies[winner]["change_id"],
        }
        context.winners.append(accepted["change_id"])
        for loser in by_status[409]:
            error = answers[loser].json["error"]
            assert error["reason"] == "conflict"
            assert error["winner"] == accepted, error


@then("the history holds only the accepted changes")
def step_race_history(context):
    for name in context.group.names:
        rows = context.group.call(name, "GET", "/v1/history").json["changes"]
        ids = [row["change_id"] for row in reversed(rows)]
        assert ids == context.winners


@when(
    'the same change is sent again through "{name}" after the leader was killed'
)
def step_resend(context, name):
    group = context.group
    rows = group.call("c1", "GET", "/v1/history").json["changes"]
    context.body = {
        "change_id": rows[0]["change_id"],
        "expected_revision": 0,
        "operator": rows[0]["operator"],
        "reason": rows[0]["reason"],
        "option": OPTION,
        "value": rows[0]["value"],
    }
    context.first = context.answer.json
    leader = group.leader()
    group.kill(leader)
    asked = name if leader != name else "c3"
    context.answer = processes.wait_for(
        lambda: decided(group, asked, context.body), "the resend to be decided"
    )


def decided(group, name, body):
    answer = group.call(name, "POST", "/v1/defaults", body)
    return answer if answer.status != 503 else None


@then("the resend got the first outcome, marked as resent")
def step_resent(context):
    assert context.answer.json == {**context.first, "resent": True}


@then("limits.max_running was changed once")
def step_changed_once(context):
    name = context.group.running()[0]
    assert context.group.defaults(name)["config_revision"] == 1


@when("{count:d} changes are made")
def step_many(context, count):
    group = context.group
    leader = group.leader()
    context.bodies = []
    for number in range(count):
        body = group.new_change(
            option=OPTION, value=number + 1, expected_revision=number
        )
        context.bodies.append(body)
        answer = processes.wait_for(
            lambda body=body: decided(group, leader, body), "a change"
        )
        assert answer.status == 200, answer


@when("all control instances are killed and started again")
def step_restart_all(context):
    context.group.kill(*context.group.names)
    context.group.start()
    context.group.wait_ready()


@then("each instance holds the last change and all {count:d} in its history")
def step_all_kept(context, count):
    path = "/v1/history?limit=1000"
    for name in context.group.names:
        answer = processes.wait_for(
            lambda name=name: current(context.group, name, path),
            f"{name} to be current",
        )
        values = [row["value"] for row in reversed(answer["changes"])]
        assert values == list(range(1, count + 1))
        assert context.group.value(name, OPTION)[0] == count


def current(group, name, path):
    answer = group.call(name, "GET", path).json
    return answer if answer["current"] else None


@then("a resend of the first change gets its first outcome")
def step_first_resent(context):
    body = context.bodies[0]
    answer = context.group.call("c2", "POST", "/v1/defaults", body).json
    assert answer["resent"] and answer["config_revision"] == 1, answer


@when('"{name}" has learned that {option} is {value:d}')
def step_learned(context, name, option, value):
    processes.wait_for(
        lambda: context.group.value(name, option) == (value, True),
        f"{name} to learn of {option}",
    )


@when('"{name}" is killed')
def step_kill(context, name):
    context.group.kill(name)


@when('"{first}" and "{second}" are killed')
def step_kill_two(context, first, second):
    context.group.kill(first, second)


@when('"{name}" is started again')
def step_start(context, name):
    context.group.start(name)
    context.group.wait_ready(name)


@then('"{name}" comes to have the last change in force')
def step_caught_up(context, name):
    last = context.bodies[-1]["value"]
    processes.wait_for(
        lambda: context.group.value(name, OPTION)[0] == last, "catching up"
    )


@then('"{name}" comes to refuse writes as "{reason}" with a retry time')
def step_refuses(context, name, reason):
    def refusal():
        body = context.group.new_change(
            option=OPTION, value=9, expected_revision=1
        )
        answer = context.group.call(name, "POST", "/v1/defaults", body)
        assert answer.status == 503, answer
        return answer if answer.json["error"]["reason"] == reason else None

    # the leader may not know at first that it has lost its quorum
    answer = processes.wait_for(refusal, "a refusal")
    assert answer.json["error"]["retry_after_ms"] > 0
    assert int(answer.headers["retry-after"]) >= 1


@then('"{name}" still shows {option} as {value:d}, not as current')
def step_not_current(context, name, option, value):
    assert context.group.value(name, option) == (value, False)


@when("the leader is frozen")
def step_freeze(context):
    context.frozen = context.group.leader()
    context.group.group[context.frozen].pause()
    context.awake = [n for n in context.group.names if n != context.frozen]


@when("{option} is set to {value:d} through an instance that is not frozen")
def step_set_awake(context, option, value):
    step_set(context, option, value, context.awake[0])


@when("the frozen leader resumes and is asked at once for {option}")
def step_wake(context, option):
    context.group.group[context.frozen].resume()
    context.found = context.group.value(context.frozen, option)


@then("it did not report {value:d} as current")
def step_not_reported(context, value):
    assert context.found != (value, True), context.found


@then(
    "a change through it that expects the old revision conflicts with the new"
    " one"
)
def step_old_number(context):
    body = context.group.new_change(option=OPTION, value=9, expected_revision=1)
    answer = processes.wait_for(
        lambda: decided(context.group, context.frozen, body), "a decision"
    )
    assert answer.status == 409, answer
    assert answer.json["error"]["winner"]["revision"] == 2


@then("the entry has {option} at {value:d} in force")
def step_entry_has(context, option, value):
    processes.wait_for(
        lambda: context.entry.view.fleet.value(option) == value,
        f"the entry to have {option} at {value}",
    )


@then("the status, after a wait, says that all processes have it in force")
def step_in_force(context):
    revision = context.answer.json["config_revision"]
    name = context.group.running()[0]
    path = f"/v1/status?wait_revision={revision}&timeout_ms=20000"
    answer = context.group.call(name, "GET", path, timeout_s=30).json
    assert answer["in_force"] and not answer["lacking"], answer
    names = {row["name"] for row in answer["processes"]}
    assert {"entry-1", *context.group.running()} <= names
    assert answer["unreachable"] == [context.old_leader]


@then('the status lists only "{name}" as lacking it')
def step_lacking(context, name):
    def lacking():
        path = "/v1/status?wait_revision=1&timeout_ms=100"
        answer = context.group.call("c2", "GET", path).json
        return answer if answer["lacking"] == [name] else None

    answer = processes.wait_for(lacking, f"only {name} to lack it")
    assert not answer["in_force"]


@when("the leader is asked to stop")
def step_stop_leader(context):
    context.old_leader = context.group.leader()
    process = context.group.group[context.old_leader]
    process.terminate()
    context.exit_code = process.wait()


@then("it exits with 0 and another instance leads")
def step_stopped(context):
    assert context.exit_code == 0
    name = context.group.running()[0]
    processes.wait_for(
        lambda: (
            context.group.call(name, "GET", "/health/ready").json["leader"]
            not in ("", context.old_leader)
        ),
        "another leader",
    )
