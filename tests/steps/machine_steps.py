"""Steps for the replicated state machine."""

from __future__ import annotations

import json

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.control import commands
from lycheering.control import history
from lycheering.control import machine
from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.wire import messages

REASON = "the test asks"


def apply(state, command):
    return commands.decode_reply(state.apply(1, commands.encode(command)))


def send(context, change_id, expected, edit, operator="ada", reason=REASON):
    command = commands.ChangeConfig(
        change_id, expected, operator, reason, 1, edit
    )
    outcome = apply(context.machine, command)
    context.outcomes.append(outcome)
    return outcome


def last_of(context, change_id):
    return next(
        outcome
        for outcome in reversed(context.outcomes)
        if outcome.change_id == change_id
    )


@given("a control state machine")
def step_machine(context):
    context.machine = machine.ControlMachine()
    context.outcomes = []


@when(
    'operator "{operator}" sends change "{change_id}" setting {option} to'
    " {value}, expecting revision {expected:d}"
)
def step_send(context, operator, change_id, option, value, expected):
    edit = commands.SetDefault(option, json.loads(value))
    send(context, change_id, expected, edit, operator)


@when(
    'a change with no reason, no operator and unknown option "{option}" is sent'
)
def step_send_bad(context, option):
    send(context, "a", 0, commands.SetDefault(option, 1), "", " ")


@when('an exception of {option} for target "{name}" is sent')
def step_send_scope(context, option, name):
    scope = records.Scope(options.ScopeKind.TARGET, name)
    send(context, "a", 0, commands.AddException(scope, option, 2.0))


@when(
    'exceptions of {option} for team "{name}" with {first:f} and {second:f}'
    " are sent"
)
def step_send_two(context, option, name, first, second):
    scope = records.Scope(options.ScopeKind.TEAM, name)
    send(context, "a", 0, commands.AddException(scope, option, first))
    send(context, "b", 1, commands.AddException(scope, option, second))


@when('teams "{first}" and "{second}" are put with the same key')
def step_put_teams(context, first, second):
    digests = (view.key_digest("the same key"),)
    send(context, "a", 0, commands.PutTeam(first, digests))
    send(context, "b", 1, commands.PutTeam(second, digests))


@when("the state machine is restored from its snapshot")
def step_restore(context):
    data = context.machine.snapshot()
    context.machine = machine.ControlMachine()
    context.machine.restore(data)


@when("bytes that are not a command are applied")
def step_apply_bytes(context):
    context.before = context.machine.snapshot()
    context.replies = [
        commands.decode_reply(context.machine.apply(1, data))
        for data in (b"", b"\x00\xff", b"\x92\x63\x01", b"\x91" * 5_000)
    ]


@when("{count:d} changes are sent to a history that keeps {limit:d} outcomes")
def step_many(context, count, limit):
    context.machine.history = history.History(max_outcomes=limit)
    for number in range(count):
        edit = commands.SetDefault("limits.max_running", number + 1)
        send(context, f"c{number}", number, edit)


@then('change "{change_id}" was accepted as config revision {revision:d}')
def step_accepted(context, change_id, revision):
    outcome = last_of(context, change_id)
    assert outcome.accepted, outcome
    assert outcome.config_revision == revision, outcome


@then('change "{change_id}" was refused')
def step_refused(context, change_id):
    assert not last_of(context, change_id).accepted


@then(
    'change "{change_id}" conflicts with revision {revision:d} of'
    ' "{operator}", change "{winner}"'
)
def step_conflict(context, change_id, revision, operator, winner):
    outcome = last_of(context, change_id)
    assert not outcome.accepted
    assert outcome.winner == commands.Winner(revision, operator, winner)


@then("both last outcomes are marked as resent")
def step_resent(context):
    assert all(outcome.resent for outcome in context.outcomes[-2:])
    assert not any(outcome.resent for outcome in context.outcomes[:-2])


@then("{option} is {value:d} in the state machine")
def step_value(context, option, value):
    assert context.machine.fleet.value(option) == value


@then("the config revision of the state machine is {revision:d}")
def step_revision(context, revision):
    assert context.machine.fleet.config_revision == revision


@then('the last outcome has a finding on "{place}"')
@then('the last outcome has findings on "{place}"')
def step_findings(context, place):
    outcome = context.outcomes[-1]
    found = [finding.partition(":")[0] for finding in outcome.findings]
    assert not outcome.accepted
    assert found == place.split(","), outcome


