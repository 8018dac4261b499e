"""Steps for calls of entries and agents to control instances."""

from __future__ import annotations

import asyncio
import collections

from behave import given
from behave import then
from behave import when
import msgspec

from lycheering.fleet import view
from lycheering.wire import errors
from lycheering.wire import messages
from tests.support import control_peers
from tests.support import processes

REGISTER_PAUSE_S = 0.1
LEADERLESS = (
    messages.Reason.NO_QUORUM,
    messages.Reason.NOT_LEADER,
    messages.Reason.UNKNOWN_OUTCOME,
)
AGENT_OUTCOME = messages.OrderOutcome(200, "text/plain", b"agent's", "r1")


def join_agent(context, name):
    if not hasattr(context, "peers"):
        context.peers = context.stack.enter_context(
            control_peers.ControlPeers()
        )
    agent = context.peers.join(
        context.group, name, messages.Role.AGENT, listens=True
    )
    context.agent = agent
    agent.call(messages.Register(agent.target()))
    return agent


def inquiries(agent):
    kind = messages.OrderInquiry
    return [m for m in agent.handler.received if isinstance(m, kind)]


@given('a scripted agent "{name}"')
def step_agent(context, name):
    join_agent(context, name)


@given('an agent "{name}" that answers order inquiries with "{result}"')
def step_agent_answers(context, name, result):
    agent = join_agent(context, name)
    found = messages.InquiryResult(result)
    outcome = AGENT_OUTCOME if result == "done" else None
    agent.handler.reply_by_kind[messages.OrderInquiry] = (
        messages.OrderInquiryReply(found, outcome)
    )


@given("{option} is set to false")
def step_set_false(context, option):
    answer = context.group.set_default("c1", option, False)
    assert answer.status == 200, answer


def claim(context, key, target, digest):
    asked = messages.OrderClaim(
        "alpha",
        key,
        digest,
        "r1",
        target,
        context.agent.incarnation,
        86_400_000,
    )
    context.claimed = context.entry.call(asked)


@when('the entry claims order "{key}" for "{target}"')
def step_claim(context, key, target):
    claim(context, key, target, "d1")
    if context.claimed.granted:
        context.order = context.claimed


@when('the entry claims order "{key}" for "{target}" with another body')
def step_claim_other(context, key, target):
    claim(context, key, target, "d2")


@when('the entry finishes order "{key}" with "{text}"')
def step_finish(context, key, text):
    outcome = messages.OrderOutcome(200, "text/plain", text.encode(), "r1")
    asked = messages.OrderFinish(context.order.order_id, outcome)
    assert isinstance(context.entry.call(asked), messages.Done)


@when("the killed instance is started again")
def step_start_killed(context):
    context.group.start(context.old_leader)
    context.group.wait_ready(context.old_leader)


@when('another entry looks order "{key}" up until it is {state}')
def step_look_up(context, key, state):
    other = context.peers.join(context.group, "entry-2", messages.Role.ENTRY)

    def found():
        reply = other.call(messages.OrderLookup("alpha", key), 4_000)
        return reply if reply.state == state else None

    context.found = processes.wait_for(found, f"{key} to be {state}")


@then("the claim is granted")
def step_granted(context):
    assert context.claimed.granted, context.claimed
    assert context.claimed.fence > 0


@then('the claim is not granted and returns the answer "{text}"')
def step_answer(context, text):
    assert not context.claimed.granted
    assert context.claimed.outcome.body == text.encode()


@then("the claim is not granted, since the key was used with another body")
def step_key_reused(context):
    assert not context.claimed.granted
    assert not context.claimed.same_digest
    assert context.claimed.outcome is None


@then("the claim is not granted and the order is unknown")
def step_is_unknown(context):
    assert not context.claimed.granted
    assert context.claimed.state == messages.OrderState.UNKNOWN


@then("the agent was asked about the first claim")
def step_asked(context):
    asked = [inquiry.order_id for inquiry in inquiries(context.agent)]
    assert asked == [context.found.order_id]
    assert context.order.order_id not in asked


@then("the agent was not asked about the order")
def step_not_asked(context):
    assert not inquiries(context.agent)


@then("the order that was looked up has the agent's answer")
def step_found_answer(context):
    assert context.found.outcome == AGENT_OUTCOME


@when("the agent ends without notice")
def step_end_agent(context):
    context.peers.run(context.agent.close())
    context.peers.peers.remove(context.agent)


@when("the agent is replaced by another incarnation")
def step_replace_agent(context):
    step_end_agent(context)
    join_agent(context, context.agent.name)


@then("operators find it in the list of unknown orders")
def step_listed(context):
    path = "/v1/orders?state=unknown"
    rows = context.group.call("c2", "GET", path).json["orders"]
    assert [row["order_id"] for row in rows] == [context.order.order_id]


@when("an operator resolves it over HTTP as not run")
def step_resolve(context):
    path = f"/v1/orders/{context.order.order_id}/resolve"
    body = {
        "operator": "ada",
        "reason": "the bank says so",
        "resolution": "not_run",
    }
    answer = context.group.call("c3", "POST", path, body)
    assert answer.status == 200, answer
    assert answer.json["order"]["state"] == "released"


