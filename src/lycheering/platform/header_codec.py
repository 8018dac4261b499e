"""Reads and writes the headers that the platform's callers and targets use."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from lycheering import integers
from lycheering.forward import api
from lycheering.limits import target_rate
from lycheering.telemetry import logs
from lycheering.telemetry import repeated_warning

if TYPE_CHECKING:
    from lycheering.web import connection_pool

REQUEST_ID_HEADER = b"x-attempt-id"
TIMEOUT_MS_HEADER = b"x-deadline-ms"
MODEL_HEADER = b"x-model"
TOKEN_COUNTS_HEADER = b"x-token-usage"
# despite its name it holds the ids and token counts of the prompt's parts
PROMPT_PARTS_HEADER = b"x-prefix-hash"
LAST_EVENT_ID_HEADER = b"last-event-id"
RESUMED_ID_HEADER = b"resumes"
AUTHORIZATION_HEADER = b"authorization"
RETRY_AFTER_HEADER = b"retry-after"
# in an answer: the target rejected the request without running it
NOT_RUN_HEADER = b"x-not-executed"
TARGET_LOAD_HEADER = b"x-instance-load"
SHUTTING_DOWN_HEADER = b"server-leaving"
RATE_LIMIT_HEADER = b"server-limit"

TARGET_ID_HEADER = b"x-expect-instance"
TEAM_HEADER = b"x-tenant"
CACHE_SCOPE_HEADER = b"x-cache-salt"
PRIORITY_HEADER = b"x-request-priority"
FETCH_FROM_HEADER = b"x-kv-fetch"
SAVE_TO_HEADER = b"x-kv-save"
WEIGHTS_VERSION_HEADER = b"x-expect-version"
# in the first event that was made with other weights
WEIGHTS_CHANGED_FIELD = b"x-weight-versions"

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
# set by the entry alone, so that callers can't send them to a target
RESERVED = frozenset(
    {
        TIMEOUT_MS_HEADER,
        AUTHORIZATION_HEADER,
        TARGET_ID_HEADER,
        TEAM_HEADER,
        CACHE_SCOPE_HEADER,
        PRIORITY_HEADER,
        FETCH_FROM_HEADER,
        SAVE_TO_HEADER,
        LAST_EVENT_ID_HEADER,
        WEIGHTS_VERSION_HEADER,
        b"x-pin-ms",
        b"x-hold",
        b"x-kv-backup",
        b"kv-from",
        b"content-length",
        b"expect",
    }
)
NOT_FORWARDED = HOP_BY_HOP | RESERVED
AUTHORIZATION_SCHEME = "bearer"
WRONG_TARGET_STATUS = 421
BUSY_STATUS = 503
MAX_PRIORITY = 9
MS_PER_S = 1_000.0
# no prompt or queue has a count with more digits, and counts of this length
# are safe to calculate with
MAX_COUNT_DIGITS = 9
# no target asks for such a time, and shorter ones are safe to calculate with
MAX_RETRY_AFTER_S = 1_000_000_000.0

# the first figures of a load report; others may follow some day
LOAD_COUNTS = 3
WORK_PERCENT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
# No machine is so much faster or slower than usual that work is planned by it.
MIN_WORK_PERCENT = 5.0
MAX_WORK_PERCENT = 2_000.0

_LOG = logs.get("platform")
_BAD_HEADER = repeated_warning.RepeatedWarning(_LOG, "bad_header")


class PlatformHeaderCodec(api.HeaderCodec):
    """The header formats of the platform."""

    event_fields = frozenset({WEIGHTS_CHANGED_FIELD})

    def read_request(self, headers: api.Headers) -> api.RequestMetadata:
        """Returns what the headers of a request say.

        Raises:
            BadRequestError: If a header is missing or malformed.
        """
        value_by_name = _first_values(headers)
        request_id = value_by_name.get(REQUEST_ID_HEADER, "")
        if not request_id:
            raise api.BadRequestError(f"{REQUEST_ID_HEADER.decode()}: missing")
        prompt_tokens, output_tokens = _parse_token_counts(
            value_by_name.get(TOKEN_COUNTS_HEADER, "")
        )
        return api.RequestMetadata(
            request_id=request_id,
            caller_timeout_ms=_parse_timeout_ms(
                value_by_name.get(TIMEOUT_MS_HEADER, "")
            ),
            bearer_key=_parse_bearer_key(
                value_by_name.get(AUTHORIZATION_HEADER, "")
            ),
            model=value_by_name.get(MODEL_HEADER, ""),
            prompt_parts=_parse_prompt_parts(
                value_by_name.get(PROMPT_PARTS_HEADER, "")
            ),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            last_event_id=value_by_name.get(LAST_EVENT_ID_HEADER, ""),
            resumed_id=value_by_name.get(RESUMED_ID_HEADER, ""),
        )

    def target_headers(
        self, headers: api.Headers, send_options: api.SendOptions
    ) -> api.Headers:
        """Returns the headers of the request to the target.

        Args:
            headers: The headers of the caller's request.
            send_options: What the entry adds to them.
        """
        options = _connection_options(headers)
        forwarded = [
            header
            for header in headers
            if header[0] not in NOT_FORWARDED and header[0] not in options
        ]
        remaining_ms = max(1, int(send_options.remaining_ms))
        forwarded.append((TIMEOUT_MS_HEADER, b"%d" % remaining_ms))
        added = {
            TARGET_ID_HEADER: send_options.target_id,
            TEAM_HEADER: send_options.team,
            CACHE_SCOPE_HEADER: send_options.cache_scope,
            LAST_EVENT_ID_HEADER: send_options.last_event_id,
            FETCH_FROM_HEADER: send_options.fetch_from,
            SAVE_TO_HEADER: send_options.save_to,
        }
        if send_options.weights_version:
            added[WEIGHTS_VERSION_HEADER] = str(send_options.weights_version)
        forwarded += [
            (name, _encode_value(value))
            for name, value in added.items()
            if value
        ]
        if send_options.priority is not None:
            priority = min(MAX_PRIORITY, max(0, send_options.priority))
            forwarded.append((PRIORITY_HEADER, b"%d" % priority))
        return forwarded

    def read_answer(
        self, head: connection_pool.ResponseHead, metadata: api.RequestMetadata
    ) -> api.AnswerMetadata:
        """Returns what the status and headers of an answer say.

        Args:
            head: The start of the target's answer.
            metadata: What the headers of the request said.
        """
        kind = api.AnswerKind.RAN
        answered_id = head.get(REQUEST_ID_HEADER)
        if answered_id and answered_id != metadata.request_id:
            kind = api.AnswerKind.STALE
        elif head.status == WRONG_TARGET_STATUS:
            kind = api.AnswerKind.WRONG_TARGET
        elif head.get(NOT_RUN_HEADER) and head.status in (429, 503):
            kind = api.AnswerKind.NOT_RUN
        running, waiting, work_percent = _parse_load(
            head.get(TARGET_LOAD_HEADER)
        )
        retry_after_ms = 0.0
        if head.status == BUSY_STATUS:
            retry_after_ms = _parse_retry_after_ms(head.get(RETRY_AFTER_HEADER))
        is_shutting_down = head.get(SHUTTING_DOWN_HEADER).strip() == "1"
        return api.AnswerMetadata(
            kind,
            running,
            waiting,
            is_shutting_down,
            retry_after_ms,
            bool(answered_id),
            _parse_rate_limit(head.get(RATE_LIMIT_HEADER)),
            work_percent,
        )

    def caller_headers(self, headers: api.Headers) -> api.Headers:
        """Returns the headers of the answer to the caller.

        Args:
            headers: The headers of the target's answer.
        """
        options = _connection_options(headers)
        return [
            header
            for header in headers
            if header[0] not in HOP_BY_HOP and header[0] not in options
        ]

    def refusal_headers(
        self, headers: api.Headers, retry_after_ms: float
    ) -> api.Headers:
        """Returns the headers of a refusal by the entry.

        Args:
            headers: The headers of the caller's request.
            retry_after_ms: Time after which the caller may retry; 0 if a
                retry is of no use.
        """
        refusal = []
        request_id = self.request_id(headers)
        if request_id:
            refusal.append((REQUEST_ID_HEADER, request_id.encode("latin-1")))
        if retry_after_ms > 0:
            value = f"{retry_after_ms / MS_PER_S:.3f}".encode()
            refusal.append((RETRY_AFTER_HEADER, value))
        return refusal

    def request_id(self, headers: api.Headers) -> str:
        """Returns the id of a request; empty if it has none."""
        return _first_values(headers).get(REQUEST_ID_HEADER, "")


def _first_values(headers: api.Headers) -> dict[bytes, str]:
    """Returns the first value of each header."""
    value_by_name: dict[bytes, str] = {}
    for name, value in headers:
        value_by_name.setdefault(name, value.decode("latin-1").strip())
    return value_by_name


def _encode_value(value: str) -> bytes:
    """Returns a header value; names of teams may have any characters."""
    if not value.isprintable():
        value = "".join(char if char.isprintable() else "?" for char in value)
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        return value.encode("utf-8", "replace")


def _connection_options(headers: api.Headers) -> set[bytes]:
    """Returns the header names that `Connection` marks as hop-by-hop."""
    options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    # these two are options of the connection, not names of headers
    return options - {b"close", b"keep-alive"}


def _parse_timeout_ms(text: str) -> float | None:
    if not text:
        return None
    try:
        value = float(text)
    except ValueError as error:
        raise api.BadRequestError(
            f"{TIMEOUT_MS_HEADER.decode()}: invalid time {text!r}"
        ) from error
    if not 0 <= value < float("inf"):
        raise api.BadRequestError(
            f"{TIMEOUT_MS_HEADER.decode()}: invalid time {text!r}"
        )
    return value


def _parse_retry_after_ms(text: str) -> float:
    """Parses the back-off that a target asks for; 0 for none."""
    if not text:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds < MAX_RETRY_AFTER_S:
        _warn_bad_header(RETRY_AFTER_HEADER, text)
        return 0.0
    return seconds * MS_PER_S


def _parse_rate_limit(text: str) -> float | None:
    """Parses a limit in requests a second; None if it is malformed."""
    per_s = target_rate.parse_per_s(text)
    if per_s is None:
        _warn_bad_header(RATE_LIMIT_HEADER, text)
    return per_s


def _parse_count(text: str) -> int | None:
    """Parses a number of tokens or requests; None if it is malformed."""
    return integers.parse_non_negative(text.strip(), MAX_COUNT_DIGITS)


def _parse_bearer_key(text: str) -> str:
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == AUTHORIZATION_SCHEME else ""


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Parses the token count of the prompt and the output token limit."""
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    token_counts = _parse_count(prompt), _parse_count(output or "0")
    if token_counts[0] is None or token_counts[1] is None:
        raise api.BadRequestError(
            f"{TOKEN_COUNTS_HEADER.decode()}: invalid counts {text[:40]!r}"
        )
    return token_counts[0], token_counts[1]