@then("the state machine holds one exception, with value {value:f}")
def step_one_exception(context, value):
    found = list(context.machine.fleet.exception_by_id.values())
    assert [record.value for record in found] == [value], found


@then("they are refused and the snapshot is as before")
def step_unchanged(context):
    assert all(isinstance(r, commands.Refused) for r in context.replies)
    assert context.machine.snapshot() == context.before


@then("the history holds {outcomes:d} outcomes and {entries:d} entries")
def step_bounded(context, outcomes, entries):
    found = context.machine.history
    assert len(found.outcome_by_change_id) == outcomes
    assert len(found.entries) == entries


SMALL = strategies.integers(0, 3)
TIMES = strategies.integers(0, 5_000)
NAMES = strategies.sampled_from(["t1", "t2", "t3"])
INCARNATIONS = strategies.sampled_from(["i1", "i2"])
ORDER_IDS = strategies.sampled_from(["o1", "o2", "o3", "o4", "o9"])
TEXTS = strategies.sampled_from(["", " ", "a", "b", "c", "d"])
SCOPES = strategies.builds(
    records.Scope, strategies.sampled_from(options.ScopeKind), TEXTS
)
VALUES = strategies.one_of(
    SMALL, strategies.booleans(), strategies.floats(), TEXTS
)
OPTIONS = strategies.sampled_from([*list(options.OPTION_BY_NAME)[:6], "nope"])
TARGETS = strategies.builds(
    records.Target,
    NAMES,
    strategies.sampled_from(records.TargetKind),
    NAMES,
    strategies.just("127.0.0.1"),
    SMALL,
    INCARNATIONS,
    strategies.just("fd1"),
)
OUTCOMES = strategies.builds(
    messages.OrderOutcome,
    SMALL,
    strategies.just("text/plain"),
    strategies.binary(max_size=20),
    TEXTS,
)
EDITS = strategies.one_of(
    strategies.builds(commands.SetDefault, OPTIONS, VALUES),
    strategies.builds(commands.AddException, SCOPES, OPTIONS, VALUES),
    strategies.builds(
        commands.RemoveException, strategies.sampled_from(["x1", "x2", "x3"])
    ),
    strategies.builds(
        commands.PutTeam,
        TEXTS,
        strategies.lists(TEXTS.map(view.key_digest), max_size=2).map(tuple),
    ),
    strategies.builds(commands.RemoveTeam, TEXTS),
)
CLAIMS = strategies.builds(
    messages.OrderClaim,
    TEXTS,
    TEXTS,
    TEXTS,
    TEXTS,
    NAMES,
    INCARNATIONS,
    strategies.integers(0, 3_000),
)
COMMANDS = strategies.one_of(
    strategies.builds(
        commands.ChangeConfig, TEXTS, SMALL, TEXTS, TEXTS, TIMES, EDITS
    ),
    strategies.builds(
        commands.RegisterTargets,
        strategies.lists(TARGETS, max_size=3).map(tuple),
        TIMES,
    ),
    strategies.builds(
        commands.MarkTarget,
        NAMES,
        INCARNATIONS,
        strategies.sampled_from(records.TargetState),
        strategies.booleans(),
    ),
    strategies.just(commands.GrantFence()),
    strategies.builds(commands.ClaimOrder, CLAIMS, TIMES),
    strategies.builds(commands.FinishOrder, ORDER_IDS, OUTCOMES, TIMES),
    strategies.builds(commands.ReleaseOrder, ORDER_IDS, TEXTS, TIMES),
    strategies.builds(commands.MarkOrderUnknown, ORDER_IDS, TEXTS, TIMES),
    strategies.builds(
        commands.ResolveOrder,
        ORDER_IDS,
        strategies.booleans(),
        TEXTS,
        TEXTS,
        TIMES,
    ),
    strategies.builds(commands.ExpireOrders, TIMES),
)


@then(
    "any commands lead two machines, one of them restored meanwhile, to equal"
    " snapshots"
)
def step_deterministic(context):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=200, database=None
    )
    @hypothesis.given(
        strategies.lists(COMMANDS, max_size=40), strategies.integers(0, 40)
    )
    def check(applied, restore_at):
        first = machine.ControlMachine()
        second = machine.ControlMachine()
        for number, command in enumerate(applied):
            if number == restore_at:
                data = second.snapshot()
                second = machine.ControlMachine()
                second.restore(data)
            encoded = commands.encode(command)
            assert first.apply(number, encoded) == second.apply(number, encoded)
        assert first.snapshot() == second.snapshot()

    check()
