"""Steps for elections, commits and snapshots of the replicated log."""

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
from lycheering.store import entries
from tests.replication import fakes

NAMES = ["a", "b", "c"]
LONG_MS = 30_000
SHORT_MS = 500


def run(context, work):
    return context.runner.run(work)


def wait(context, condition, what):
    run(context, fakes.wait_for(condition, what))


def followers(context):
    leader = run(context, context.group.leader())
    return [name for name in context.group.log_by_instance if name != leader]


def start_group(context, options):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.runner = context.stack.enter_context(asyncio.Runner())
    context.group = fakes.Group(pathlib.Path(folder), NAMES, options)
    context.stack.callback(lambda: run(context, context.group.stop_all()))
    context.taken = 0

    async def started():
        for name in NAMES:
            context.group.start(name)
        context.watch = fakes.Watch(context.group)
        await context.group.leader()

    run(context, started())
    context.stack.callback(lambda: run(context, context.watch.stop()))


@given("a group of members a, b, c")
def step_group(context):
    start_group(context, fakes.FAST_SETTINGS)


@given("a group of members a, b, c with a snapshot every {count:d} entries")
def step_group_snapshots(context, count):
    options = dataclasses.replace(
        fakes.FAST_SETTINGS,
        snapshot_entries=count,
        kept_entries=200,
        snapshot_piece_bytes=16 * 1024,
    )
    start_group(context, options)


@given("{count:d} commands were proposed")
@when("{count:d} commands are proposed")
def step_fill(context, count):
    run(context, context.group.fill(count, f"{context.taken}-"))
    context.taken += count


@when('the command "{command}" is proposed')
@then('the command "{command}" is still taken')
def step_propose(context, command):
    run(context, context.group.propose(command.encode()))
    context.taken += 1


@then('every member applies "{command}"')
def step_applies(context, command):
    machines = context.group.machine_by_instance.values()

    def applied():
        return all(command.encode() in item.commands for item in machines)

    wait(context, applied, f"{command} on all members")


@then("no two members ever led the same term or held a lease together")
def step_watch(context):
    assert context.watch.checks > 0
    assert context.watch.faults == []


@then("all members have the same log and the {count:d} commands proposed")
def step_same(context, count):
    group = context.group

    def same():
        lists = [group.machine_by_instance[n].commands for n in group.running()]
        ends = {m.status().last_index for m in group.log_by_instance.values()}
        is_same = all(item == lists[0] for item in lists)
        return is_same and len(lists[0]) == count and len(ends) == 1

    wait(context, same, f"{count} commands on all members")
    commands = group.machine_by_instance[group.running()[0]].commands
    assert len(set(commands)) == len(commands)


@when("all followers are asked to stand for election {count:d} times")
def step_stand(context, count):
    async def stand():
        for _ in range(count):
            leader = await context.group.leader()
            for name, member in context.group.log_by_instance.items():
                if name != leader:
                    member._elections.request_transfer()
            await asyncio.sleep(0.05)

    run(context, stand())


@when("the leader is cut off while it takes {count:d} commands")
def step_cut(context, count):
    async def cut():
        context.old = await context.group.leader()
        member = context.group.log_by_instance[context.old]
        context.group.network.cut(context.old)
        context.lost = [
            asyncio.create_task(member.propose(f"x{n}".encode(), LONG_MS))
            for n in range(count)
        ]
        await asyncio.sleep(0)

    run(context, cut())


@when("another member leads")
@then("another member leads than before")
def step_other(context):
    run(context, context.group.leader(but=context.old))


@then("the member cut off leads no more and refuses reads")
def step_leads_no_more(context):
    member = context.group.log_by_instance[context.old]
    assert member.status().role.value != "leader"
    assert refusal(context, member.read_barrier(SHORT_MS)) is not None


@then("the outcome of the {count:d} commands is unknown")
def step_unknown(context, count):
    async def gathered():
        return await asyncio.gather(*context.lost, return_exceptions=True)

    found = run(context, gathered())
    assert len(found) == count
    kinds = [type(item) for item in found]
    assert kinds == [errors.OutcomeUnknownError] * count, found


@when("{count:d} commands are proposed to the new leader")
def step_propose_new(context, count):
    async def proposed():
        for number in range(count):
            await context.group.propose(f"n{number}".encode(), context.old)

    run(context, proposed())


@when("all links work again")
def step_heal(context):
    context.group.network.cut_links.clear()


def refusal(context, work):
    try:
        run(context, work)
    except errors.ReplicationError as error:
        return error
    return None


