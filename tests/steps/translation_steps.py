"""Steps for the translation between the platform's formats and ours."""

from __future__ import annotations

import asyncio
import json

from behave import then
from behave import when
import logbook
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

REQUEST_HEADERS = {
    "x-attempt-id": "r1",
    "x-deadline-ms": "1500",
    "authorization": "Bearer the-key",
    "x-model": "m",
    "x-token-usage": "1460,80",
    "x-prefix-hash": "5c:800,91:410,e4:250",
}
LIST_ENTRY = {
    "id": "i-1",
    "service": "s",
    "address": "10.0.0.1:80",
    "failure_domain": "d",
    "slots": 4,
    "state": "leaving",
    "models": [{"name": "m", "version": 3}],
    "born": 5,
    "version": "v1",
    "cold_remaining_ms": 0,
}
HEADER_CODEC = header_codec.PlatformHeaderCodec()


def headers(values):
    return [(n.encode(), v.encode()) for n, v in values.items()]


@when("a caller's headers are read")
def step_read(context):
    context.metadata = HEADER_CODEC.read_request(headers(REQUEST_HEADERS))


@then(
    "the request's id, timeout, key, model, parts and token counts are parsed"
)
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
        HEADER_CODEC.read_request(headers({**REQUEST_HEADERS, name: value}))
    except api.BadRequestError as error:
        context.error = str(error)


@then('parsing fails with an error that names "{name}"')
def step_fails(context, name):
    assert context.error.startswith(name), context.error


@when('a target answers {status:d} with the headers "{text}"')
def step_answers(context, status, text):
    given_headers = dict(pair.split(": ") for pair in text.split(", "))
    head = connection_pool.ResponseHead(status, headers(given_headers))
    metadata = api.RequestMetadata("r1", None, "")
    context.answer = HEADER_CODEC.read_answer(head, metadata)


def read_load(status, load):
    head = connection_pool.ResponseHead(
        status, headers({"x-instance-load": load})
    )
    metadata = api.RequestMetadata("r1", None, "")
    return HEADER_CODEC.read_answer(head, metadata)


@when('a target answers {status:d} with the load "{load}"')
def step_load(context, status, load):
    context.answer = read_load(status, load)


@then("the answer says {running} running, {waiting:d} waiting, pace {percent}")
def step_says(context, running, waiting, percent):
    answer = context.answer
    assert str(answer.running) == running, answer
    assert answer.waiting == waiting, answer
    expected = None if percent == "None" else float(percent)
    assert answer.work_percent == expected, answer


@when('a target answers {count:d} times with the load "{load}"')
def step_load_often(context, count, load):
    with logbook.TestHandler().applicationbound() as handler:
        for _ in range(count):
            read_load(200, load)
        context.lines = [
            line for line in handler.formatted_records if "bad_header" in line
        ]


@then("at most {count:d} lines say so")
def step_lines(context, count):
    assert len(context.lines) <= count, context.lines


@then("the answer means {meaning}")
def step_means(context, meaning):
    assert context.answer.kind.value == meaning, context.answer


@then("the answer names the limit {limit}")
def step_limit(context, limit):
    expected = None if limit == "malformed" else float(limit)
    assert context.answer.rate_limit_per_s == expected, context.answer


@when('a caller\'s headers with "Connection: close, X-Once" are forwarded')
def step_sent_on(context):
    given_headers = {
        **REQUEST_HEADERS,
        "connection": "close, X-Once",
        "x-once": "1",
    }
    send_options = api.SendOptions("t1", 10.0)
    sent = HEADER_CODEC.target_headers(headers(given_headers), send_options)
    context.sent = {name.decode() for name, _ in sent}


@then('neither "{one}" nor "{two}" is forwarded')
def step_neither(context, one, two):
    assert not {one, two} & context.sent, context.sent
    assert "x-attempt-id" in context.sent


