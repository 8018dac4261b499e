"""Steps for faults that strike a config change at one of its steps."""

from __future__ import annotations

import contextlib
import http.client

from behave import given
from behave import then
from behave import when

from tests.support import config_fleet
from tests.support import fault_proxy
from tests.support import processes

FREEZE_S = 2.5  # longer than leases, elections and silences


@given("a config fleet in full health")
def step_fleet(context):
    if not hasattr(context.kept, "fleet"):
        context.kept.fleet = config_fleet.start(context.feature_stack)
    context.fleet = context.kept.fleet
    context.fleet.heal()
    context.victim = context.fleet.leader()
    context.replace_lost_instance = lambda: None
    context.call = None


@when("a change is held at {step}")
def step_hold(context, step):
    HOLDS[step](context, context.fleet)


def hold_propose(context, fleet):
    context.body = fleet.new_change()
    context.step = "propose"


def hold_commit(context, fleet, through=None):
    """Has a change on its way from the leader to nobody.

    A leader whose lease expires before the change reaches it refuses the
    change; it is held at the next leader then, unless another instance is to
    forward it to this one.
    """

    def held():
        if not through:
            context.victim = fleet.leader()
        links = cut_outgoing_links(context.victim, fleet)
        context.body = fleet.new_change(revision, config_fleet.LONG_REASON)
        context.call = fleet.in_background(
            fleet.send, context.body, through or context.victim
        )
        size = len(config_fleet.LONG_REASON)
        processes.wait_for(
            lambda: (
                any(proxy.held_bytes > size for proxy in links)
                or is_refused(context.call)
            ),
            "the change to be on its way",
        )
        if not is_refused(context.call):
            return True
        assert not through, "the change was refused"
        fleet.heal()
        return False

    revision = fleet.revision()
    processes.wait_for(held, "a leader that holds the change")
    assert not context.call.done()
    context.step = "commit"


def cut_outgoing_links(name, fleet):
    """Cuts the links from a control instance to all others."""
    links = fleet.links([name], fleet.controls)
    for proxy in links:
        proxy.cut(fault_proxy.Direction.TO_TARGET)
    return links


def is_refused(call):
    """Returns whether a call in the background was refused without effect."""
    if not call.done():
        return False
    answer = call.result()
    assert answer.status == 503, answer
    return answer.json["error"]["reason"] == "no_quorum"


def hold_spread(context, fleet):
    """Has a change accepted that no entry and no agent has heard of."""
    others = [*fleet.entries, *fleet.agents]
    context.links = fleet.links([*others, "*"], [*fleet.controls, *others])
    for proxy in context.links:
        proxy.cut()
    context.body = fleet.new_change()
    assert fleet.decide(context.body).status == 200
    last = max(fleet.accepted)
    assert all(fleet.revision_in(name) < last for name in others)
    context.step = "spread"


def hold_in_force(context, fleet):
    context.body = fleet.new_change()
    assert fleet.decide(context.body).status == 200
    fleet.wait_in_force()
    context.step = "in_force"


HOLDS = {
    "propose": hold_propose,
    "commit": hold_commit,
    "spread": hold_spread,
    "in_force": hold_in_force,
}


@when("the leader is struck by {fault}")
def step_strike_leader(context, fault):
    LEADER_FAULTS[fault](context, context.fleet)


def kill_twice(context, fleet):
    fleet.fleet.kill(context.victim)
    second = fleet.leader()
    fleet.start(context.victim)
    fleet.leader(*fleet.controls)
    fleet.fleet.kill(second)


def cut_off(context, fleet):
    fleet.board.isolate(context.victim)
    wait_deposed(context, fleet)


def cut_one_way(context, fleet):
    for proxy in fleet.links([context.victim], fleet.controls):
        proxy.cut(fault_proxy.Direction.TO_TARGET)
    for proxy in fleet.links(fleet.controls, [context.victim]):
        proxy.cut(fault_proxy.Direction.TO_CALLER)
    wait_deposed(context, fleet)


def freeze(context, fleet):
    fleet.process(context.victim).pause()
    wait_deposed(context, fleet)


def wait_deposed(context, fleet):
    others = others_than(context.victim, fleet)
    processes.wait_for(
        lambda: fleet.leader(*others) != context.victim, "another leader"
    )


def restart_cut_off(context, fleet):
    cut_off(context, fleet)
    fleet.fleet.restart(context.victim)


def lose_disk(context, fleet):
    """Loses the leader's disk; the mending replaces the instance."""
    old_id = fleet.id_of(context.victim)
    fleet.lose_disk(context.victim)

    def repair():
        others = others_than(context.victim, fleet)
        answer = fleet.replace(context.victim, *others)
        assert answer.status == 200, answer
        members = processes.wait_for(fleet.members, "the members")["members"]
        assert len(members) == 3 and all(m["votes"] for m in members)
        assert old_id not in {m["id"] for m in members}

    context.replace_lost_instance = repair