@when("the leader was frozen for {duration_ms:d} ms")
def step_frozen(context, duration_ms):
    async def frozen():
        name = await context.group.leader()
        context.member = context.group.log_by_instance[name]
        context.group.clock_by_instance[name].offset_ms += duration_ms
        # before any other task of the member runs
        context.held_lease = fakes.holds_lease(context.member)

    run(context, frozen())


@then("its lease has run out at once")
def step_run_out(context):
    assert not context.held_lease


@then("its next read is refused")
def step_read_refused(context):
    error = refusal(context, context.member.read_barrier(SHORT_MS))
    assert isinstance(error, errors.NotLeaderError)


@then("its next proposal is refused")
def step_proposal_refused(context):
    error = refusal(context, context.member.propose(b"late", SHORT_MS))
    assert isinstance(error, errors.NotLeaderError)


@when("the leader is frozen for {duration_ms:d} ms while a read waits")
def step_frozen_read(context, duration_ms):
    async def frozen():
        name = await context.group.leader()
        member = context.group.log_by_instance[name]
        core = member._core
        core.commit_index += 1
        read = asyncio.create_task(member.read_barrier(LONG_MS))
        await asyncio.sleep(0)
        core.commit_index -= 1
        context.group.clock_by_instance[name].offset_ms += duration_ms
        core.applied.advance(core.applied_index + 1)
        found = await asyncio.gather(read, return_exceptions=True)
        context.read_error = found[0]

    run(context, frozen())


@then("the read that waited is refused")
def step_waiting_read(context):
    assert isinstance(context.read_error, errors.NotLeaderError)


@when("a follower is cut off until it has stood {count:d} times")
def step_cut_follower(context, count):
    context.old = run(context, context.group.leader())
    status = context.group.log_by_instance[context.old].status()
    context.term = status.term
    name = followers(context)[0]
    network = context.group.network
    network.records = True
    network.cut(name)

    def stood():
        return len(network.votes_asked_by(name)) >= 2 * count

    wait(context, stood, "a follower to stand")


@then("the leader and its term are the same as before")
def step_same_leader(context):
    assert run(context, context.group.leader()) == context.old
    status = context.group.log_by_instance[context.old].status()
    assert status.term == context.term


async def restart(context, name):
    await context.group.stop(name)
    return context.group.start(name)


@when("a follower is restarted")
def step_restart(context):
    context.name = followers(context)[0]
    machine = context.group.machine_by_instance[context.name]
    wait(
        context,
        lambda: len(machine.commands) == context.taken,
        "the follower to have applied all",
    )
    context.member = run(context, restart(context, context.name))


@when("all members are restarted")
def step_restart_all(context):
    async def restarted():
        names = list(context.group.log_by_instance)
        await context.group.stop_all()
        for name in names:
            context.group.start(name)

    run(context, restarted())


def ask_vote(context, member, candidate, term):
    others = member.status().members
    sender = next(m.id for m in others if m.id.instance == candidate)
    request = messages.VoteRequest(
        sender, member.status().id, term, entries.Position(10**6, term)
    )
    return run(context, member.handle(request))


@then("it refuses its vote to a candidate with a newer term")
def step_refuses(context):
    candidate = followers(context)[-1]
    term = context.member.status().term + 1
    reply = ask_vote(context, context.member, candidate, term)
    assert not reply.is_granted


def let_lease_pass(context, name):
    context.group.clock_by_instance[name].offset_ms += LONG_MS


@given("a follower has voted for a candidate in a newer term")
def step_voted(context):
    context.name, context.candidate = followers(context)
    context.other = run(context, context.group.leader())
    context.group.network.cut(context.name)
    member = context.group.log_by_instance[context.name]
    let_lease_pass(context, context.name)
    context.term = member.status().term + 100
    reply = ask_vote(context, member, context.candidate, context.term)
    assert reply.is_granted


@when("that follower is restarted and its leader's lease has passed")
def step_restart_voter(context):
    context.member = run(context, restart(context, context.name))
    let_lease_pass(context, context.name)


@then("it refuses its vote to another candidate in that term")
def step_refuses_other(context):
    member = context.member
    reply = ask_vote(context, member, context.other, context.term)
    assert not reply.is_granted
    assert reply.term == context.term
    again = ask_vote(context, member, context.candidate, context.term)
    assert again.is_granted


@when("leadership is transferred")
def step_transfer(context):
    context.old = run(context, context.group.leader())
    member = context.group.log_by_instance[context.old]
    assert run(context, member.transfer_leadership())


@given("both followers cannot sync")
def step_hold_followers(context):
    context.held = followers(context)
    for name in context.held:
        context.group.hold_syncs(name)


@given("the leader cannot sync")
def step_hold_leader(context):
    context.held = [run(context, context.group.leader())]
    context.group.hold_syncs(context.held[0])


