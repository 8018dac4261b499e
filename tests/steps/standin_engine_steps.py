"""Steps for the engine stand-in over HTTP."""

from __future__ import annotations

import asyncio
import http.client
import json
import threading

from behave import given
from behave import then
from behave import when

from lycheering import clock
from standins import answers
from standins import kv_store
from standins.engine import batch
from standins.engine import cache
from standins.engine import events
from standins.engine import generation
from standins.engine import server
from tests.support import background

PROMPT = "a prompt"
LONG_ANSWER = 200


def start(context, **options):
    grace_ms = options.pop("grace_ms", 5_000)
    timing = batch.Timing(
        base_ms=0, prefill_ms_per_piece=0, token_ms=2, grace_ms=grace_ms
    )
    settings = server.EngineSettings(timing=timing, **options)
    running = background.running(lambda: server.Engine(settings))
    return context.stack.enter_context(running)


def body(max_tokens, stream=False, **more):
    fixed = {"model": "model", "prompt": PROMPT}
    return fixed | {"max_tokens": max_tokens, "stream": stream} | more


def ask(context, request_id, request):
    context.status, _, context.raw = background.call(
        context.port,
        "POST",
        "/v1/completions",
        request,
        {"X-Request-Id": request_id},
    )


def streamed_text(raw):
    lines = [line for line in raw.split(b"\n") if line.startswith(b"data: {")]
    chunks = [json.loads(line.removeprefix(b"data: ")) for line in lines]
    return "".join(chunk["choices"][0]["text"] for chunk in chunks)


def runs(context):
    return background.call_json(context.port, "GET", "/admin/record")["runs"]


def open_stream(context, request_id):
    connection = http.client.HTTPConnection(
        "127.0.0.1", context.port, timeout=20
    )
    raw = json.dumps(body(LONG_ANSWER, True))
    headers = {"X-Request-Id": request_id}
    connection.request("POST", "/v1/completions", raw, headers)
    response = connection.getresponse()
    response.readline()
    return connection, response


@given("a stand-in engine")
def step_engine(context):
    context.engine, context.port = start(context)


@given("a stand-in engine with a grace of {grace:d} ms")
def step_engine_grace(context, grace):
    context.engine, context.port = start(context, grace_ms=grace)


@given("a stand-in engine that checks fencing numbers")
def step_engine_checks(context):
    context.engine, context.port = start(context, check_fencing=True)


@given("a stand-in engine that ignores fencing numbers")
def step_engine_ignores(context):
    context.engine, context.port = start(context)


@given("two stand-in engines with a store of kept blocks")
def step_two_engines(context):
    store = background.running(lambda: kv_store.KvStore(10))
    _, store_port = context.stack.enter_context(store)
    url = f"http://127.0.0.1:{store_port}"
    context.engine, context.port = start(context, kv_store=url)
    context.second, context.second_port = start(context, kv_store=url)


@when('the stand-in engine is asked for {n:d} tokens whole as "{request_id}"')
def step_ask_whole(context, n, request_id):
    ask(context, request_id, body(n))
    context.answer_text = json.loads(context.raw)["choices"][0]["text"]


@when('the stand-in engine is asked for {n:d} tokens streamed as "{name}"')
def step_ask_streamed(context, n, name):
    ask(context, name, body(n, True))
    context.answer_text = streamed_text(context.raw)


@when("the stand-in engine is asked to continue from token {n:d} of {m:d}")
def step_continue(context, n, m):
    ask(context, "r1", body(m, True, continue_from=n))
    context.answer_text = streamed_text(context.raw)


@when('the stand-in engine\'s stream "{request_id}" is resumed from {n:d}')
def step_resume(context, request_id, n):
    path = f"/v1/streams/{request_id}?from_seq={n}"
    _, _, context.raw = background.call(context.port, "GET", path)
    context.answer_text = streamed_text(context.raw)


@when('a caller of the stand-in engine leaves stream "{name}" after its start')
def step_leave(context, name):
    connection, response = open_stream(context, name)
    response.close()
    connection.close()


@when('a stand-in engine\'s stream "{name}" is cancelled while it is read')
def step_cancel(context, name):
    connection, response = open_stream(context, name)
    background.call(context.port, "DELETE", f"/v1/streams/{name}")
    try:
        context.raw = response.read()
    except http.client.IncompleteRead as error:
        context.raw = error.partial
    connection.close()


