"""Steps that hand any input to what decodes it at the border."""

from __future__ import annotations

import json

from behave import then
from hypothesis import strategies
import msgspec

from lycheering import integers
from lycheering.forward import api as forward_api
from lycheering.forward import event_stream
from lycheering.platform import documents
from lycheering.platform import header_codec
from lycheering.platform import instance_list
from lycheering.web import connection_pool
from lycheering.web import responses
from tests.support import any_inputs

# digits of other scripts, signs and marks that numbers are made of
TEXTS = strategies.one_of(
    strategies.text("0123456789,:.-+_eE \u00b2\u00b9naif", max_size=12),
    strategies.text(
        strategies.characters(min_codepoint=1, max_codepoint=255), max_size=20
    ),
    strategies.integers().map(str),
    strategies.sampled_from(["9" * 400, "9" * 5_000, "inf", "nan", "1e400"]),
)
REQUEST_NAMES = (
    header_codec.PATIENCE,
    header_codec.TOKENS,
    header_codec.PARTS,
    header_codec.AUTHORIZATION,
    header_codec.MODEL,
    header_codec.LAST_EVENT_ID,
)
ANSWER_NAMES = (
    header_codec.LOAD,
    header_codec.RETRY_AFTER,
    header_codec.NOT_RUN,
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
    b"10\r\nid: 1\ndata: abcd\n\n\r\n0\r\n\r\n"
)
SWITCH = (
    b"HTTP/1.1 101 Switching Protocols\r\n"
    b"connection: upgrade\r\nupgrade: other\r\n\r\nmore"
)
TABLE = json.dumps(
    {
        "version": 1,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "path_prefix": "/",
                "kind": "once",
                "timeout_ms": 1_000,
                "service": "s",
            }
        ],
        "services": [
            {
                "name": "s",
                "kv_store_addr": "127.0.0.1:80",
                "engine": {"slots": 8, "kv_capacity_tokens": 9},
            }
        ],
        "teams": [{"name": "t", "keys": ["k"]}],
    }
).encode()
ENTRY = {
    "id": "i",
    "service": "s",
    "address": "127.0.0.1:80",
    "failure_domain": "d",
    "slots": 8,
    "state": "ready",
    "models": [{"name": "m", "version": 1}],
    "born": 0,
}
VALUES = strategies.one_of(
    strategies.none(),
    strategies.integers(),
    strategies.floats(allow_nan=False, allow_infinity=False),
    TEXTS,
    strategies.lists(TEXTS, max_size=2),
)


def header_lists(names):
    values = TEXTS.map(lambda text: text.encode("latin-1", "replace"))
    pairs = strategies.tuples(strategies.sampled_from(names), values)
    return strategies.lists(pairs, max_size=4)


@then("any request headers are read, with no number below 0, or refused")
def step_any_request(context):
    @any_inputs.check_generated(header_lists(REQUEST_NAMES))
    def check(headers):
        named = [(header_codec.REQUEST_ID, b"r1"), *headers]
        try:
            metadata = header_codec.PlatformHeaderCodec().read_request(named)
        except forward_api.BadRequestError:
            return
        numbers = [metadata.prompt_tokens, metadata.output_tokens]
        numbers += [part.tokens for part in metadata.prompt_parts]
        assert all(float(number) >= 0 for number in numbers), metadata
        assert (
            metadata.caller_timeout_ms is None
            or metadata.caller_timeout_ms >= 0
        )


@then("any headers of an answer are read, with no number below 0")
def step_any_answer(context):
    asked = forward_api.RequestMetadata("r1", None, "")

    @any_inputs.check_generated(
        header_lists(ANSWER_NAMES), strategies.sampled_from([200, 421, 503])
    )
    def check(headers, status):
        head = connection_pool.ResponseHead(status, headers)
        metadata = header_codec.PlatformHeaderCodec().read_answer(head, asked)
        assert float(metadata.running or 0) >= 0
        assert float(metadata.waiting) >= 0
        assert 0 <= metadata.retry_after_ms < float("inf")


def is_table_or_refused(data):
    try:
        documents.read_table(data)
    except documents.DocumentError as error:
        assert error.findings


@then("any bytes are a route table or are refused with findings")
def step_any_document(context):
    any_inputs.check_generated(strategies.binary(max_size=100))(
        is_table_or_refused
    )


@then("any damaged route table is read or refused with findings")
def step_damaged_document(context):
    documents.read_table(TABLE)
    any_inputs.check_generated(any_inputs.corrupted_inputs(TABLE))(
        is_table_or_refused
    )


@then("any list entry is a target or is left out")
def step_any_entry(context):
    assert instance_list._target(msgspec.json.encode(ENTRY)) is not None

    @any_inputs.check_generated(strategies.sampled_from(sorted(ENTRY)), VALUES)
    def check(name, value):
        raw = json.dumps(ENTRY | {name: value}).encode()
        target = instance_list._target(msgspec.Raw(raw))
        assert target is None or 0 < target.port < 65_536, target


@then("any text is read as a number of its own digits or as none")
def step_any_number(context):
    assert integers.parse_non_negative("012") == 12
    assert integers.parse_non_negative("9" * integers.MAX_DIGITS) is not None

    @any_inputs.check_generated(TEXTS)
    def check(text):
        number = integers.parse_non_negative(text)
        digits = set(text) <= set("0123456789") and text
        is_number = bool(digits) and len(text) <= integers.MAX_DIGITS
        assert (number is not None) == is_number, text
        assert number is None or str(number) == (text.lstrip("0") or "0")


def are_responses_or_none(parts):
    parser = responses.ResponseParser()
    try:
        for part in parts:
            parser.feed(part)
    except responses.NoResponseError:
        return


@then("any bytes are responses or are refused as none")
def step_any_bytes(context):
    some = strategies.lists(strategies.binary(max_size=60), max_size=4)
    any_inputs.check_generated(some)(are_responses_or_none)


@then("any damaged response is read or refused as none")
def step_damaged_response(context):
    some = strategies.one_of(
        any_inputs.corrupted_inputs(RESPONSE * 2),
        any_inputs.corrupted_inputs(SWITCH),
    )
    cuts = strategies.integers(0, len(RESPONSE))

    @any_inputs.check_generated(some, cuts)
    def check(data, cut):
        are_responses_or_none([data[:cut], data[cut:]])


@then("any bytes are parted into events that join to the same bytes")
def step_any_stream(context):
    some = strategies.lists(
        strategies.text("\r\nid: 1a", max_size=12), max_size=6
    )

    @any_inputs.check_generated(some)
    def check(texts):
        splitter = event_stream.EventSplitter()
        events = []
        for text in texts:
            events += splitter.feed(text.encode())
        whole = "".join(texts).encode()
        assert b"".join(events) + splitter.incomplete_event == whole
        for event in events:
            event_stream.event_field(event, b"id")
