"""The headers by which the platform's callers and targets speak."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering import integers
from lycheering.forward import api
from lycheering.forward import event_stream
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.web import connection_pool

REQUEST_ID = b"x-attempt-id"
PATIENCE = b"x-deadline-ms"
MODEL = b"x-model"
TOKENS = b"x-token-usage"
# holds the ids and lengths of the prompt's parts, not a hash
PARTS = b"x-prefix-hash"
LAST_EVENT_ID = b"last-event-id"
AUTHORIZATION = b"authorization"
RETRY_AFTER = b"retry-after"
# in an answer: the worker that gave it did not run the request
NOT_RUN = b"x-not-executed"
LOAD = b"x-instance-load"
LEAVING = b"server-leaving"

TARGET_ID = b"x-expect-instance"
TEAM = b"x-tenant"
CACHE_SCOPE = b"x-cache-salt"
PRIORITY = b"x-request-priority"
FETCH_FROM = b"x-kv-fetch"
SAVE_TO = b"x-kv-save"
EXPECTED_VERSION = b"x-expect-version"

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# what only this system may tell a target
OWN = frozenset(
    {
        PATIENCE,
        AUTHORIZATION,
        TARGET_ID,
        TEAM,
        CACHE_SCOPE,
        PRIORITY,
        FETCH_FROM,
        SAVE_TO,
        LAST_EVENT_ID,
        EXPECTED_VERSION,
        b"x-pin-ms",
        b"x-hold",
        b"x-kv-backup",
        b"kv-from",
        b"content-length",
        b"expect",
    }
)
NOT_SENT_ON = HOP_BY_HOP | OWN
SCHEME = "bearer"
WRONG_TARGET_STATUS = 421
BUSY_STATUS = 503
MAX_PRIORITY = 9
MS_PER_S = 1_000.0
# more digits than any prompt or queue has, and few enough to reckon with
MAX_COUNT_DIGITS = 9

_LOG = logs.get("platform")


class PlatformHeaderCodec(api.HeaderCodec):
    """Reads and writes the platform's headers."""

    def read_request(self, headers: api.Headers) -> api.RequestMetadata:
        """Returns what a caller says of its request.

        Raises:
            BadRequestError: If it can't be read.
        """
        value_by_name = _single(headers)
        request_id = value_by_name.get(REQUEST_ID, "")
        if not request_id:
            raise api.BadRequestError(f"{REQUEST_ID.decode()}: missing")
        prompt, output = _tokens(value_by_name.get(TOKENS, ""))
        return api.RequestMetadata(
            request_id=request_id,
            caller_timeout_ms=_milliseconds(value_by_name.get(PATIENCE, "")),
            bearer_key=_key(value_by_name.get(AUTHORIZATION, "")),
            model=value_by_name.get(MODEL, ""),
            prompt_parts=_parts(value_by_name.get(PARTS, "")),
            prompt_tokens=prompt,
            output_tokens=output,
            last_event_id=value_by_name.get(LAST_EVENT_ID, ""),
        )

    def target_headers(
        self, headers: api.Headers, send_options: api.SendOptions
    ) -> api.Headers:
        """Returns the headers that a target gets."""
        named = _named_by_connection(headers)
        sent = [
            header
            for header in headers
            if header[0] not in NOT_SENT_ON and header[0] not in named
        ]
        remaining_ms = max(1, int(send_options.remaining_ms))
        sent.append((PATIENCE, b"%d" % remaining_ms))
        own = {
            TARGET_ID: send_options.target_id,
            TEAM: send_options.team,
            CACHE_SCOPE: send_options.cache_scope,
            LAST_EVENT_ID: send_options.last_event_id,
            FETCH_FROM: send_options.fetch_from,
            SAVE_TO: send_options.save_to,
        }
        if send_options.weights_version:
            own[EXPECTED_VERSION] = str(send_options.weights_version)
        sent += [(n, v.encode("latin-1")) for n, v in own.items() if v]
        if send_options.priority is not None:
            rank = min(MAX_PRIORITY, max(0, send_options.priority))
            sent.append((PRIORITY, b"%d" % rank))
        return sent

    def read_answer(
        self, head: connection_pool.ResponseHead, metadata: api.RequestMetadata
    ) -> api.AnswerMetadata:
        """Returns what the start of an answer says."""
        kind = api.AnswerKind.RAN
        echoed = head.get(REQUEST_ID)
        if echoed and echoed != metadata.request_id:
            kind = api.AnswerKind.STALE
        elif head.status == WRONG_TARGET_STATUS:
            kind = api.AnswerKind.WRONG_TARGET
        elif head.get(NOT_RUN) and head.status in (429, 503):
            kind = api.AnswerKind.NOT_RUN
        running, waiting = _load(head.get(LOAD))
        retry_after_ms = 0.0
        if head.status == BUSY_STATUS:
            retry_after_ms = _retry_after_ms(head.get(RETRY_AFTER))
        is_shutting_down = head.get(LEAVING).strip() == "1"
        return api.AnswerMetadata(
            kind, running, waiting, is_shutting_down, retry_after_ms
        )

    def caller_headers(self, headers: api.Headers) -> api.Headers:
        """Returns the headers of an answer that its caller gets."""
        named = _named_by_connection(headers)
        return [
            header
            for header in headers
            if header[0] not in HOP_BY_HOP and header[0] not in named
        ]

    def refusal_headers(
        self, headers: api.Headers, retry_after_ms: float
    ) -> api.Headers:
        """Returns the headers of an answer of the entry itself."""
        answered = []
        request_id = self.request_id(headers)
        if request_id:
            answered.append((REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_ms > 0:
            value = f"{retry_after_ms / MS_PER_S:.3f}".encode()
            answered.append((RETRY_AFTER, value))
        return answered

    def request_id(self, headers: api.Headers) -> str:
        """Returns a request's id, empty where it has none."""
        return _single(headers).get(REQUEST_ID, "")

    def event_id(self, event: bytes) -> str:
        """Returns the id of an event of a stream; empty for none."""
        return event_stream.event_field(event, b"id")


def _single(headers: api.Headers) -> dict[bytes, str]:
    """Returns the first value of each header."""
    value_by_name: dict[bytes, str] = {}
    for name, value in headers:
        value_by_name.setdefault(name, value.decode("latin-1").strip())
    return value_by_name


def _named_by_connection(headers: api.Headers) -> set[bytes]:
    """Returns the headers that concern one connection only."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    # these two are values of the header, not names of headers
    return named - {b"close", b"keep-alive"}


def _milliseconds(text: str) -> float | None:
    if not text:
        return None
    try:
        value = float(text)
    except ValueError as error:
        raise api.BadRequestError(f"{PATIENCE.decode()}: {text!r}") from error
    if not 0 <= value < float("inf"):
        raise api.BadRequestError(f"{PATIENCE.decode()}: {text!r}")
    return value


def _retry_after_ms(text: str) -> float:
    """Reads for how long a target asks to be spared; 0 for not at all."""
    if not text:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds < float("inf"):
        _LOG.warning("bad_header", name=RETRY_AFTER.decode(), value=text[:40])
        return 0.0
    return seconds * MS_PER_S


def _count(text: str) -> int | None:
    """Returns a number of tokens or requests; None if it is none."""
    return integers.parse_non_negative(text.strip(), MAX_COUNT_DIGITS)


def _key(text: str) -> str:
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == SCHEME else ""


def _tokens(text: str) -> tuple[int, int]:
    """Reads the tokens of the prompt and the most to be generated."""
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    numbers = _count(prompt), _count(output or "0")
    if numbers[0] is None or numbers[1] is None:
        raise api.BadRequestError(f"{TOKENS.decode()}: {text[:40]!r}")
    return numbers[0], numbers[1]


def _parts(text: str) -> tuple[api.PromptPart, ...]:
    if not text:
        return ()
    parts = []
    for item in text.split(","):
        key, colon, tokens = item.strip().partition(":")
        count = _count(tokens)
        if not colon or count is None:
            raise api.BadRequestError(f"{PARTS.decode()}: {item[:40]!r}")
        parts.append(api.PromptPart(key, count))
    return tuple(parts)


def _load(text: str) -> tuple[int | None, int]:
    """Reads the requests running and those waiting, without the slots."""
    numbers = [_count(item) for item in text.split(",")]
    if len(numbers) != 3 or None in numbers:
        if text:
            _LOG.warning("bad_header", name=LOAD.decode(), value=text[:40])
        return None, 0
    return numbers[0], numbers[1] or 0


__all__ = ["PlatformHeaderCodec"]