def _parse_prompt_parts(text: str) -> tuple[api.PromptPart, ...]:
    if not text:
        return ()
    parts = []
    for item in text.split(","):
        key, colon, tokens = item.strip().partition(":")
        count = _parse_count(tokens)
        if not colon or count is None:
            raise api.BadRequestError(
                f"{PROMPT_PARTS_HEADER.decode()}: invalid part {item[:40]!r}"
            )
        parts.append(api.PromptPart(key, count))
    return tuple(parts)


def _parse_load(text: str) -> tuple[int | None, int, float | None]:
    """Parses a load report: three counts, the work percentage, and others.

    Returns:
        The running and the waiting requests, and how long work takes now, 100
        being usual. The last is None if it is missing or malformed. `(None, 0,
        None)` if the counts are missing or malformed, or if more requests run
        than the third count, the target's slots.
    """
    items = text.split(",", LOAD_COUNTS + 1)
    counts = [_parse_count(item) for item in items[:LOAD_COUNTS]]
    match counts:
        case [int(running), int(waiting), int(slots)] if running <= slots:
            work_percent = None
            if len(items) > LOAD_COUNTS:
                work_percent = _parse_work_percent(items[LOAD_COUNTS].strip())
            return running, waiting, work_percent
    if text:
        _warn_bad_header(TARGET_LOAD_HEADER, text)
    return None, 0, None


def _parse_work_percent(text: str) -> float | None:
    """Parses how long work takes; None if it is malformed or impossible."""
    if WORK_PERCENT.fullmatch(text):
        percent = float(text)
        if MIN_WORK_PERCENT <= percent <= MAX_WORK_PERCENT:
            return percent
    _warn_bad_header(TARGET_LOAD_HEADER, text, part="work_percent")
    return None


def _warn_bad_header(name: bytes, text: str, part: str = "value") -> None:
    """Logs a malformed header of a target, once for each header and part."""
    _BAD_HEADER.warn(
        f"{name.decode()}.{part}", name=name.decode(), value=text[:40]
    )


__all__ = ["PlatformHeaderCodec"]