@when("the platform's document is read")
def step_document(context):
    context.route_table = documents.read_table(
        json.dumps(platform_document.DOCUMENT).encode()
    )


@then("the table has its routes, services, teams and limits")
def step_table(context):
    table = context.route_table
    assert table.revision == 7
    once, stream = table.routes
    assert (once.kind, once.max_sends, once.shares[0].service) == (
        "once",
        1,
        "s",
    )
    assert [share.weight for share in stream.shares] == [9, 1]
    assert stream.is_resumable
    assert table.services[1].engine.models == ("m",)
    assert len(table.services) == 3
    store = table.services[2].store
    assert (store.ip, store.port, store.cache_tokens) == ("10.0.0.1", 80, 900)
    assert store.failure_domain == "d"
    assert table.teams[0].is_isolated
    assert len(table.teams[0].key_digests) == 2
    assert table.limits.max_body_bytes == 2


@when("the platform's document names a service twice and a key twice")
def step_sound_repeats(context):
    changed = json.loads(json.dumps(platform_document.DOCUMENT))
    changed["routes"][1]["service"] = "s"
    changed["teams"][0]["keys"] = ["a", "a"]
    context.table_read = documents.read_table(json.dumps(changed).encode())


@then("the table has its two shares")
def step_shares(context):
    assert len(context.table_read.routes[1].shares) == 2


@when("the platform's document {defect}")
def step_defect(context, defect):
    changed = json.loads(json.dumps(platform_document.DOCUMENT))
    if defect == "lacks its routes":
        del changed["routes"]
    if defect == "has a store without a port":
        changed["services"][2]["kv_store_addr"] = "10.0.0.1"
    if defect == "names a service it lacks beside sound shares":
        changed["routes"][1]["service"] = "unknown"
    if defect == "has two teams of one name with one key":
        changed["teams"].append({"name": "t", "keys": ["b", "c"]})
    if defect == "has two fields of a wrong type":
        changed["routes"][0]["host"] = 5
        changed["services"][0]["name"] = None
    data = json.dumps(changed).encode()
    if defect == "is truncated":
        data = data[:-30]
    if defect == "is not JSON":
        data = b"routes: all"
    context.findings = []
    try:
        documents.read_table(data)
    except documents.DocumentError as error:
        context.findings = error.findings


@then("the document is rejected with at least {count:d} findings")
def step_refused(context, count):
    assert len(context.findings) >= count, context.findings


def read_list(*answers, requests=None):
    with scripted_http.serving() as endpoint:
        endpoint.answer_reads("/instances", *answers)
        endpoint.requests = [] if requests is None else requests
        settings = model.DirectSettings(
            list_address=f"127.0.0.1:{endpoint.port}"
        )
        return asyncio.run(instance_list.InstanceList(settings).read())


@when("a list with well-formed and malformed entries is read")
def step_list(context):
    entries = [
        LIST_ENTRY,
        {**LIST_ENTRY, "id": 5},
        {**LIST_ENTRY, "state": "asleep"},
        {**LIST_ENTRY, "address": "nowhere"},
        "no entry",
        {**LIST_ENTRY, "id": "i-2", "state": "ready"},
    ]
    pages = [
        {"instances": entries[:3], "next": "p"},
        {"instances": entries[3:], "next": None},
    ]
    context.targets = read_list(
        *(scripted_http.Answer(200, page) for page in pages)
    )


@then("only the well-formed entries are targets")
def step_good(context):
    first, second = context.targets
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
        "v1",
    )
    expected_second = msgspec.structs.replace(
        first, target_id="i-2", state=records.TargetState.LIVE
    )
    assert second == expected_second


def damaged(old, new):
    entry = json.dumps({**LIST_ENTRY, "id": "odd"}).encode()
    assert entry.count(old) == 1, entry
    return entry.replace(old, new)


