"""Steps for commits and snapshots of the replicated log."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
import tempfile

from behave import given
from behave import then
from behave import when

from lycheering.replication import errors
from lycheering.replication import messages
from lycheering.store import hard_state
from lycheering.store import storage
from tests.replication import fakes
from tests.support import log_group

NAMES = ["a", "b", "c"]


def start_group(context, options, prepare=None):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.runner = context.stack.enter_context(asyncio.Runner())
    context.group = fakes.Group(pathlib.Path(folder), NAMES, options)
    context.stack.callback(
        lambda: log_group.run(context, context.group.stop_all())
    )
    context.proposed_count = 0

    async def started():
        if prepare is not None:
            await prepare(context.group)
        for name in NAMES:
            context.group.start(name)
        context.leader_monitor = fakes.LeaderMonitor(context.group)
        await context.group.leader()

    log_group.run(context, started())
    context.stack.callback(
        lambda: log_group.run(context, context.leader_monitor.stop())
    )


@given("a group of members a, b, c")
def step_group(context):
    start_group(context, fakes.FAST_SETTINGS)


@given(
    "members a, b, c, of which {name} was killed after it saved the first term"
)
def step_group_first_term(context, name):
    async def prepare(group):
        store = storage.Storage(group.folder / name)
        await store.hard_state.save(hard_state.HardState(1, ""))
        await store.close()

    start_group(context, fakes.FAST_SETTINGS, prepare)


@given("a group of members a, b, c with a snapshot every {count:d} entries")
def step_group_snapshots(context, count):
    options = dataclasses.replace(
        fakes.FAST_SETTINGS,
        snapshot_entries=count,
        retained_entries=200,
        snapshot_piece_bytes=16 * 1024,
    )
    start_group(context, options)


@given("a group of members a, b, c with a snapshot every {size:d} bytes")
def step_group_snapshot_bytes(context, size):
    options = dataclasses.replace(
        fakes.FAST_SETTINGS,
        snapshot_bytes=size,
        retained_bytes=size // 2,
    )
    start_group(context, options)


@when("{count:d} commands of {size:d} bytes are proposed")
def step_propose_large(context, count, size):
    # one after another, as those of operators
    for number in range(count):
        command = f"{number}-".encode().ljust(size, b"x")
        log_group.run(context, context.group.propose(command))
    context.proposed_count += count


@when(
    "the snapshots of a follower wait while {count:d} commands of {size:d}"
    " bytes are proposed"
)
def step_snapshots_wait(context, count, size):
    context.name = log_group.followers(context)[0]
    files = context.group.store_by_instance[context.name].snapshots
    save = files.save
    may_save = asyncio.Event()

    async def save_later(snapshot):
        await may_save.wait()
        await save(snapshot)

    files.save = save_later
    step_propose_large(context, count, size)
    machine = context.group.machine_by_instance[context.name]
    log_group.wait(
        context, lambda: len(machine.commands) == count, "all applied"
    )
    may_save.set()


@then("its last snapshot has all but {count:d} of them")
def step_last_snapshot(context, count):
    store = context.group.store_by_instance[context.name]

    def recent():
        latest = store.snapshots.latest
        return (
            latest is not None
            and store.log.last_index - latest.position.index <= count
        )

    log_group.wait(context, recent, "a recent snapshot")


@then("the log of each member has at most {size:d} bytes")
def step_log_bytes(context, size):
    stores = context.group.store_by_instance.values()

    def bounded():
        return all(store.log.size() <= size for store in stores)

    log_group.wait(context, bounded, f"logs of {size} bytes")
    for store in stores:
        log = store.log
        kept = log.read(log.first_index, log.last_index, 100 * size)
        assert sum(len(entry.data) for entry in kept) <= size


@given("{count:d} commands were proposed")
@when("{count:d} commands are proposed")
def step_propose_many(context, count):
    log_group.run(
        context, context.group.fill(count, f"{context.proposed_count}-")
    )
    context.proposed_count += count


@when('the command "{command}" is proposed')
@then('the command "{command}" is still accepted')
def step_propose(context, command):
    log_group.run(context, context.group.propose(command.encode()))
    context.proposed_count += 1


@then('every member applies "{command}"')
def step_applies(context, command):
    machines = context.group.machine_by_instance.values()

    def applied():
        return all(command.encode() in item.commands for item in machines)

    log_group.wait(context, applied, f"{command} on all members")


@then("all members have the same log and the {count:d} commands proposed")
def step_same(context, count):
    group = context.group

    def same():
        lists = [group.machine_by_instance[n].commands for n in group.running()]
        ends = {m.status().last_index for m in group.log_by_instance.values()}
        is_same = all(item == lists[0] for item in lists)
        return is_same and len(lists[0]) == count and len(ends) == 1

    log_group.wait(context, same, f"{count} commands on all members")
    commands = group.machine_by_instance[group.running()[0]].commands
    assert len(set(commands)) == len(commands)


@when("a follower is restarted")
def step_restart(context):
    context.name = log_group.followers(context)[0]
    machine = context.group.machine_by_instance[context.name]
    log_group.wait(
        context,
        lambda: len(machine.commands) == context.proposed_count,
        "the follower to have applied all",
    )
    context.member = log_group.run(
        context, log_group.restart(context, context.name)
    )


@when("all members are restarted")
def step_restart_all(context):
    async def restarted():
        names = list(context.group.log_by_instance)
        await context.group.stop_all()
        for name in names:
            context.group.start(name)

    log_group.run(context, restarted())


@when("a partitioned leader accepts a proposal")
def step_propose_partitioned(context):
    async def proposed():
        group = context.group
        name = await group.leader()
        group.network.cut(name)
        context.member = group.log_by_instance[name]
        # proposes before the lease expires
        return await asyncio.gather(
            context.member.propose(b"lost", log_group.LONG_MS),
            return_exceptions=True,
        )

    (context.error,) = log_group.run(context, proposed())


@then("the proposal ends with an unknown outcome")
def step_ends_unknown(context):
    error = context.error
    assert isinstance(error, errors.OutcomeUnknownError), repr(error)


@then("later proposals are refused as not appended")
def step_later_refused(context):
    last = context.member.status().last_index
    error = log_group.refusal(
        context, context.member.propose(b"later", log_group.SHORT_MS)
    )
    assert isinstance(error, errors.NotLeaderError)
    assert context.member.status().last_index == last


@when('the command "{command}" is proposed to another leader')
def step_propose_other(context, command):
    old = context.group.log_by_instance[context.failed_name]
    log_group.refusal(
        context, old.propose(b"onto the failed disk", log_group.LONG_MS)
    )
    log_group.run(
        context, context.group.propose(command.encode(), context.failed_name)
    )


@then("the other members have all acknowledged commands")
def step_have_all(context):
    leader = log_group.run(
        context, context.group.leader(excluding=context.failed_name)
    )
    commands = context.group.machine_by_instance[leader].commands
    assert commands[:3] == [b"0-0", b"0-1", b"0-2"]
    assert commands[-1] == b"one"


@when("more proposals are pending than the settings allow")
def step_too_many(context):
    async def proposed():
        member = context.group.log_by_instance[await context.group.leader()]
        allowed = context.group.options.max_pending_proposals
        proposals = [
            member.propose(b"x", log_group.LONG_MS) for _ in range(allowed + 1)
        ]
        return await asyncio.gather(*proposals, return_exceptions=True)

    context.found = log_group.run(context, proposed())


@then("the last proposal is refused as not appended")
def step_last_refused(context):
    assert isinstance(context.found[-1], errors.UnavailableError)
    assert all(isinstance(item, bytes) for item in context.found[:-1])


@when(
    "members are partitioned, restarted and frozen at random with seed {seed:d}"
)
def step_chaos(context, seed):
    chaos = fakes.Chaos(context.group, random.Random(seed))
    log_group.run(context, chaos.run())
    context.acknowledged = chaos.acknowledged


@then("every member has each acknowledged command once, in the same order")
def step_answered_once(context):
    group = context.group
    log_group.run(context, group.propose(b"the end"))

    def same():
        lists = [group.machine_by_instance[n].commands for n in NAMES]
        return b"the end" in lists[0] and lists.count(lists[0]) == len(lists)

    log_group.wait(context, same, "the same commands on all members")
    commands = group.machine_by_instance["a"].commands
    assert len(set(commands)) == len(commands), "applied twice"
    missing = set(context.acknowledged) - set(commands)
    assert not missing, sorted(missing)
    assert len(context.acknowledged) > 20, len(context.acknowledged)


@then("it catches up after applying at most {count:d} commands")
def step_bounded_replay(context, count):
    leader = log_group.run(context, context.group.leader())
    target = context.group.log_by_instance[leader].status().commit_index

    def caught_up():
        return context.member.status().applied_index >= target

    log_group.wait(context, caught_up, "the restarted member")
    machine = context.group.machine_by_instance[context.name]
    assert machine.applied <= count, machine.applied
    assert len(machine.commands) == context.proposed_count


@then("its log files hold at most {count:d} entries")
def step_bounded_files(context, count):
    log = context.group.store_by_instance[context.name].log
    assert log.last_index - log.first_index < count
    assert log.size() < count * 40, log.size()


@then("member {name} was sent a snapshot in several pieces")
def step_pieces(context, name):
    requests = context.group.network.requests
    pieces = [
        item
        for item in requests
        if isinstance(item, messages.SnapshotRequest)
        and item.receiver.instance == name
    ]
    assert len({item.offset for item in pieces}) > 2


@when("a follower is stopped")
def step_stop(context):
    context.name = log_group.followers(context)[0]
    log_group.run(context, context.group.stop(context.name))


@when("the stopped follower is started")
def step_start(context):
    async def started():
        context.group.start(context.name)

    log_group.run(context, started())
