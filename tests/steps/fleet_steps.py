"""Steps for the fleet view and its transfer to receivers."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from lycheering.fleet import changes
from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.fleet import transfers
from lycheering.fleet import view
from lycheering.fleet import view_holder
from lycheering.fleet import view_parts
from lycheering.wire import errors
from lycheering.wire import messages

OPTION = "limits.max_running"
SEED = 11
TIMEOUT_S = 20
SUBJECT = view.Subject("t", "a", "s", "m", "d")
VALUE_BY_KIND = {
    kind.value: 10 + place for place, kind in enumerate(options.ScopeKind)
} | {"default": options.OPTION_BY_NAME[OPTION].default}
KEY = "secret"
MANY_TEAMS = 3_000
RECEIVER_COUNT = 100


def exception(kind, name, value):
    scope = records.Scope(options.ScopeKind(kind), name)
    record = records.ExceptionRecord(
        f"{kind}-{name}", scope, OPTION, value, "why", "ada", 1
    )
    return changes.ExceptionAdded(record)


def many_changes(fleet, count):
    return [
        fleet.add_change(
            changes.DefaultSet(OPTION, n + 1), by_operator=n % 2 == 0
        )
        for n in range(count)
    ]


@given('a fleet view with exceptions of "{scopes}"')
def step_exceptions(context, scopes):
    context.fleet = view.FleetView()
    for kind in scopes.split(","):
        if kind != "none":
            name = getattr(SUBJECT, kind)
            change = exception(kind, name, VALUE_BY_KIND[kind])
            context.fleet.add_change(change, by_operator=True)


@given("a fleet view with 2 shared levels of prompts")
def step_shared_levels(context):
    context.fleet = view.FleetView()
    assert context.fleet.integer(view.SHARED_LEVELS) == 2


def sharing_change(text):
    """Returns the change that a text such as `team a=1` stands for."""
    name, _, value = text.partition("=")
    if name == "other":
        return changes.DefaultSet(OPTION, int(value))
    if name == "default":
        return changes.DefaultSet(view.SHARED_LEVELS, int(value))
    kind, _, subject = name.removeprefix("remove ").partition(" ")
    exception_id = f"{kind}-{subject}"
    if not value:
        return changes.ExceptionRemoved(exception_id)
    scope = records.Scope(options.ScopeKind(kind), subject)
    return changes.ExceptionAdded(
        records.ExceptionRecord(
            exception_id,
            scope,
            view.SHARED_LEVELS,
            int(value),
            "why",
            "ada",
            1,
        )
    )


@when('its shared levels are changed by "{texts}"')
def step_change_sharing(context, texts):
    found = [context.fleet.shared_generation]
    for text in texts.split(", "):
        context.fleet.add_change(sharing_change(text), by_operator=True)
        found.append(context.fleet.shared_generation)
    assert found == sorted(found), found
    context.generation_count = len(set(found)) - 1


@then("{count:d} of the changes began a sharing generation")
def step_generation_count(context, count):
    assert context.generation_count == count, context.generation_count


@then("a peer of the view has the same sharing generation")
def step_peer_generation(context):
    generation = context.fleet.shared_generation
    by_changes = view.FleetView()
    by_changes.apply_changes(context.fleet.changes_since(0))
    assert by_changes.shared_generation == generation
    whole = view.FleetView()
    whole.restore(context.fleet.snapshot(with_teams=False))
    assert whole.shared_generation == generation


@given("a fleet view with an exception of target other")
def step_other(context):
    context.fleet = view.FleetView()
    change = exception("target", "other", VALUE_BY_KIND["target"])
    context.fleet.add_change(change, by_operator=True)


@then(
    "the fleet value for target t, team a, service s, model m in d"
    ' is of "{winner}"'
)
def step_value(context, winner):
    assert context.fleet.value(OPTION, SUBJECT) == VALUE_BY_KIND[winner]


@given("two fleet views that get the same changes")
def step_two(context):
    context.fleet, context.other = view.FleetView(), view.FleetView()
    context.numbered = many_changes(context.fleet, 20)
    context.other.apply_changes(context.numbered)
    assert context.other.snapshot() == context.fleet.snapshot()


@when("one fleet view receives them again in random batches")
def step_pieces(context):
    source = random.Random(SEED)
    for _ in range(50):
        start = source.randrange(len(context.numbered))
        length = source.randint(1, len(context.numbered))
        applied = context.other.apply_changes(
            context.numbered[start : start + length]
        )
        assert applied == 0


@then("both fleet views are equal")
def step_equal(context):
    assert context.other.snapshot() == context.fleet.snapshot()


@when("one fleet view receives a change that is two revisions ahead")
def step_gap(context):
    context.before = context.other.snapshot()
    ahead = many_changes(context.fleet, 2)[1:]
    try:
        context.other.apply_changes(ahead)
        context.gap = None
    except view.ViewGapError as error:
        context.gap = error


@then("it reports a gap and stays unchanged")
def step_gap_reported(context):
    assert context.gap is not None
    assert context.other.snapshot() == context.before


@when("one fleet view changes again and receives a snapshot of the other")
def step_whole(context):
    old = context.other.snapshot()
    many_changes(context.fleet, 1)
    context.before = context.fleet.snapshot()
    assert not context.fleet.restore(old)


@then("it keeps its newer revision and values")
def step_keeps(context):
    assert context.fleet.snapshot() == context.before


@given("a fleet view with an exception and a team with a key")
def step_team(context):
    context.fleet = view.FleetView()
    team = records.Team("a", (view.key_digest(KEY),))
    context.fleet.add_change(exception("team", "a", 99), by_operator=True)
    context.fleet.add_change(changes.TeamPut(team), by_operator=True)
    assert context.fleet.value(OPTION, SUBJECT) == 99
    assert context.fleet.find_team_by_key(KEY) == team


@when("the exception and the team are removed from the fleet view")
def step_remove(context):
    context.fleet.add_change(
        changes.ExceptionRemoved("team-a"), by_operator=True
    )
    context.fleet.add_change(changes.TeamRemoved("a"), by_operator=True)


@then("the fleet value is the default and the key identifies no team")
def step_gone(context):
    assert context.fleet.value(OPTION, SUBJECT) == VALUE_BY_KIND["default"]
    assert context.fleet.find_team_by_key(KEY) is None


@when("the team gets another key in the fleet view")
def step_other_key(context):
    team = records.Team("a", (view.key_digest("other"),))
    context.fleet.add_change(changes.TeamPut(team), by_operator=True)


@then("only the other key identifies the team")
def step_only_other(context):
    assert context.fleet.find_team_by_key(KEY) is None
    assert context.fleet.find_team_by_key("other").name == "a"


@given("a fleet view holder")
def step_holder(context):
    context.holder = view_holder.ViewHolder()
    context.calls = []
    context.holder.listen(lambda: context.calls.append(1))


@when("a task waits for fleet revision 2 and two changes arrive")
def step_wait(context):
    numbered = many_changes(view.FleetView(), 2)

    async def wait():
        async with asyncio.timeout(TIMEOUT_S):
            waiter = asyncio.create_task(context.holder.wait_for(2))
            await asyncio.sleep(0)
            for change in numbered:
                assert not waiter.done()
                update = messages.ViewUpdate(numbered=(change,))
                assert context.holder.take(update)
            await waiter
        context.waited = True

    asyncio.run(wait())


@then("the wait for the fleet revision ends")
def step_wait_ends(context):
    assert context.waited


@then("the fleet listeners were called twice")
def step_listeners(context):
    assert context.calls == [1, 1]


# transfers of whole views


def add_teams(fleet, count, prefix="team"):
    for number in range(count):
        digest = view.key_digest(f"{prefix}-{number}")
        team = records.Team(f"{prefix}-{number}", (digest,))
        fleet.add_change(changes.TeamPut(team), by_operator=True)


def fetch(source, receiver, now_ms=0.0):
    request = receiver.next_fetch(source, now_ms, whole=False)
    return source.answer(request, receiver, now_ms)


def fetch_all(source, receiver):
    asked = 1
    while receiver.take_part(fetch(source, receiver)):
        asked += 1
    return asked


def in_loop(work):
    async def call():
        return work()

    return asyncio.run(call())


@given("a fleet view of many parts and two sources of it")
def step_sources(context):
    context.sources = [view_holder.ViewHolder(), view_holder.ViewHolder()]
    for source in context.sources:
        add_teams(source.fleet, MANY_TEAMS)
    context.receiver = view_holder.ViewHolder()


def fetch_some(context, count):
    for _ in range(count):
        part = fetch(context.sources[0], context.receiver)
        assert context.receiver.take_part(part)
    context.count = part.count
    context.receiver.release(context.sources[0])


@when(
    "a fleet receiver fetches 2 parts from one source and the rest from another"
)
def step_resume(context):
    fetch_some(context, 2)
    context.asked = 2 + in_loop(
        lambda: fetch_all(context.sources[1], context.receiver)
    )


@then("the fleet receiver has the view and received each part once")
def step_resumed(context):
    assert context.asked == context.count > 2
    expected = context.sources[1].fleet.snapshot()
    assert context.receiver.fleet.snapshot() == expected


@when("a fleet receiver fetches 2 parts and the view is replaced twice")
def step_replaced(context):
    fetch_some(context, 2)
    source = context.sources[0]
    for prefix in ("more", "most"):
        add_teams(source.fleet, view_parts.MAX_LATER_CHANGES + 1, prefix)
        fetch(source, view_holder.ViewHolder())
    in_loop(lambda: fetch_all(source, context.receiver))


@then("the fleet receiver has the newer view in the end")
def step_newer(context):
    expected = context.sources[0].fleet.snapshot()
    assert context.receiver.fleet.snapshot() == expected


@when("a fleet receiver receives a damaged part")
def step_damaged(context):
    source = context.sources[0]
    part = fetch(source, context.receiver)
    context.receiver.take_part(
        msgspec.structs.replace(part, data=part.data[::-1])
    )
    try:
        fetch_all(source, context.receiver)
    except errors.MalformedFrameError as error:
        context.error = error


@then("the fleet receiver reports a malformed view and has none")
def step_malformed(context):
    assert context.error is not None
    assert context.receiver.revision() == 0


@when("many fleet receivers with and without teams fetch the view")
def step_many(context):
    source = context.sources[0]
    context.asked = []

    def work():
        for number in range(RECEIVER_COUNT):
            receiver = view_holder.ViewHolder(with_teams=number % 2 == 0)
            context.asked.append(fetch_all(source, receiver))
            assert receiver.revision() == source.revision()
            assert receiver.fleet.has_teams == (number % 2 == 0)

    with mock.patch.object(
        view_parts, "encode", wraps=view_parts.encode
    ) as encode:
        in_loop(work)
    context.encoded = [call.kwargs for call in encode.call_args_list]


@then("the view was encoded once with teams and once without")
def step_encoded(context):
    assert context.encoded == [{"with_teams": True}, {"with_teams": False}]


@then("the whole view without teams consists of one part")
def step_one_part(context):
    assert set(context.asked[1::2]) == {1}
    assert min(context.asked[::2]) > 1


@when("a fleet receiver fetches the whole view and {count:d} changes follow")
def step_change_after(context, count):
    source = context.sources[0]
    in_loop(lambda: fetch_all(source, context.receiver))
    add_teams(source.fleet, count, "later")


@when("another fleet receiver fetches the whole view")
def step_fetch_other(context):
    context.other = view_holder.ViewHolder()
    context.revisions = []
    context.other.listen(
        lambda: context.revisions.append(context.other.revision())
    )
    in_loop(lambda: fetch_all(context.sources[0], context.other))


@then("the other fleet receiver applied only the newest view")
def step_only_newest(context):
    source = context.sources[0]
    assert context.revisions == [source.revision()], context.revisions
    assert context.other.fleet.snapshot() == source.fleet.snapshot()


@when("many fleet receivers request the view at once")
def step_request_at_once(context):
    source = context.sources[0]
    receivers = [view_holder.ViewHolder() for _ in range(RECEIVER_COUNT)]
    context.answers = [fetch(source, receiver) for receiver in receivers]


@then("a few fleet receivers get parts and the rest staggered retry times")
def step_few(context):
    parts = [a for a in context.answers if isinstance(a, messages.ViewPart)]
    later = [a for a in context.answers if isinstance(a, messages.ViewLater)]
    assert len(parts) == transfers.MAX_TRANSFERS
    assert len(later) == RECEIVER_COUNT - transfers.MAX_TRANSFERS
    waits = [answer.retry_after_ms for answer in later]
    assert waits == sorted(waits)
    assert waits[-1] > waits[0] > 0


@then("idle fleet receivers lose their slots")
def step_idle(context):
    late = fetch(
        context.sources[0], view_holder.ViewHolder(), transfers.IDLE_TIMEOUT_MS
    )
    assert isinstance(late, messages.ViewPart)


@given("a whole view with only the latest weights request of each model")
def step_earlier_release(context):
    context.earlier = view.ViewSnapshot(
        1,
        1,
        {},
        (),
        (),
        (),
        requested_version_by_model={"m": 3},
        named_wall_ms_by_model={"m": 5_000},
    )


@when("a new fleet view restores it")
def step_restore_earlier(context):
    context.fleet = view.FleetView()
    assert context.fleet.restore(context.earlier)


@then("it has a request for weights 3 at the time in the whole view")
def step_requested_weights(context):
    assert context.fleet.weights_requests_by_model == {"m": ((3, 5_000),)}