HUGE = b"1" + b"0" * 30
ODD_ENTRY_BY_ODDITY = {
    "is nested 100000 arrays deep": lambda: (
        b'{"id":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    ),
    "is nested 100000 objects deep": lambda: (
        b'{"id":' + b'{"a":' * 100_000 + b"1" + b"}" * 100_000 + b"}"
    ),
    "has 10^30 slots": lambda: damaged(b'"slots": 4', b'"slots": ' + HUGE),
    "has a negative number of slots": lambda: damaged(
        b'"slots": 4', b'"slots": -4'
    ),
    "was born 10^30 ms after 1970": lambda: damaged(
        b'"born": 5', b'"born": ' + HUGE
    ),
    "has weights of the version 10^30": lambda: damaged(
        b'"version": 3', b'"version": ' + HUGE
    ),
    "has a model without its version": lambda: damaged(b', "version": 3', b""),
    "has an id with a lone surrogate": lambda: damaged(b"odd", b"\\ud800"),
    "has an id that is not UTF-8": lambda: damaged(b"odd", b"\xff\xfe"),
    "has an id of two lines": lambda: damaged(b"odd", b"a\\r\\nb"),
    "has an id that is not ASCII": lambda: damaged(b"odd", b"\\u540d"),
    "has an id of 100000 characters": lambda: damaged(b"odd", b"o" * 100_000),
    "has the port 99999": lambda: damaged(b":80", b":99999"),
    "has the port -1": lambda: damaged(b":80", b":-1"),
    "has a bare word as its id": lambda: damaged(b'"odd"', b"odd"),
    "has brackets in a text and no state": lambda: (
        b'{"id": "]}\\\\\\"{[", "models": [{"name": "}"}]}'
    ),
}


for field in LIST_ENTRY.keys() - {"models", "born"}:
    ODD_ENTRY_BY_ODDITY[f"lacks its {field}"] = lambda name=field: json.dumps(
        {key: value for key, value in LIST_ENTRY.items() if key != name}
    ).encode()
    ODD_ENTRY_BY_ODDITY[f"has an array as its {field}"] = lambda name=field: (
        json.dumps({**LIST_ENTRY, name: []}).encode()
    )


@when("a list with a good entry and one that {oddity} is read")
def step_odd_entry(context, oddity):
    odd = ODD_ENTRY_BY_ODDITY[oddity]()
    good = json.dumps(LIST_ENTRY).encode()
    context.targets = []
    for first, second in ((odd, good), (good, odd)):
        page = b'{"instances": [%s, %s], "next": null}' % (first, second)
        context.targets.append(read_list(scripted_http.Answer(200, page)))


@then("only the good entry is a target, and it can be stored")
def step_only_good(context):
    for targets in context.targets:
        (target,) = targets
        assert target.target_id == "i-1", target
        msgspec.msgpack.encode(target)


@when("a document with 10^30 as its {field} is read")
def step_huge(context, field):
    changed = json.loads(json.dumps(platform_document.DOCUMENT))
    part = {
        "version": changed,
        "weight": changed["routes"][1]["shares"][0],
        "slots": changed["services"][1]["engine"],
        "max_body_bytes": changed["limits"],
    }[field]
    assert field in part, part
    part[field] = 10**30
    context.findings = []
    try:
        documents.read_table(json.dumps(changed).encode())
    except documents.DocumentError as error:
        context.findings = error.findings


def read_team(context, **text_by_field):
    fields = "".join(
        f', "{name}": {text}' for name, text in text_by_field.items()
    )
    document = json.dumps(platform_document.DOCUMENT)
    end = '"is_isolated": true'
    assert end in document, document
    context.findings = []
    try:
        table = documents.read_table(
            document.replace(end, end + fields).encode()
        )
    except documents.DocumentError as error:
        context.findings = error.findings
    else:
        (context.team,) = table.teams


@when(
    "a document whose team has rate_per_s {rate}, burst {burst}, unit {unit}"
    " and plain_tokens {plain} is read"
)
def step_allowance(context, rate, burst, unit, plain):
    read_team(
        context, rate_per_s=rate, burst=burst, unit=unit, plain_tokens=plain
    )


@when("a document whose team has {field:w} {value} is read")
def step_allowance_field(context, field, value):
    read_team(context, **{field: value})


@then(
    "the team may use {rate:g} tokens a second and {burst:g} more, and a plain"
    " request counts as {plain:d}"
)
def step_has_allowance(context, rate, burst, plain):
    team = context.team
    assert team.has_allowance
    assert team.unit.value == "tokens"
    read = (team.rate_per_s, team.burst, team.plain_tokens)
    assert read == (rate, burst, plain), read


@then("the team has no allowance")
def step_no_allowance(context):
    assert not context.findings
    assert not context.team.has_allowance


@when("a list whose second page fails is read")
def step_failing(context):
    context.targets = None
    page = {"instances": [LIST_ENTRY], "next": "p"}
    try:
        context.targets = read_list(
            scripted_http.Answer(200, page), scripted_http.Answer(429)
        )
    except direct_api.ListUnavailableError:
        return


@when('a list whose first page has no "next" is read')
def step_no_next(context):
    context.targets = None
    odd_entry = ODD_ENTRY_BY_ODDITY["has a bare word as its id"]()
    good_entry = json.dumps(LIST_ENTRY).encode()
    for entries in (good_entry, good_entry + b"," + odd_entry):
        page = b'{"instances": [%s]}' % entries
        try:
            context.targets = read_list(scripted_http.Answer(200, page))
        except direct_api.ListUnavailableError:
            continue


@when("a list whose second page names itself as the next is read")
def step_repeated_page(context):
    context.targets = None
    context.requests = []
    page = {"instances": [LIST_ENTRY], "next": "p"}
    try:
        context.targets = read_list(
            scripted_http.Answer(200, page), requests=context.requests
        )
    except direct_api.ListUnavailableError:
        return


@then("the list was called {count:d} times")
def step_list_calls(context, count):
    assert len(context.requests) == count, len(context.requests)


@then("reading the list fails")
def step_no_list(context):
    assert context.targets is None


@when("a caller's headers that name stores are forwarded with the entry's own")
def step_stores_sent_on(context):
    given_headers = {
        **REQUEST_HEADERS,
        "x-kv-save": "1.1.1.1:1",
        "x-kv-fetch": "1.1.1.1:1",
    }
    send_options = api.SendOptions(
        "t1", 10.0, fetch_from="10.0.0.2:80", save_to="10.0.0.3:80"
    )
    context.sent = HEADER_CODEC.target_headers(
        headers(given_headers), send_options
    )


@then("the target gets only the addresses set by the entry")
def step_own_addresses(context):
    addresses = [
        value
        for name, value in context.sent
        if name in (b"x-kv-save", b"x-kv-fetch")
    ]
    assert sorted(addresses) == [b"10.0.0.2:80", b"10.0.0.3:80"], context.sent


@when("the run number of a store that answers {answer} is read")
def step_store_run(context, answer):
    reply = {
        "with run number 77": scripted_http.Answer(
            200, {"boot_epoch": 77, "next": 1, "lost": False, "events": []}
        ),
        "with status 429": scripted_http.Answer(429),
        "without a run number": scripted_http.Answer(200, {"next": 1}),
        "with a body of another type": scripted_http.Answer(200, "no events"),
    }[answer]
    context.run_number = None
    with scripted_http.serving() as endpoint:
        endpoint.answer_reads("/v1/kv-events", reply)
        stores = store_calls.PlatformStores()
        try:
            context.run_number = asyncio.run(
                stores.read_run_number("127.0.0.1", endpoint.port)
            )
        except direct_api.StoreUnreachableError:
            return


@then("the run number is {run_number:d}")
def step_run(context, run_number):
    assert context.run_number == run_number


@then("the store counts as unreachable")
def step_not_reached(context):
    assert context.run_number is None
