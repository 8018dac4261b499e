"""Steps for the translation of the platform's words."""

from __future__ import annotations

import asyncio
import json

from behave import then
from behave import when
import msgspec

from lycheering.control.direct import api as direct_api
from lycheering.fleet import records
from lycheering.forward import api
from lycheering.platform import documents
from lycheering.platform import header_codec
from lycheering.platform import instance_list
from lycheering.platform import store_calls
from lycheering.settings import model
from lycheering.web import connection_pool
from tests.helpers import platform_document
from tests.support import scripted_http

HEADERS = {
    "x-attempt-id": "r1",
    "x-deadline-ms": "1500",
    "authorization": "Bearer the-key",
    "x-model": "m",
    "x-token-usage": "1460,80",
    "x-prefix-hash": "5c:800,91:410,e4:250",
}
PAGE = {
    "id": "i-1",
    "service": "s",
    "address": "10.0.0.1:80",
    "failure_domain": "d",
    "slots": 4,
    "state": "leaving",
    "models": [{"name": "m", "version": 3}],
    "born": 5,
}
HEADER_CODEC = header_codec.PlatformHeaderCodec()


def headers(values):
    return [(n.encode(), v.encode()) for n, v in values.items()]


@when("a caller's headers are read")
def step_read(context):
    context.metadata = HEADER_CODEC.read_request(headers(HEADERS))


@then("the request's id, patience, key, model, parts and tokens are known")
def step_known(context):
    assert context.metadata == api.RequestMetadata(
        request_id="r1",
        caller_timeout_ms=1_500.0,
        bearer_key="the-key",
        model="m",
        prompt_parts=(
            api.PromptPart("5c", 800),
            api.PromptPart("91", 410),
            api.PromptPart("e4", 250),
        ),
        prompt_tokens=1_460,
        output_tokens=80,
    )


@when('a caller\'s header "{name}" is "{value}"')
@when('a caller\'s header "{name}" is ""')
def step_bad(context, name, value=""):
    context.error = ""
    try:
        HEADER_CODEC.read_request(headers({**HEADERS, name: value}))
    except api.BadRequestError as error:
        context.error = str(error)


@then('reading it fails and names "{name}"')
def step_fails(context, name):
    assert context.error.startswith(name), context.error


@when('a target answers {status:d} with the headers "{text}"')
def step_answers(context, status, text):
    given = dict(pair.split(": ") for pair in text.split(", "))
    head = connection_pool.ResponseHead(status, headers(given))
    metadata = api.RequestMetadata("r1", None, "")
    context.answer = HEADER_CODEC.read_answer(head, metadata)


@then("the answer means {meaning}")
def step_means(context, meaning):
    assert context.answer.kind.value == meaning, context.answer


@when('a caller\'s headers with "Connection: close, X-Once" are sent on')
def step_sent_on(context):
    given = {**HEADERS, "connection": "close, X-Once", "x-once": "1"}
    send_options = api.SendOptions("t1", 10.0)
    sent = HEADER_CODEC.target_headers(headers(given), send_options)
    context.sent = {name.decode() for name, _ in sent}


@then('neither "{one}" nor "{two}" is among them')
def step_neither(context, one, two):
    assert not {one, two} & context.sent, context.sent
    assert "x-attempt-id" in context.sent


@when("the platform's document is read")
def step_document(context):
    context.made = documents.read_table(
        json.dumps(platform_document.DOCUMENT).encode()
    )


@then("the table has its routes, services, teams and limits")
def step_table(context):
    made = context.made
    assert made.revision == 7
    once, stream = made.routes
    assert (once.kind, once.max_sends, once.shares[0].service) == (
        "once",
        1,
        "s",
    )
    assert [share.weight for share in stream.shares] == [9, 1]
    assert stream.is_resumable
    assert made.services[1].engine.models == ("m",)
    assert len(made.services) == 3
    store = made.services[2].store
    assert (store.ip, store.port, store.cache_tokens) == ("10.0.0.1", 80, 900)
    assert store.failure_domain == "d"
    assert made.teams[0].is_isolated
    assert len(made.teams[0].key_digests) == 2
    assert made.limits.max_body_bytes == 2


