"""Steps that pass generated input to the parsers of outside data."""

from __future__ import annotations

import json

from behave import then
from hypothesis import strategies
import msgspec

from lycheering import integers
from lycheering.forward import api as forward_api
from lycheering.platform import documents
from lycheering.platform import header_codec
from lycheering.platform import instance_list
from lycheering.streams import events
from lycheering.web import connection_pool
from lycheering.web import responses
from tests.support import any_inputs

# characters that occur in numbers, also digits of other scripts, which must
# not be accepted
TEXTS = strategies.one_of(
    strategies.text("0123456789,:.-+_eE \u00b2\u00b9naif", max_size=12),
    strategies.text(
        strategies.characters(min_codepoint=1, max_codepoint=255), max_size=20
    ),
    strategies.integers().map(str),
    strategies.sampled_from(["9" * 400, "9" * 5_000, "inf", "nan", "1e400"]),
)
REQUEST_HEADER_NAMES = (
    header_codec.TIMEOUT_MS_HEADER,
    header_codec.TOKEN_COUNTS_HEADER,
    header_codec.PROMPT_PARTS_HEADER,
    header_codec.AUTHORIZATION_HEADER,
    header_codec.MODEL_HEADER,
    header_codec.LAST_EVENT_ID_HEADER,
)
ANSWER_HEADER_NAMES = (
    header_codec.TARGET_LOAD_HEADER,
    header_codec.RETRY_AFTER_HEADER,
    header_codec.NOT_RUN_HEADER,
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
    b"10\r\nid: 1\ndata: abcd\n\n\r\n0\r\n\r\n"
)
SWITCH_RESPONSE = (
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
LIST_ENTRY = {
    "id": "i",
    "service": "s",
    "address": "127.0.0.1:80",
    "failure_domain": "d",
    "slots": 8,
    "state": "ready",
    "models": [{"name": "m", "version": 1}],
    "born": 0,
    "version": "v1",
    "cold_remaining_ms": 0,
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


@then("any request headers are parsed to no negative number or rejected")
def step_any_request(context):
    @any_inputs.check_generated(header_lists(REQUEST_HEADER_NAMES))
    def check(headers):
        all_headers = [(header_codec.REQUEST_ID_HEADER, b"r1"), *headers]
        try:
            metadata = header_codec.PlatformHeaderCodec().read_request(
                all_headers
            )
        except forward_api.BadRequestError:
            return
        numbers = [metadata.prompt_tokens, metadata.output_tokens]
        numbers += [part.tokens for part in metadata.prompt_parts]
        assert all(float(number) >= 0 for number in numbers), metadata
        assert (
            metadata.caller_timeout_ms is None
            or metadata.caller_timeout_ms >= 0
        )


@then("any headers of an answer are parsed to no negative number")
def step_any_answer(context):
    request_metadata = forward_api.RequestMetadata("r1", None, "")

    @any_inputs.check_generated(
        header_lists(ANSWER_HEADER_NAMES),
        strategies.sampled_from([200, 421, 503]),
    )
    def check(headers, status):
        head = connection_pool.ResponseHead(status, headers)
        metadata = header_codec.PlatformHeaderCodec().read_answer(
            head, request_metadata
        )
        assert float(metadata.running or 0) >= 0
        assert float(metadata.waiting) >= 0
        assert 0 <= metadata.retry_after_ms < float("inf")
        assert 0 < (metadata.work_percent or 100) < float("inf")


def check_table_or_rejected(data):
    try:
        documents.read_table(data)
    except documents.DocumentError as error:
        assert error.findings


@then("any bytes are parsed as a route table or rejected with findings")
def step_any_document(context):
    any_inputs.check_generated(strategies.binary(max_size=100))(
        check_table_or_rejected
    )


@then("any damaged route table is parsed or rejected with findings")
def step_damaged_document(context):
    documents.read_table(TABLE)
    any_inputs.check_generated(any_inputs.corrupted_inputs(TABLE))(
        check_table_or_rejected
    )


@then("any list entry is parsed as a target or skipped")
def step_any_entry(context):
    assert (
        instance_list._parse_target(msgspec.json.encode(LIST_ENTRY)) is not None
    )

    @any_inputs.check_generated(
        strategies.sampled_from(sorted(LIST_ENTRY)), VALUES
    )
    def check(name, value):
        raw = json.dumps(LIST_ENTRY | {name: value}).encode()
        target = instance_list._parse_target(msgspec.Raw(raw))
        assert target is None or 0 < target.port < 65_536, target


@then("any text is parsed as a decimal number or rejected")
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


def check_responses_or_rejected(parts):
    parser = responses.ResponseParser()
    try:
        for part in parts:
            parser.feed(part)
    except responses.NoResponseError:
        return


@then("any bytes are parsed as HTTP responses or rejected")
def step_any_bytes(context):
    byte_parts = strategies.lists(strategies.binary(max_size=60), max_size=4)
    any_inputs.check_generated(byte_parts)(check_responses_or_rejected)


@then("any damaged HTTP response is parsed or rejected")
def step_damaged_response(context):
    damaged_responses = strategies.one_of(
        any_inputs.corrupted_inputs(RESPONSE * 2),
        any_inputs.corrupted_inputs(SWITCH_RESPONSE),
    )
    cuts = strategies.integers(0, len(RESPONSE))

    @any_inputs.check_generated(damaged_responses, cuts)
    def check(data, cut):
        check_responses_or_rejected([data[:cut], data[cut:]])


@then("any bytes are split into events that join to the same bytes")
def step_any_stream(context):
    text_parts = strategies.lists(
        strategies.text("\r\nid: 1a", max_size=12), max_size=6
    )

    @any_inputs.check_generated(text_parts)
    def check(texts):
        whole = "".join(texts).encode()
        results = []
        for parts in (texts, ["".join(texts)]):
            reader = events.EventReader(1)
            found = [
                event for text in parts for event in reader.feed(text.encode())
            ]
            joined = b"".join(event.raw for event in found)
            assert whole.startswith(joined)
            rest = whole.removeprefix(joined)
            if not reader.violation:
                assert reader.is_inside_event == bool(rest)
                assert b"\n\n" not in rest
                assert b"\n\r\n" not in rest
            numbered = [event for event in found if event.number is not None]
            assert reader.next_id == len(numbered) + 1
            results.append((found, reader.violation))
        assert results[0] == results[1]