@given('stand-in jobs "{jobs}"')
def step_jobs(context, jobs):
    context.jobs = [job.split(":") for job in jobs.split()]


@when("the stand-in batch works with 1 slot")
def step_batch(context):
    context.order = []

    async def work():
        engine_clock = clock.Clock()
        log = events.EventLog("life", engine_clock)
        timing = batch.Timing(slots=1, base_ms=0, token_ms=0)
        prefix_cache = cache.PrefixCache(10, log, "1")
        running = batch.Batch(timing, prefix_cache, engine_clock)
        jobs = []
        for name, priority in context.jobs:
            run = generation.Run(name, "", "", "", [], "model")
            job = generation.Generation(
                run, PROMPT, [], [], 3, priority=int(priority)
            )
            running.submit(job)
            jobs.append(job)
        running.start()
        for job in jobs:
            await job.wait_ended()
        await running.stop()
        jobs.sort(key=lambda job: job.ended_ms)
        context.order = [job.run.request_id for job in jobs]

    asyncio.run(work())


@when('the stand-in engine is ordered to load weights "{v}" with fence {n:d}')
def step_order(context, v, n):
    order = {"kind": "load_weights", "version": v, "fence": n}
    answer = background.call(context.port, "POST", "/orders", order)
    context.status = answer[0]


@when('the stand-in engine stalls and is asked as "{name}"')
def step_stall(context, name):
    stall = {"stall": True}
    background.call(context.port, "POST", "/admin/faults", stall)
    context.asking = threading.Thread(
        target=step_ask_whole, args=(context, 2, name)
    )
    context.asking.start()


@when("the stand-in engine is released")
def step_release(context):
    release = {"stall": False}
    background.call(context.port, "POST", "/admin/faults", release)
    context.asking.join(20)


@when("the stand-in engine is asked with pieces of another prompt")
def step_wrong_pieces(context):
    ask(context, "r1", body(2, pieces=["another"]))


@when("the first stand-in engine's blocks are exported")
def step_export(context):
    ask(context, "r1", body(1, prompt="x" * 9_000, cache_salt="s"))
    listed = background.call_json(context.port, "GET", "/cache/blocks")
    by_key = {block["block"]: block for block in listed["blocks"]}
    inner = next(b for b in by_key.values() if b["parent"] in by_key)
    context.blocks = [by_key[inner["parent"]], inner]
    wanted = {"blocks": list(by_key)}
    path = "/cache/export"
    done = background.call_json(context.port, "POST", path, wanted)
    assert len(done["exported"]) == 2


def import_blocks(context, version):
    wanted = {"blocks": context.blocks, "weights_version": version}
    path = "/cache/import"
    done = background.call_json(context.second_port, "POST", path, wanted)
    return done["imported"]


@then('the second stand-in engine imports them for weights "{version}"')
def step_imports(context, version):
    imported = import_blocks(context, version)
    assert imported == [block["block"] for block in context.blocks]
    context.port = context.second_port
    ask(context, "r2", body(1, prompt="x" * 9_000, cache_salt="s"))
    assert runs(context)[-1]["cached_pieces"] == 2


@then('the second stand-in engine imports nothing for weights "{version}"')
def step_imports_nothing(context, version):
    assert import_blocks(context, version) == []


@then("the stand-in engine's answer is tokens {first:d} to {end:d}")
def step_tokens(context, first, end):
    assert context.answer_text == answers.expected_answer(PROMPT, end, first)


@then("the stand-in engine's answer has no final event")
def step_no_final(context):
    assert b"[DONE]" not in context.raw
    assert b'"finish_reason":"length"' not in context.raw


@then('the stand-in engine records "{name}" as "{outcome}"')
def step_outcome(context, name, outcome):
    background.wait_until(lambda: runs(context)[-1]["outcome"] == outcome)
    assert runs(context)[-1]["request_id"] == name


@then("the stand-in engine has recorded {n:d} runs")
def step_run_count(context, n):
    assert len(runs(context)) == n


@then('the stand-in jobs ran in the order "{names}"')
def step_job_order(context, names):
    assert context.order == names.split(), context.order


@then("the stand-in engine answered the order with {status:d}")
def step_order_status(context, status):
    assert context.status == status


@then("the stand-in engine refuses with {status:d}")
def step_refuses(context, status):
    assert context.status == status


@then('the stand-in engine uses weights "{version}"')
def step_weights(context, version):
    blocks = background.call_json(context.port, "GET", "/cache/blocks")
    assert blocks["weights_version"] == version
