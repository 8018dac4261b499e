"""Answers of a faulty target whose head or framing is odd."""

from __future__ import annotations

# replaced by the lines of a sound head
HEADERS = b"HEADERS\r\n"

_WHOLE = b"HTTP/1.1 200 Said\r\nHEADERS\r\nContent-Length: 5\r\n\r\nwhole"
_INTERIM = b"HTTP/1.1 %s Said\r\nContent-Length: 5\r\n\r\n"
_NOT_RUN = (
    b"HTTP/1.1 503 Said\r\nHEADERS\r\nX-Not-Executed: 1\r\n%s"
    b"Content-Length: 0\r\n\r\n"
)
_CODED = (
    b"HTTP/1.1 200 Said\r\nHEADERS\r\nTransfer-Encoding: %s\r\n\r\n"
    b"5\r\nnoise\r\n0\r\n\r\n"
)


def _with_status(status: bytes) -> tuple[bytes, ...]:
    return (_WHOLE.replace(b"200", status),)


# the parts of each answer, which arrive one after another
ANSWERS: dict[str, tuple[bytes, ...]] = {
    "answers with status 000": _with_status(b"000"),
    "answers with status 099": _with_status(b"099"),
    "answers with status 600": _with_status(b"600"),
    "answers with status 999": _with_status(b"999"),
    "sends an interim answer with a body": (
        _INTERIM % b"150",
        b"noise",
        _WHOLE,
    ),
    "sends an interim answer with a body at once": (
        _INTERIM % b"150" + b"noise" + _WHOLE,
    ),
    "sends an interim answer with half a body": (
        _INTERIM % b"150" + b"no",
        b"ise" + _WHOLE,
    ),
    "sends a sound interim answer": (
        b"HTTP/1.1 103 Said\r\nLink: a\r\n\r\n",
        _WHOLE,
    ),
    "names an empty body in an interim answer": (
        (_INTERIM % b"103").replace(b"5", b"0"),
        _WHOLE,
    ),
    "sends trailers": (
        b"HTTP/1.1 200 Said\r\nHEADERS\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5\r\nwhole\r\n0\r\n",
        b"X-Response-Stamp: noise\r\nX-Noise: 1\r\n\r\n",
    ),
    "codes its body as gzip": (_CODED % b"gzip",),
    "codes its body as gzip in chunks": (_CODED % b"gzip, chunked",),
    "codes its body as chunks in gzip": (
        _CODED % b"chunked\r\nTransfer-Encoding: gzip",
    ),
    "codes its body as chunks with a tab": (_CODED % b"chunked\t",),
    "writes the name of its coding in capitals": (
        _CODED.replace(b"noise", b"whole") % b"CHUNKED ",
    ),
    "sheds and keeps alive for 5000 digits": (
        _NOT_RUN % (b"Keep-Alive: timeout=" + b"9" * 5_000 + b"\r\n"),
    ),
    "sheds and keeps alive for 400 digits": (
        _NOT_RUN % (b"Keep-Alive: timeout=" + b"9" * 400 + b"\r\n"),
    ),
    "sheds and asks to be spared for 1e307 s": (
        _NOT_RUN % b"Retry-After: 1e307\r\n",
    ),
    "sheds and asks to be spared for 400 digits": (
        _NOT_RUN % (b"Retry-After: " + b"9" * 400 + b"\r\n"),
    ),
    "sheds and asks to be spared for 306 digits": (
        _NOT_RUN % (b"Retry-After: " + b"9" * 306 + b"\r\n"),
    ),
}


def parts(answer: str, request_id: str, stamp: str) -> list[bytes]:
    """Returns the parts of an answer to a request.

    Args:
        answer: A key of `ANSWERS`.
        request_id: The id of the request.
        stamp: The receipt of the target.
    """
    headers = f"X-Attempt-Id: {request_id}\r\nX-Response-Stamp: {stamp}\r\n"
    return [part.replace(HEADERS, headers.encode()) for part in ANSWERS[answer]]


__all__ = ["ANSWERS", "parts"]
