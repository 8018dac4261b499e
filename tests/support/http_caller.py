"""What a caller of an entry sees."""

from __future__ import annotations

import dataclasses
import json


@dataclasses.dataclass
class Seen:
    """An answer as its caller read it.

    Attributes:
        status: The HTTP status.
        head: The response's start.
        text: The text of all chunks, or of the whole answer.
        chunks: How many chunks came.
        whole: Whether the answer looked whole.
        error: The error, if there was one.
        json: The body, if it is JSON.
    """

    status: int
    head: object = None
    text: str = ""
    chunks: int = 0
    whole: bool = False
    error: dict = dataclasses.field(default_factory=dict)
    json: object = None


def read(reply):
    """Returns what a caller makes of a whole response."""
    seen = Seen(reply.head.status, reply.head)
    kind = reply.head.header("content-type")
    if kind.startswith("text/event-stream"):
        read_events(reply.body, seen)
    elif kind.startswith("application/json"):
        seen.json = json.loads(reply.body)
        read_json(seen)
    return seen


def read_json(seen):
    if not isinstance(seen.json, dict):
        return
    seen.error = seen.json.get("error") or {}
    for choice in seen.json.get("choices", ()):
        message = choice.get("message") or {"content": choice.get("text")}
        seen.text += message["content"]
        seen.whole = choice["finish_reason"] == "length"


def read_events(body, seen):
    for block in body.decode().split("\n\n"):
        lines = dict(line.split(": ", 1) for line in block.splitlines() if line)
        if not lines:
            continue
        assert not seen.whole and not seen.error, "something after the end"
        if lines.get("event") == "error":
            seen.error = json.loads(lines["data"])["error"]
        elif lines["data"] == "[DONE]":
            seen.whole = True
        else:
            assert lines["id"] == str(seen.chunks), (lines, seen.chunks)
            choice = json.loads(lines["data"])["choices"][0]
            seen.text += choice.get("text") or choice["delta"]["content"]
            seen.chunks += 1
