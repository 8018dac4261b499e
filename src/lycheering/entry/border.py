"""The validated bodies that callers send."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Literal

import msgspec
import pydantic

from lycheering.cache import prompt_text
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


class ImageUrl(pydantic.BaseModel):
    """Where an image is, or the image itself as a data URL.

    Attributes:
        url: The URL.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    url: Annotated[str, pydantic.Field(min_length=1)]


class TextPart(pydantic.BaseModel):
    """Text within a message.

    Attributes:
        type: Tells the kinds of parts apart.
        text: The text.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    type: Literal["text"]
    text: str

    def as_text(self) -> str:
        """Returns the text."""
        return self.text


class ImagePart(pydantic.BaseModel):
    """An image within a message.

    Attributes:
        type: Tells the kinds of parts apart.
        image_url: The image.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    type: Literal["image_url"]
    image_url: ImageUrl

    def as_text(self) -> str:
        """Returns the text that stands for the image."""
        return prompt_text.image_text(self.image_url.url)


ContentPart = Annotated[
    TextPart | ImagePart, pydantic.Field(discriminator="type")
]


class ChatMessage(pydantic.BaseModel):
    """One message of a chat.

    Attributes:
        role: Who speaks.
        content: What is said, whole or in parts.
        tool_calls: The calls of tools in the message.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    role: str
    content: str | tuple[ContentPart, ...] | None
    tool_calls: tuple[Any, ...] = ()

    def text(self) -> str:
        """Returns the message's text within the prompt."""
        content = self.content or ""
        if not isinstance(content, str):
            content = "".join(part.as_text() for part in content)
        return prompt_text.message_text(self.role, content, self.tool_calls)


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
        return "".join(message.text() for message in self.messages)

    def boundaries(self) -> tuple[int, ...]:
        """Returns where all messages but the last end."""
        ends = []
        end = 0
        for message in self.messages[:-1]:
            end += len(message.text())
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
    "ImagePart",
    "ImageUrl",
    "TextPart",
    "for_target",
    "parse",
]
