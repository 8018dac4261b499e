"""The validated bodies that callers send."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import msgspec
import pydantic

from lycheering.entry import refusals
from lycheering.routing import levels

MAX_FINDINGS = 5

_OWN_FIELDS = ("prefix_levels", "stream", "stream_options")
_RAW_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])
_TRUE = msgspec.Raw(b"true")

LevelEnds = Annotated[
    tuple[Annotated[int, pydantic.Field(ge=1)], ...],
    pydantic.Field(max_length=levels.MAX_LEVELS),
]


class _Body(pydantic.BaseModel):
    """What both kinds of completions have in common.

    Attributes:
        model: The model asked for.
        stream: Whether the answer comes as server-sent events.
        temperature: 0 makes the answer deterministic.
        seed: Makes the answer deterministic.
        n: Answers asked for, of which there is only one.
        prefix_levels: Ends of the nested prompt levels, in characters.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    model: Annotated[str, pydantic.Field(min_length=1, max_length=200)]
    stream: bool = False
    temperature: float | None = None
    seed: int | None = None
    n: Literal[1] | None = None
    prefix_levels: LevelEnds | None = None

    @property
    def deterministic(self) -> bool:
        """Whether a second run gives the same answer."""
        return self.temperature == 0 or self.seed is not None

    def prompt_text(self) -> str:
        """Returns the prompt that level ends count in."""
        raise NotImplementedError

    def boundaries(self) -> tuple[int, ...]:
        """Returns where all parts but the last end."""
        return ()


class CompletionBody(_Body):
    """The body of a plain completion.

    Attributes:
        prompt: The prompt.
    """

    prompt: Annotated[str, pydantic.Field(min_length=1)]

    def prompt_text(self) -> str:
        """Returns the prompt."""
        return self.prompt


class ChatMessage(pydantic.BaseModel):
    """One message of a chat.

    Attributes:
        role: Who speaks.
        content: What is said.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    role: str
    content: str


class ChatBody(_Body):
    """The body of a chat completion.

    Attributes:
        messages: The chat so far.
    """

    messages: Annotated[
        tuple[ChatMessage, ...], pydantic.Field(min_length=1, max_length=1_000)
    ]

    def prompt_text(self) -> str:
        """Returns the messages as one text."""
        return "".join(
            f"{message.role}\n{message.content}\n" for message in self.messages
        )

    def boundaries(self) -> tuple[int, ...]:
        """Returns where all messages but the last end."""
        ends = []
        end = 0
        for message in self.messages[:-1]:
            end += len(message.role) + len(message.content) + 2
            ends.append(end)
        return tuple(ends)


def parse(body: bytes, *, chat: bool) -> ChatBody | CompletionBody:
    """Reads a completion's body.

    Args:
        body: What the caller sent.
        chat: Whether it is a chat completion.

    Raises:
        RefusalError: With every finding, if it can't be read.
    """
    kind = ChatBody if chat else CompletionBody
    try:
        return kind.model_validate_json(body)
    except pydantic.ValidationError as error:
        findings = error.errors(include_url=False, include_input=False)
        texts = []
        for finding in findings[:MAX_FINDINGS]:
            place = ".".join(str(part) for part in finding["loc"]) or "body"
            texts.append(f"{place}: {finding['msg']}")
        more = len(findings) - len(texts)
        if more > 0:
            texts.append(f"and {more} more")
        raise refusals.bad_request("; ".join(texts)) from error


def for_target(body: bytes) -> bytes:
    """Returns a completion's body as the target gets it.

    The answer is always asked for as a stream, so that it can be resumed
    and continued; the router's own extension is left out.
    """
    raw_by_field = _RAW_FIELDS.decode(body)
    for name in _OWN_FIELDS:
        raw_by_field.pop(name, None)
    raw_by_field["stream"] = _TRUE
    return msgspec.json.encode(raw_by_field)


__all__ = [
    "ChatBody",
    "ChatMessage",
    "CompletionBody",
    "for_target",
    "parse",
]