@when('the command "{command}" is proposed in the background')
def step_background(context, command):
    async def proposed():
        leader = context.group.log_by_instance[await context.group.leader()]
        work = leader.propose(command.encode(), LONG_MS)
        context.leader = leader
        context.proposal = asyncio.create_task(work)
        await asyncio.sleep(0)

    run(context, proposed())


@when("both followers hold it in memory and the leader has synced it")
def step_in_memory(context):
    last = context.leader.status().last_index
    logs = [context.group.log_by_instance[name] for name in context.held]

    def held():
        in_memory = all(item.status().last_index >= last for item in logs)
        return in_memory and context.leader.status().synced_index >= last

    wait(context, held, "the entry in all memories")


@then("the proposal is not answered")
def step_not_answered(context):
    run(context, asyncio.sleep(0.05))
    assert not context.proposal.done()


@then("the leader keeps its lease for {count:d} times its length")
def step_keeps_lease(context, count):
    term = context.leader.status().term
    lease_ms = context.group.options.lease_ms
    run(context, asyncio.sleep(count * lease_ms / 1_000))
    assert context.leader.status().term == term
    assert context.leader.status().role.value == "leader"


@when("one follower can sync again")
def step_release_one(context):
    context.group.release_syncs(context.held[0])


@then("the proposal is answered")
def step_answered(context):
    wait(context, context.proposal.done, "the answer")
    assert context.proposal.result() == b"4"


@given("both followers have synced a command that the leader cannot know of")
def step_unknown_to_leader(context):
    context.leader_name = run(context, context.group.leader())
    context.held = followers(context)
    for name in context.held:
        link = (name, context.leader_name)
        context.group.network.cut_links.add(link)
    step_background(context, "one")
    context.index = context.leader.status().last_index
    logs = [context.group.log_by_instance[name] for name in context.held]

    def synced():
        return all(m.status().synced_index >= context.index for m in logs)

    wait(context, synced, "the followers to sync the command")


@when("the leader is lost while the others cannot sync any more")
def step_lost_leader(context):
    async def lost():
        for name in context.held:
            context.group.hold_syncs(name)
        await context.group.stop(context.leader_name)
        await asyncio.gather(context.proposal, return_exceptions=True)

    run(context, lost())


@when("a new leader knows that a quorum has synced the command")
def step_knows(context):
    logs = [context.group.log_by_instance[name] for name in context.held]

    def leader():
        leading = [m for m in logs if m.status().role.value == "leader"]
        return leading[0] if leading else None

    def knows():
        found = leader()
        if found is None:
            return False
        indexes = [m.match_index or 0 for m in found.status().members]
        return sum(index >= context.index for index in indexes) == 2

    wait(context, knows, "the new leader to know")
    context.member = leader()


@then("the command is not committed")
def step_not_committed(context):
    run(context, asyncio.sleep(0.05))
    assert context.member.status().commit_index < context.index


@when("the members can sync again")
def step_release_all(context):
    for name in context.held:
        context.group.release_syncs(name)


@then("the command is committed")
def step_committed(context):
    machine = context.group.machine_by_instance[
        context.member.status().id.instance
    ]
    wait(context, lambda: b"one" in machine.commands, "the command")


@given("a follower cut off that cannot write its hard state")
def step_hold_hard_state(context):
    context.other = run(context, context.group.leader())
    context.name = followers(context)[0]
    context.member = context.group.log_by_instance[context.name]
    context.group.network.cut(context.name)
    context.group.hold_hard_state(context.name)
    context.term = context.member.status().term + 1


@when("it hears a leader of a newer term")
def step_hears(context):
    hear(context, [])


@when("it hears a leader of a newer term with an entry")
def step_hears_entry(context):
    index = context.member.status().last_index + 1
    kind = entries.EntryKind.NO_OPERATION
    context.added = [entries.Entry(index, context.term, kind, b"")]
    hear(context, context.added)


def hear(context, added):
    member = context.member
    ids = {m.id.instance: m.id for m in member.status().members}
    if "last" not in context:
        context.last = context.group.store_by_instance[context.name].log.last
    request = messages.AppendRequest(
        ids[context.other],
        ids[context.name],
        context.term,
        context.last,
        0,
        added,
    )
    context.held = context.last.index + len(added)
    context.reply = run(context, member.handle(request))


@then("it answers without promising any entry")
def step_promises_nothing(context):
    assert context.reply.is_matching
    assert (context.reply.term, context.reply.index) == (context.term, 0)