@when("{count:d} agents register at once")
def step_many_register(context, count):
    base = join_agent(context, "t0").target()
    targets = [
        msgspec.structs.replace(base, name=f"t{number}")
        for number in range(count)
    ]

    async def register(target):
        message = messages.Register(target)
        while True:
            reply = await context.agent.call_leader(message, 10_000)
            is_unknown = isinstance(reply, messages.Failure) and (
                reply.reason == messages.Reason.UNKNOWN_OUTCOME
            )
            if not is_unknown:
                return reply
            # agents register again while the outcome is unknown
            await asyncio.sleep(REGISTER_PAUSE_S)

    async def register_all():
        return await asyncio.gather(*(register(t) for t in targets))

    replies = context.peers.run(register_all())
    assert all(isinstance(r, messages.Registered) for r in replies)


@then("the entry sees {count:d} live targets")
def step_sees_targets(context, count):
    def seen():
        return len(context.entry.view.fleet.target_by_name) == count

    processes.wait_for(seen, f"{count} targets")


@then("the leaders proposed them in at most {count:d} batches")
def step_batches(context, count):
    totals = collections.Counter()
    for name in context.group.names:
        answer = context.group.call(name, "GET", "/v1/counters")
        totals.update(answer.json["counters"])
    assert totals["control.registrations"] >= 940, totals
    assert totals["control.registration_batches"] <= count, totals


@when("the agent deregisters")
def step_deregister(context):
    agent = context.agent
    message = messages.Deregister(agent.name, agent.incarnation)
    assert isinstance(agent.call(message), messages.Done)


def forwarded_counts(context):
    """Returns the registrations that each instance forwarded."""
    name = "control.registrations_handed_on"
    count_by_name = {}
    for instance in context.group.names:
        answer = context.group.call(instance, "GET", "/v1/counters")
        count_by_name[instance] = answer.json["counters"].get(name, 0)
    return count_by_name


def call_until_accepted(context, connection, message):
    """Calls one instance as agents do: again while it has no leader."""

    def accepted():
        try:
            return context.peers.run(connection.call(message))
        except errors.CallFailedError as error:
            assert error.failure.reason in LEADERLESS, error
        except (errors.PeerUnreachableError, errors.CallTimeoutError):
            pass
        return None

    return processes.wait_for(accepted, f"{connection.address.name} to accept")


@when("the agent registers and deregisters at each control instance")
def step_each_instance(context):
    agent = context.agent
    leaves = messages.Deregister(agent.name, agent.incarnation)

    def called_under_one_leader():
        leader = context.group.leader()
        before = forwarded_counts(context)
        context.replies = [
            call_until_accepted(context, connection, message)
            for message in (messages.Register(agent.target()), leaves)
            for connection in agent.connection_by_name.values()
        ]
        after = forwarded_counts(context)
        if context.group.leader() != leader:
            return False
        context.followers = set(context.group.names) - {leader}
        context.forwarders = {
            name for name, count in after.items() if count > before[name]
        }
        return True

    processes.wait_for(called_under_one_leader, "calls under one leader")


@then("each instance accepted both calls, and the followers forwarded them")
def step_forwarded(context):
    count = len(context.agent.connection_by_name)
    kinds = [type(reply) for reply in context.replies]
    taken = [messages.Registered] * count + [messages.Done] * count
    assert kinds == taken, kinds
    assert context.forwarders == context.followers, context.forwarders


@when("the agent registers again")
def step_register_again(context):
    context.agent.call(messages.Register(context.agent.target()))


@when("another incarnation of the agent registers while the first one runs")
def step_second_incarnation(context):
    context.first = context.agent
    join_agent(context, context.agent.name)


@then('the first incarnation is refused as "{reason}"')
def step_first_refused(context, reason):
    first = context.first
    answer = first.call(messages.Register(first.target()))
    assert isinstance(answer, messages.Failure), answer
    assert answer.reason == reason, answer


@when("the agent goes silent")
def step_agent_silent(context):
    context.peers.run(context.agent.close())
    context.peers.peers.remove(context.agent)


@then('the entry sees target "{name}" as {state}')
def step_sees_state(context, name, state):
    def seen():
        target = context.entry.view.fleet.target_by_name.get(name)
        is_new = target and target.agent_incarnation == (
            context.agent.incarnation
        )
        return is_new and target.state == state

    processes.wait_for(seen, f"{name} to be {state}")


def change_drain(context, name, action):
    leader = context.group.leader()
    revision = context.group.defaults(leader)["config_revision"]
    body = context.group.new_change(expected_revision=revision)
    path = f"/v1/targets/{name}/{action}"
    answer = context.group.call(leader, "POST", path, body)
    assert answer.status == 200, answer
    again = context.group.call(leader, "POST", path, body)
    assert again.json == {**answer.json, "resent": True}, again


@when('the operator drains "{name}"')
def step_drain(context, name):
    change_drain(context, name, "drain")


@when('the operator undrains "{name}"')
def step_undrain(context, name):
    change_drain(context, name, "undrain")


def wait_drained(context, name, wanted):
    def seen():
        fleet = context.entry.view.fleet
        target = fleet.target_by_name[name]
        subject = view.target_subject(target)
        return fleet.boolean_option("target.drained", subject) == wanted

    processes.wait_for(seen, f"drained={wanted}")


@then('the entry sees "{name}" as drained')
def step_sees_drained(context, name):
    wait_drained(context, name, True)


@then('the entry sees "{name}" as not drained')
def step_sees_undrained(context, name):
    wait_drained(context, name, False)
