"""Steps for statuses that are fetched by their changes."""

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
        strategies.just("add"),
        strategies.sampled_from(NAMES),
        strategies.integers(0, 3),
    ),
    strategies.tuples(strategies.just("lose"), strategies.sampled_from(NAMES)),
    strategies.tuples(strategies.just("restart")),
    strategies.tuples(strategies.just("ask")),
    strategies.tuples(strategies.just("hear"), strategies.integers(0, 3)),
)


class Instance:
    """A control instance that has a status only."""

    def __init__(self):
        self.status_by_name = {}
        self.restarts = 0
        self.restart()

    def restart(self):
        self.restarts += 1
        self.changes = status_changes.StatusChangeTracker(
            f"epoch-{self.restarts}"
        )

    def status(self):
        return status_changes.merged_status(self.status_by_name.values())

    def add(self, name, number=0, weights="v1", load=None, revision=0):
        """Adds a process to the status, in a state given by a number."""
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
        self.status_by_name[name] = status_changes.ProcessStatus(
            (peer,), reports
        )

    def answer(self, remote):
        return self.changes.answer(remote.fetch(), self.status())


def stable_statuses(status):
    found = status_changes.status_by_name(status)
    return {
        name: process.without_volatile_fields()
        for name, process in found.items()
    }


@hypothesis.settings(
    derandomize=True, database=None, max_examples=300, deadline=None
)
@hypothesis.given(strategies.lists(ACTIONS, max_size=40))
def check_changes(actions):
    instance = Instance()
    remote = status_changes.RemoteStatus()
    replies = []  # in flight; they may be lost or arrive out of order
    for kind, *args in actions:
        if kind == "add":
            instance.add(*args)
        elif kind == "lose":
            instance.status_by_name.pop(args[0], None)
        elif kind == "restart":
            instance.restart()
        elif kind == "ask":
            replies.append(instance.answer(remote))
        elif replies:
            remote.update(replies.pop(args[0] % len(replies)), 0.0)
    # the last reply may have come from the previous incarnation
    for _ in range(2):
        remote.update(instance.answer(remote), 0.0)
    assert stable_statuses(remote.status(0.0)) == stable_statuses(
        instance.status()
    )


@then(
    "whatever joins, leaves, reports or restarts, and whichever replies are"
    " lost or late, both statuses are equal"
)
def step_check_changes(context):
    check_changes()


@given(
    "two agents of one target, of which the replaced one sent the last message"
)
def step_replaced(context):
    replaced, registered = Instance(), Instance()
    replaced.add("engine-1", number=7, weights="old")
    registered.add("engine-1", number=2, weights="new")
    (process,) = registered.status_by_name.values()
    long_ago = msgspec.structs.replace(process.peers[0], last_heard_ms=6e5)
    registered.status_by_name["engine-1"] = status_changes.ProcessStatus(
        (long_ago,), process.reports
    )
    target = types.SimpleNamespace(agent_incarnation="i2")
    context.snapshots = [
        fleet_status.merge_statuses(
            [one.status() for one in order], (), {"engine-1": target}
        )
        for order in ((replaced, registered), (registered, replaced))
    ]


@then(
    "the report of the registered agent counts, and both incarnations are"
    " listed"
)
def step_registered(context):
    for snapshot in context.snapshots:
        assert snapshot.report_by_target["engine-1"].weights_version == "new"
        assert snapshot.incarnations_by_name["engine-1"] == {"i2", "i7"}


@given("an instance with {entries:d} entries and {agents:d} agents")
def step_instance(context, entries, agents):
    context.instance = Instance()
    context.remote = status_changes.RemoteStatus()
    context.agents = [f"engine-{number}" for number in range(agents)]
    for name in context.agents:
        context.instance.add(name)
    for number in range(entries):
        context.instance.add(f"entry-{number}")


@when("its changes are fetched")
def step_fetch(context):
    context.answer = context.instance.answer(context.remote)
    context.remote.update(context.answer, 0.0)


@when("all of them have another view revision and load")
def step_volatile(context):
    for name in list(context.instance.status_by_name):
        load = messages.LoadReport(queued=3)
        context.instance.add(name, load=load, revision=9)


@when("{count:d} agents report other weights")
def step_report(context, count):
    for name in context.agents[:count]:
        context.instance.add(name, number=1, weights="v2")


@when("the agents report the same under a higher number")
def step_again(context):
    for name in context.agents:
        context.instance.add(name, number=1)


@then("the reply lists {count:d} processes")
@then("the reply lists {count:d} processes in at most {max_bytes:d} bytes")
def step_listed(context, count, max_bytes=None):
    listed = {peer.name for peer in context.answer.peers}
    assert len(listed) == count, listed
    size = len(msgspec.msgpack.encode(context.answer))
    assert max_bytes is None or size <= max_bytes, size