@when("it can write its hard state and hears that leader again")
def step_hears_again(context):
    context.group.release_syncs(context.name)
    saved = context.group.store_by_instance[context.name].hard_state
    wait(context, lambda: saved.saved.term == context.term, "the term's write")
    hear(context, context.added if "added" in context else [])


@then("it has written no entry of that term")
def step_wrote_nothing(context):
    log = context.group.store_by_instance[context.name].log
    run(context, asyncio.sleep(0.05))
    assert log.synced_index == context.last.index
    assert context.reply.index <= context.last.index


@then("it promises the entries that it holds")
def step_promises(context):
    assert context.reply.index == context.held > 0


@when("the leader is cut off and takes a proposal")
def step_stop_both(context):
    async def proposed():
        group = context.group
        name = await group.leader()
        group.network.cut(name)
        context.member = group.log_by_instance[name]
        # still within the lease
        return await asyncio.gather(
            context.member.propose(b"lost", LONG_MS), return_exceptions=True
        )

    (context.error,) = run(context, proposed())


@then("the proposal ends with an unknown outcome")
def step_ends_unknown(context):
    error = context.error
    assert isinstance(error, errors.OutcomeUnknownError), repr(error)


@then("later proposals are refused as not appended")
def step_later_refused(context):
    last = context.member.status().last_index
    error = refusal(context, context.member.propose(b"later", SHORT_MS))
    assert isinstance(error, errors.NotLeaderError)
    assert context.member.status().last_index == last


@when("the leader's disk fails")
def step_disk_fails(context):
    fail_disk(context, run(context, context.group.leader()))


@when("a follower's disk fails")
def step_follower_disk_fails(context):
    fail_disk(context, followers(context)[0])


def fail_disk(context, name):
    context.old = name

    def failing(_):
        raise OSError("input/output error")

    context.group.store_by_instance[context.old].log._files.write = failing


@when('the command "{command}" is proposed to another leader')
def step_propose_other(context, command):
    old = context.group.log_by_instance[context.old]
    refusal(context, old.propose(b"onto the failed disk", LONG_MS))
    run(context, context.group.propose(command.encode(), context.old))


@then("the other members have all commands answered")
def step_have_all(context):
    leader = run(context, context.group.leader(but=context.old))
    commands = context.group.machine_by_instance[leader].commands
    assert commands[:3] == [b"0-0", b"0-1", b"0-2"]
    assert commands[-1] == b"one"


@then("the member with the failed disk reports why")
def step_reports(context):
    member = context.group.log_by_instance[context.old]
    wait(context, lambda: member.status().failure, "the report")
    assert "input/output error" in member.status().failure
    assert member.status().role.value == "follower"


@when("more proposals wait than the settings allow")
def step_too_many(context):
    async def proposed():
        member = context.group.log_by_instance[await context.group.leader()]
        allowed = context.group.options.max_waiting
        proposals = [member.propose(b"x", LONG_MS) for _ in range(allowed + 1)]
        return await asyncio.gather(*proposals, return_exceptions=True)

    context.found = run(context, proposed())


@then("the last proposal is refused as not appended")
def step_last_refused(context):
    assert isinstance(context.found[-1], errors.UnavailableError)
    assert all(isinstance(item, bytes) for item in context.found[:-1])


@when("members are cut off, restarted and frozen at random from seed {seed:d}")
def step_chaos(context, seed):
    chaos = fakes.Chaos(context.group, random.Random(seed))
    run(context, chaos.run())
    context.answered = chaos.answered


@then("all answered commands stand once in the same order on every member")
def step_answered_once(context):
    group = context.group
    run(context, group.propose(b"the end"))

    def same():
        lists = [group.machine_by_instance[n].commands for n in NAMES]
        return b"the end" in lists[0] and lists.count(lists[0]) == len(lists)

    wait(context, same, "the same commands on all members")
    commands = group.machine_by_instance["a"].commands
    assert len(set(commands)) == len(commands), "doubled"
    missing = set(context.answered) - set(commands)
    assert not missing, sorted(missing)
    assert len(context.answered) > 20, len(context.answered)


@then("it comes to the end after applying at most {count:d} commands")
def step_bounded_replay(context, count):
    leader = run(context, context.group.leader())
    target = context.group.log_by_instance[leader].status().commit_index

    def caught_up():
        return context.member.status().applied_index >= target

    wait(context, caught_up, "the restarted member")
    machine = context.group.machine_by_instance[context.name]
    assert machine.applied <= count, machine.applied
    assert len(machine.commands) == context.taken


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
    context.name = followers(context)[0]
    run(context, context.group.stop(context.name))


@when("the stopped follower is started")
def step_start(context):
    async def started():
        context.group.start(context.name)

    run(context, started())