@when("the platform's document {defect}")
def step_defect(context, defect):
    changed = json.loads(json.dumps(platform_document.DOCUMENT))
    if defect == "lacks its routes":
        del changed["routes"]
    if defect == "has a store without a port":
        changed["services"][2]["kv_store_addr"] = "10.0.0.1"
    if defect == "has two fields of wrong type":
        changed["routes"][0]["host"] = 5
        changed["services"][0]["name"] = None
    data = json.dumps(changed).encode()
    if defect == "is cut short":
        data = data[:-30]
    if defect == "is not JSON":
        data = b"routes: all"
    context.findings = []
    try:
        documents.read_table(data)
    except documents.DocumentError as error:
        context.findings = error.findings


@then("the document is refused with at least {count:d} findings")
def step_refused(context, count):
    assert len(context.findings) >= count, context.findings


def read_list(*answers):
    with scripted_http.serving() as endpoint:
        endpoint.answer_reads("/instances", *answers)
        settings = model.DirectSettings(
            list_address=f"127.0.0.1:{endpoint.port}"
        )
        return asyncio.run(instance_list.InstanceList(settings).read())


@when("a list with good and unreadable entries is read")
def step_list(context):
    entries = [
        PAGE,
        {**PAGE, "id": 5},
        {**PAGE, "state": "asleep"},
        {**PAGE, "address": "nowhere"},
        "no entry",
        {**PAGE, "id": "i-2", "state": "ready"},
    ]
    pages = [
        {"instances": entries[:3], "next": "p"},
        {"instances": entries[3:], "next": None},
    ]
    context.listed = read_list(
        *(scripted_http.Answer(200, page) for page in pages)
    )


@then("only the good entries are targets")
def step_good(context):
    first, second = context.listed
    assert first == records.DirectTarget(
        "i-1",
        "s",
        "10.0.0.1",
        80,
        "d",
        4,
        records.TargetState.LEAVING,
        {"m": 3},
        False,
        5,
    )
    changed = msgspec.structs.replace(
        first, target_id="i-2", state=records.TargetState.LIVE
    )
    assert second == changed


@when("a list whose second page fails is read")
def step_failing(context):
    context.listed = None
    page = {"instances": [PAGE], "next": "p"}
    try:
        context.listed = read_list(
            scripted_http.Answer(200, page), scripted_http.Answer(429)
        )
    except direct_api.ListUnavailableError:
        return


@then("there is no list")
def step_no_list(context):
    assert context.listed is None


@when("a caller's headers that name stores are sent on to fetch and save")
def step_stores_sent_on(context):
    given = {**HEADERS, "x-kv-save": "1.1.1.1:1", "x-kv-fetch": "1.1.1.1:1"}
    send_options = api.SendOptions(
        "t1", 10.0, fetch_from="10.0.0.2:80", save_to="10.0.0.3:80"
    )
    context.sent = HEADER_CODEC.target_headers(headers(given), send_options)


@then("the target is told the system's own addresses")
def step_own_addresses(context):
    told = [
        value
        for name, value in context.sent
        if name in (b"x-kv-save", b"x-kv-fetch")
    ]
    assert sorted(told) == [b"10.0.0.2:80", b"10.0.0.3:80"], context.sent


@when("a store that answers {answer} is asked for its run")
def step_store_run(context, answer):
    reply = {
        "with a run of 77": scripted_http.Answer(
            200, {"boot_epoch": 77, "next": 1, "lost": False, "events": []}
        ),
        "with status 429": scripted_http.Answer(429),
        "without a run": scripted_http.Answer(200, {"next": 1}),
        "with bytes": scripted_http.Answer(200, "no events"),
    }[answer]
    context.run = None
    with scripted_http.serving() as endpoint:
        endpoint.answer_reads("/v1/kv-events", reply)
        stores = store_calls.PlatformStores()
        try:
            context.run = asyncio.run(
                stores.read_run_number("127.0.0.1", endpoint.port)
            )
        except direct_api.StoreUnreachableError:
            return


@then("its run is {run:d}")
def step_run(context, run):
    assert context.run == run


@then("it can't be reached")
def step_not_reached(context):
    assert context.run is None
