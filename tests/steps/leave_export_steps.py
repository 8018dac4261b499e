"""Steps for the export of a leaving target's KV cache."""

from __future__ import annotations

import asyncio
import signal

from behave import given
from behave import then
from behave import when
import msgspec

from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.targets import kv_store_client
from tests.helpers import agent_bench
from tests.steps import kv_transfer_steps

PIECE_CHARS = 4_000
ROLE_CHARS = len("user\n")
PIECE_MS = 500.0  # so slow that an export pays on any machine


class ScriptedStore(kv_store_client.KvStoreClient):
    """A store whose missing pieces a function decides; it records exports."""

    def __init__(self, find_unstored):
        self.exported = []
        self._find_unstored = find_unstored

    async def find_stored_prefix(self, piece_keys, weights_version):
        return []

    async def find_unstored(self, piece_keys, weights_version):
        return await self._find_unstored(list(piece_keys))

    async def import_pieces(self, piece_keys, weights_version):
        return 0

    async def export_pieces(self, keys):
        self.exported += keys


@given(
    "an agent beside an engine of {blocks:d} blocks that exports before leaving"
)
def step_agent(context, blocks):
    bench = agent_bench.Bench()
    context.bench = bench
    context.stack.callback(bench.close)
    context.store_url = bench.run(bench.start_process("kv_store"))
    context.store_process = bench._processes[-1]
    bench.run(
        bench.start_engine(
            "--capacity-blocks",
            str(blocks),
            "--kv-store",
            context.store_url,
            "--import-ms-per-piece",
            "1",
        )
    )
    context.engine_process = bench._processes[-1]
    bench.run(bench.start_agent(kv_store_url=context.store_url))
    bench.run(agent_bench.until(lambda: bench.context.index.is_synced))
    set_default(context, "kv.leave_export_ms", 5_000)


def set_default(context, option, value):
    async def change():
        context.bench.control.change(changes.DefaultSet(option, value))

    context.bench.run(change())
    fleet = context.bench.context.holder.fleet
    subject = context.bench.context.subject
    context.bench.run(
        agent_bench.until(lambda: fleet.integer(option, subject) == value)
    )


@given("exports of leaving targets may take {limit:d} ms")
def step_limit(context, limit):
    set_default(context, "kv.leave_export_ms", limit)


@given("leaving targets may export {count:d} blocks")
def step_blocks(context, count):
    set_default(context, "kv.leave_export_blocks", count)


def ask(context, team):
    """Submits the same prompt as every team does, on behalf of one team."""
    bench = context.bench
    context.request_count = getattr(context, "request_count", 0) + 1
    bench.context.cost_model.piece_ms = PIECE_MS
    shared, own = context.shape
    total = (shared + own) * PIECE_CHARS
    submit = bench.submit(
        f"r{context.request_count}",
        "p" * (total - ROLE_CHARS),
        team=team,
        level_ends=(shared * PIECE_CHARS, total),
        shared_levels=1,
    )
    outcome = bench.run(bench.ask(submit))
    bench.context.cost_model.piece_ms = PIECE_MS
    return outcome.started


@when(
    'team "{team}" asks {count:d} times for a prompt of {shared:d} shared and'
    " {own:d} own pieces"
)
@when(
    'team "{team}" asks {count:d} time for a prompt of {shared:d} shared and'
    " {own:d} own pieces"
)
def step_ask(context, team, count, shared, own):
    context.shape = (shared, own)
    for _ in range(count):
        ask(context, team)
    # the computed shared pieces are exported without a drain
    kv_transfer_steps.wait_stored(context, shared)
    uses = context.bench.context.piece_uses.most_used(count - 0.5)
    index = context.bench.context.index
    context.bench.run(
        agent_bench.until(
            lambda: all(
                index.count_cached_prefix((use.piece_key.key,)) for use in uses
            )
        )
    )


@then("{count:d} pieces are in the store")
def step_stored(context, count):
    kv_transfer_steps.wait_stored(context, count)


def undrain_empty(context):
    bench = context.bench

    async def undrain():
        bench.control.change(changes.ExceptionRemoved("e1"))
        await agent_bench.until(lambda: not bench.context.admission.is_draining)

    bench.run(undrain())
    # other prompts evict all blocks of the engine
    for number in range(4):
        submit = bench.submit(
            f"other-{number}",
            f"{number}" * (4 * PIECE_CHARS - ROLE_CHARS),
            level_ends=(4 * PIECE_CHARS,),
            team="other",
            shared_levels=0,
        )
        bench.run(bench.ask(submit))
    keys = [
        use.piece_key.key for use in bench.context.piece_uses.most_used(2.0)
    ]
    index = bench.context.index
    bench.run(
        agent_bench.until(
            lambda: (
                index.is_synced
                and not any(index.count_cached_prefix((key,)) for key in keys)
            )
        )
    )


@when("the target is undrained with an empty cache")
def step_undrained(context):
    undrain_empty(context)


@when(
    "the target is undrained with an empty cache and another one of its model"
    " has left"
)
def step_undrained_and_left(context):
    bench = context.bench
    undrain_empty(context)
    other = msgspec.structs.replace(
        bench.control.registered[0],
        name="target-2",
        state=records.TargetState.LEAVING,
    )

    async def leave():
        bench.control.change(changes.TargetPut(other))
        await agent_bench.until(
            lambda: bench.context.peer_departures.has_recent
        )

    bench.run(leave())


@then(
    'team "{one}" finds {found:d} pieces and team "{other}" finds'
    " {other_found:d} pieces"
)
def step_found(context, one, found, other, other_found):
    assert ask(context, one).cached_pieces == found
    assert ask(context, other).cached_pieces == other_found


async def kill_process(context, process):
    context.bench._processes.remove(process)
    process.kill()
    await process.wait()


@when("the store is unreachable")
def step_store_unreachable(context):
    context.bench.run(kill_process(context, context.store_process))


@when("the engine dies while the store is queried")
def step_engine_dies(context):
    async def find_unstored(piece_keys):
        await kill_process(context, context.engine_process)
        return piece_keys

    real = context.bench.context.kv_transfer._store
    replace_store(context, find_unstored)
    context.store.export_pieces = real.export_pieces


@when("the store is silent")
def step_store_silent(context):
    context.store_process.send_signal(signal.SIGSTOP)
    context.stack.callback(context.store_process.send_signal, signal.SIGCONT)


def replace_store(context, find_unstored):
    context.store = ScriptedStore(find_unstored)
    context.bench.context.kv_transfer._store = context.store


@when("the store never answers")
def step_never(context):
    async def find_unstored(piece_keys):
        await asyncio.Event().wait()

    replace_store(context, find_unstored)


@when("the weights change while the store is queried")
def step_weights_change(context):
    async def find_unstored(piece_keys):
        context.bench.context.index.weights_version = "2"
        return piece_keys

    replace_store(context, find_unstored)


@then("nothing was exported")
def step_nothing(context):
    assert context.store.exported == []


@then("the export failed")
def step_failed(context):
    counted = context.bench.context.counters.value_by_name
    assert counted["kept.leave_export_failed"] == 1, counted
