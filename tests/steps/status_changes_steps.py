"""Steps for statuses of which only the changes are told."""

from __future__ import annotations

import types

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import msgspec

from lycheering.control import fleet_status
from lycheering.control import status_changes
from lycheering.wire import messages

NAMES = ("engine-1", "engine-2", "entry-1", "entry-2")
ACTIONS = strategies.one_of(
    strategies.tuples(
        strategies.just("see"),
        strategies.sampled_from(NAMES),
        strategies.integers(0, 3),
    ),
    strategies.tuples(strategies.just("lose"), strategies.sampled_from(NAMES)),
    strategies.tuples(strategies.just("restart")),
    strategies.tuples(strategies.just("ask")),
    strategies.tuples(strategies.just("hear"), strategies.integers(0, 3)),
)


class Instance:
    """A control instance as far as its status goes."""

    def __init__(self):
        self.seen = {}
        self.restarts = 0
        self.restart()

    def restart(self):
        self.restarts += 1
        self.changes = status_changes.StatusChangeTracker(
            f"epoch-{self.restarts}"
        )

    def status(self):
        return status_changes.merged_status(self.seen.values())

    def see(self, name, number=0, weights="v1", load=None, revision=0):
        """Has a process seen, with the state that a number stands for."""
        is_agent = not name.startswith("entry-")
        role = messages.Role.AGENT if is_agent else messages.Role.ENTRY
        incarnation = f"i{number}"
        peer = messages.PeerStatus(
            name, role, incarnation, "fd1", revision, 7.0
        )
        report = messages.TargetReport(
            name,
            incarnation,
            "e1",
            weights,
            (),
            "mixed",
            load or messages.LoadReport(),
            number=number,
        )
        reports = (report,) if is_agent else ()
        self.seen[name] = status_changes.ProcessStatus((peer,), reports)

    def answer(self, followed):
        return self.changes.answer(followed.fetch(), self.status())


def lasting(status):
    found = status_changes.status_by_name(status)
    return {name: sighting.without_volatile_fields() for name, sighting in found.items()}


@hypothesis.settings(
    derandomize=True, database=None, max_examples=300, deadline=None
)
@hypothesis.given(strategies.lists(ACTIONS, max_size=40))
def follow_all(actions):
    instance = Instance()
    followed = status_changes.RemoteStatus()
    answers = []  # on their way; some are lost, some overtake others
    for kind, *args in actions:
        if kind == "see":
            instance.see(*args)
        elif kind == "lose":
            instance.seen.pop(args[0], None)
        elif kind == "restart":
            instance.restart()
        elif kind == "ask":
            answers.append(instance.answer(followed))
        elif answers:
            followed.update(answers.pop(args[0] % len(answers)), 0.0)
    # an answer of the incarnation before may have come last
    for _ in range(2):
        followed.update(instance.answer(followed), 0.0)
    assert lasting(followed.status(0.0)) == lasting(instance.status())


@then(
    "whatever joins, leaves, reports or restarts, and whichever answers are"
    " lost or late, both see the same"
)
def step_follow_all(context):
    follow_all()


@given("two agents of one target, of which the one replaced was heard later")
def step_replaced(context):
    replaced, registered = Instance(), Instance()
    replaced.see("engine-1", number=7, weights="old")
    registered.see("engine-1", number=2, weights="new")
    (sighting,) = registered.seen.values()
    long_ago = msgspec.structs.replace(sighting.peers[0], last_heard_ms=6e5)
    registered.seen["engine-1"] = status_changes.ProcessStatus(
        (long_ago,), sighting.reports
    )
    target = types.SimpleNamespace(agent_incarnation="i2")
    context.snapshots = [
        fleet_status.merge_statuses(
            [one.status() for one in order], (), {"engine-1": target}
        )
        for order in ((replaced, registered), (registered, replaced))
    ]


@then("the report of the one registered counts, and both are heard")
def step_registered(context):
    for snapshot in context.snapshots:
        assert snapshot.report_by_target["engine-1"].weights_version == "new"
        assert snapshot.incarnations_by_name["engine-1"] == {"i2", "i7"}


@given("an instance with {entries:d} entries and {agents:d} agents")
def step_instance(context, entries, agents):
    context.instance = Instance()
    context.followed = status_changes.RemoteStatus()
    context.agents = [f"engine-{number}" for number in range(agents)]
    for name in context.agents:
        context.instance.see(name)
    for number in range(entries):
        context.instance.see(f"entry-{number}")


@when("its status is followed")
def step_follow(context):
    context.answer = context.instance.answer(context.followed)
    context.followed.update(context.answer, 0.0)


@when("all of them have another view revision and load")
def step_heard(context):
    for name in list(context.instance.seen):
        load = messages.LoadReport(queued=3)
        context.instance.see(name, load=load, revision=9)


@when("{count:d} agents report other weights")
def step_report(context, count):
    for name in context.agents[:count]:
        context.instance.see(name, number=1, weights="v2")


@when("the agents report the same under a higher number")
def step_again(context):
    for name in context.agents:
        context.instance.see(name, number=1)


@then("the answer tells of {count:d} processes")
@then("the answer tells of {count:d} processes in at most {most:d} bytes")
def step_told(context, count, most=None):
    told = {peer.name for peer in context.answer.peers}
    assert len(told) == count, told
    size = len(msgspec.msgpack.encode(context.answer))
    assert most is None or size <= most, size
