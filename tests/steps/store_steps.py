"""Steps for the data folder."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import tempfile

from behave import given
from behave import then
from behave import when

from lycheering.store import entries
from lycheering.store import errors
from lycheering.store import folder as folders
from lycheering.store import hard_state
from lycheering.store import snapshots
from lycheering.store import storage
from tests.support import full_disks

COMMAND = entries.EntryKind.COMMAND
TIMEOUT_S = 20


def open_store(context):
    async def opened():
        return storage.Storage(context.folder)

    context.store = context.runner.run(opened())
    context.write_offsets = []
    return context.store


def close_store(context):
    if context.store is not None:
        context.runner.run(context.store.close())
    context.store = None


def make_entries(first, count, term):
    data = b"data" * 20
    indexes = range(first, first + count)
    return [entries.Entry(index, term, COMMAND, data) for index in indexes]


def append(context, first, count, term):
    async def appended():
        log = context.store.log
        saved = context.store.hard_state.saved
        if saved.term < term:
            await context.store.hard_state.save(hard_state.HardState(term))
        context.write_offsets.append(log.size())
        log.append(first, make_entries(first, count, term))
        await log.sync()

    context.runner.run(appended())


def log_files(context):
    return sorted(context.folder.glob("log-*"))


def flip_bit(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)


def error_on_opening(context):
    close_store(context)
    try:
        open_store(context)
    except errors.DamagedFileError as error:
        return error
    raise AssertionError("the data folder opened")


@given("an open data folder")
def step_open(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.folder = pathlib.Path(folder) / "data"
    context.runner = context.stack.enter_context(asyncio.Runner())
    context.store = None
    context.stack.callback(close_store, context)
    open_store(context)
    context.first_disk_id = context.store.disk_id


@when("{count:d} store entries are appended in term {term:d}")
def step_append(context, count, term):
    append(context, context.store.log.last_index + 1, count, term)


@when("{count:d} store entries are written at index {index:d} in term {term:d}")
def step_put(context, count, index, term):
    append(context, index, count, term)


@when('the hard state is saved with term {term:d} and vote "{vote}"')
def step_save_hard_state(context, term, vote):
    state = hard_state.HardState(term, vote)
    context.runner.run(context.store.hard_state.save(state))


@when('the hard state is saved with term {term:d} and vote ""')
def step_save_no_vote(context, term):
    step_save_hard_state(context, term, "")


@when("the data folder is reopened")
def step_reopen(context):
    close_store(context)
    open_store(context)


@when("the data folder is emptied and reopened")
def step_empty(context):
    close_store(context)
    shutil.rmtree(context.folder)
    open_store(context)


@then("the store holds entries {first:d} to {last:d}")
def step_holds(context, first, last):
    log = context.store.log
    assert (log.first_index, log.last_index) == (first, last)
    indexes = [log.entry(index).index for index in range(first, last + 1)]
    assert indexes == list(range(first, last + 1))


@then("the store ends at entry {last:d}")
def step_ends(context, last):
    assert context.store.log.last_index == last


@then("the store still holds entry {index:d}")
def step_still_held(context, index):
    assert context.store.log.entry(index).index == index


@then("store entry {a:d} is of term {s:d} and entry {b:d} of term {t:d}")
def step_terms(context, a, s, b, t):
    log = context.store.log
    assert (log.term_at(a), log.term_at(b)) == (s, t)


@then('the saved hard state is term {term:d} and vote "{vote}"')
def step_saved(context, term, vote):
    expected = hard_state.HardState(term, vote)
    assert context.store.hard_state.saved == expected


@then("truncating the last write at any byte leaves entries 1 to {last:d}")
def step_break(context, last):
    start = context.write_offsets[-1]
    close_store(context)
    (path,) = log_files(context)
    whole = path.read_bytes()
    for length in range(start, len(whole)):
        path.write_bytes(whole[:length])
        open_store(context)
        assert context.store.log.last_index == last, length
        close_store(context)
        assert path.stat().st_size == start
    open_store(context)


@then("entries can be appended after the truncation")
def step_goes_on(context):
    last = context.store.log.last_index
    append(context, last + 1, 2, 1)
    step_reopen(context)
    step_holds(context, 1, last + 2)


@when("{count:d} zero bytes are appended to the log file")
def step_grow(context, count):
    close_store(context)
    with open(log_files(context)[-1], "ab") as file:
        file.write(bytes(count))


@when("a byte of the {part} of write {write:d} is changed")
def step_damage(context, part, write):
    offsets = [*context.write_offsets, context.store.log.size()]
    close_store(context)
    start, end = offsets[write - 1], offsets[write]
    offset = {"header": start, "body": start + 40, "footer": end - 1}[part]
    context.damage_offset = start
    flip_bit(log_files(context)[0], offset)


@then("opening the data folder reports damage at the start of write {write:d}")
def step_named(context, write):
    error = error_on_opening(context)
    assert (error.path, error.offset) == (
        log_files(context)[0],
        context.damage_offset,
    )
    assert f"offset {context.damage_offset}" in str(error)


@when("the log is written in {count:d} files")
def step_write_files(context, count):
    for _ in range(count):
        append(context, context.store.log.last_index + 1, 2, 1)
        step_reopen(context)


@when("the second log file is removed")
def step_remove_log(context):
    close_store(context)
    log_files(context)[1].unlink()


@then("opening the data folder reports damage to the third log file")
def step_third(context):
    error = error_on_opening(context)
    assert error.path == log_files(context)[1]


@when('the last byte of the file "{pattern}" is changed')
def step_flip_last(context, pattern):
    close_store(context)
    flip_bit(next(context.folder.glob(pattern)), -1)


@when('the file "{name}" is removed')
def step_remove(context, name):
    close_store(context)
    (context.folder / name).unlink()


@then('opening the data folder reports damage to "{pattern}"')
def step_names(context, pattern):
    assert error_on_opening(context).path.match(pattern)


@when("a snapshot at entry {index:d} is saved")
def step_snapshot(context, index):
    step_snapshot_of_term(context, index, 0)


@when("a snapshot at entry {index:d} of term {term:d} is saved")
def step_snapshot_of_term(context, index, term):
    context.position = entries.Position(index, term)
    snapshot = snapshots.Snapshot(context.position, b"", b"state")
    context.runner.run(context.store.snapshots.save(snapshot))


@when("a snapshot at entry {index:d} of term {term:d} replaces the log")
def step_replace_log(context, index, term):
    step_snapshot_of_term(context, index, term)

    async def replaced():
        state = hard_state.HardState(term)
        await context.store.hard_state.save(state)
        context.store.log.reset(context.position)
        await context.store.log.sync()

    context.runner.run(replaced())


@given("compaction keeps {keep_bytes:d} bytes")
def step_keep_bytes(context, keep_bytes):
    context.keep_bytes = keep_bytes


@when("{count:d} store entries are appended and compacted after every {step:d}")
def step_compact(context, count, step):
    for first in range(1, count + 1, step):
        append(context, first, step, 1)
        last = first + step - 1
        step_snapshot_of_term(context, last, 1)
        keep_bytes = getattr(context, "keep_bytes", 1_000_000)
        context.runner.run(
            context.store.log.compact(context.position, 500, keep_bytes)
        )


@then("the store holds at most {count:d} entries")
def step_few(context, count):
    log = context.store.log
    assert log.last_index - log.first_index < count, log.first_index


@then("the log files are smaller than those of {count:d} entries")
def step_bounded(context, count):
    size = sum(path.stat().st_size for path in log_files(context))
    entry_bytes = len(make_entries(1, 1, 1)[0].data) + 16
    assert size < count * entry_bytes * 1.1, size


@when("{count:d} store entries are appended one by one during one sync")
def step_group(context, count):
    context.writes = []
    files = context.store.log._files
    write = files.write

    def counted(batches):
        context.writes.append(batches)
        write(batches)

    files.write = counted

    async def appended():
        log = context.store.log
        log.append(1, make_entries(1, 1, 0))
        first = asyncio.create_task(log.sync())
        await asyncio.sleep(0)
        for index in range(2, count + 1):
            log.append(index, make_entries(index, 1, 0))
        await asyncio.gather(first, log.sync())
        assert log.synced_index == count

    context.runner.run(appended())


@then("at most two writes are made")
def step_twice(context):
    assert len(context.writes) <= 2


@when("the disk fails while store entries are appended")
def step_disk_fails(context):
    def failing(_):
        raise OSError("no space left")

    context.store.log._files.write = failing
    context.write_error = None
    try:
        append(context, 1, 3, 0)
    except errors.WriteFailedError as error:
        context.write_error = error


@then("the caller waiting for the sync gets the write error")
def step_sync_error(context):
    assert "no space left" in str(context.write_error)


@then("later store entries are refused")
def step_refused(context):
    try:
        append(context, 4, 1, 0)
    except errors.WriteFailedError:
        return
    raise AssertionError("the entry was accepted")


@when("the disk has no space left")
def step_full(context):
    disks = full_disks.FullDisks()
    context.stack.enter_context(disks.patch())
    context.stack.callback(disks.full_folders.clear)
    disks.full_folders.add(context.folder)
    context.disks = disks


def start_in_background(context, work):
    async def started():
        context.background_tasks.append(asyncio.create_task(work))
        while not context.disks.failed_writes:
            await asyncio.sleep(0.01)

    context.runner.run(started())


@when("{count:d} store entries are appended in the background")
def step_append_background(context, count):
    log = context.store.log
    context.background_tasks = []
    first_index = log.last_index + 1

    async def appended():
        log.append(first_index, make_entries(first_index, count, 1))
        await log.sync()

    start_in_background(context, appended())


@when('term {term:d} is saved with vote "{vote}" in the background')
def step_save_background(context, term, vote):
    state = hard_state.HardState(term, vote)
    start_in_background(context, context.store.hard_state.save(state))


@then("none of the writes is durable, and the folder reports a full disk")
def step_nothing_durable(context):
    # Long enough for several retries.
    context.runner.run(asyncio.sleep(3 * folders.NO_SPACE_RETRY_PAUSE_S))
    assert not any(task.done() for task in context.background_tasks)
    assert context.store.hard_state.saved.term == 1
    assert context.store.folder.is_full


@when("the disk has space again")
def step_space(context):
    context.disks.full_folders.clear()


@then("all writes are durable, and the folder reports no full disk")
def step_all_durable(context):
    async def ended():
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(*context.background_tasks)

    context.runner.run(ended())
    assert not context.store.folder.is_full


@then("opening the data folder a second time is refused")
def step_in_use(context):
    try:
        storage.Storage(context.folder)
    except errors.FolderInUseError:
        return
    raise AssertionError("the data folder opened twice")


@then("the disk id is unchanged")
def step_same(context):
    assert context.store.disk_id == context.first_disk_id


@then("the disk id is a new one")
def step_other(context):
    assert context.store.disk_id != context.first_disk_id