def lose_second_after_repair(context, fleet):
    """Repairs a follower, and loses the leader as that is reported."""
    first = fleet.followers()[0]
    fleet.lose_disk(first)
    answer = fleet.replace(first, *others_than(first, fleet))
    assert answer.status == 200, answer
    fleet.fleet.kill(fleet.leader())


LEADER_FAULTS = {
    "two kills": kill_twice,
    "a cut": cut_off,
    "a one-way cut": cut_one_way,
    "a freeze": freeze,
    "a cut and a restart": restart_cut_off,
    "a lost disk": lose_disk,
    "a loss right after a repair": lose_second_after_repair,
}


def others_than(name, fleet):
    return [other for other in fleet.controls if other != name]


@when("{names} are killed and restart at once")
def step_restart(context, names):
    for name in named(context.fleet, names):
        context.fleet.fleet.restart(name)


@when("{names} are cut off and restart at once")
def step_restart_cut_off(context, names):
    for name in named(context.fleet, names):
        context.fleet.board.isolate(name)
        context.fleet.fleet.restart(name)


@when("{names} freeze for long")
def step_freeze(context, names):
    for name in named(context.fleet, names):
        context.fleet.process(name).pause()
    config_fleet.pause(FREEZE_S)


def named(fleet, names):
    return {"the entries": fleet.entries, "the agents": fleet.agents}[names]


@when("a restarted entry holds what it had while it is cut off")
def step_entry_kept(context):
    fleet = context.fleet
    for name in fleet.entries:
        processes.wait_for(
            lambda name=name: fleet.revision_in(name), f"{name} to answer"
        )
        assert fleet.revision_in(name) >= max(fleet.accepted), name


@when("the forwarding connection goes silent at {step}")
def step_silence_forward(context, step):
    fleet = context.fleet
    through = fleet.followers()[0]
    links = fleet.links([through], [context.victim])
    if step == "propose":
        hold_propose(context, fleet)
    else:
        hold_commit(context, fleet, through)
    assert sum(proxy.silence_open() for proxy in links) > 0
    if step == "propose":
        context.call = fleet.in_background(fleet.send, context.body, through)
        assert context.call.result().status == 503


@when("two operators race for the next change, and the last is sent again")
def step_race(context):
    fleet = context.fleet
    revision = max(fleet.accepted)
    bodies = [fleet.new_change(revision) for _ in range(2)]
    calls = [
        fleet.in_background(fleet.decide, body, name)
        for body, name in zip(bodies, fleet.controls, strict=False)
    ]
    again = fleet.decide(context.body, fleet.controls[2])
    assert again.json["resent"], again
    found = sorted(call.result().status for call in calls)
    assert found == [200, 409], found


@when("{count:d} changes are made while the entries are down")
def step_pile_up(context, count):
    fleet = context.fleet
    for name in fleet.entries:
        fleet.fleet.kill(name)
    fleet.pile_up(count, fleet.leader())


@then("a restarted entry is ready only with the last of them in force")
def step_ready_with_newest(context):
    fleet = context.fleet
    for proxy in fleet.links(fleet.entries, fleet.controls):
        proxy.delay(100)
    fleet.start(*fleet.entries)
    for name in fleet.entries:
        port = fleet.board.proxy_by_link["caller", name].target_port
        processes.wait_for(
            lambda port=port: (
                processes.call(port, "GET", "/health/ready").status == 200
            ),
            f"{name} to be ready",
        )
        assert fleet.revision_in(name) >= max(fleet.accepted), name


@then("the change is made once and in force everywhere for good")
def step_judged(context):
    fleet = context.fleet
    through = fleet.running()
    if context.step in ("propose", "commit"):
        through = [name for name in through if name != context.victim]
    answer = fleet.decide(context.body, *through)
    assert answer.status == 200, answer
    context.replace_lost_instance()
    fleet.heal()
    for name in fleet.controls:
        again = fleet.decide(context.body, name)
        found = (again.json["config_revision"], again.json["resent"])
        assert found == (answer.json["config_revision"], True), again
    if context.call is not None:
        # the operator whose instance was killed saw no answer
        with contextlib.suppress(OSError, http.client.HTTPException):
            context.call.result()
    fleet.wait_in_force()
    status = fleet.get(
        fleet.leader(),
        f"/v1/status?wait_revision={max(fleet.accepted)}&timeout_ms=3000",
    )
    assert status["in_force"], status
    fleet.judge()
