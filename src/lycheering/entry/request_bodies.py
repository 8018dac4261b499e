"""Validates the request bodies of completions."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Literal

import msgspec
import pydantic

from lycheering.cache import prompt_text
from lycheering.entry import refusals
from lycheering.routing import levels

MAX_LISTED_ERRORS = 5

_ROUTER_FIELDS = ("prefix_levels", "stream", "stream_options")
_RAW_FIELDS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_TRUE = msgspec.Raw(b"true")

LevelEnds = Annotated[
    tuple[Annotated[int, pydantic.Field(ge=1)], ...],
    pydantic.Field(max_length=levels.MAX_LEVELS),
]


class _Body(pydantic.BaseModel):
    """The fields that chat and plain completions have in common.

    Attributes:
        model: The requested model.
        stream: Whether the answer is sent as server-sent events.
        temperature: The sampling temperature; 0 is deterministic.
        seed: The sampling seed; with one, the answer is deterministic.
        n: The number of answers; only 1 is supported.
        prefix_levels: The ends of the nested prompt levels, in characters.
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
        """Whether repeated runs give the same answer."""
        return self.temperature == 0 or self.seed is not None

    def prompt_text(self) -> str:
        """Returns the prompt text, to which level ends refer."""
        raise NotImplementedError

    def message_ends(self) -> tuple[int, ...]:
        """Returns the ends of all parts but the last, in characters."""
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
    """The location of an image, or the image itself as a data URL.

    Attributes:
        url: The URL.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    url: Annotated[str, pydantic.Field(min_length=1)]


class TextPart(pydantic.BaseModel):
    """A text part of a message.

    Attributes:
        type: The discriminator of the part types.
        text: The text.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    type: Literal["text"]
    text: str

    def as_text(self) -> str:
        """Returns the text."""
        return self.text


class ImagePart(pydantic.BaseModel):
    """An image part of a message.

    Attributes:
        type: The discriminator of the part types.
        image_url: The image.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    type: Literal["image_url"]
    image_url: ImageUrl

    def as_text(self) -> str:
        """Returns the text that represents the image in a prompt."""
        return prompt_text.image_text(self.image_url.url)


ContentPart = Annotated[
    TextPart | ImagePart, pydantic.Field(discriminator="type")
]


class ChatMessage(pydantic.BaseModel):
    """One message of a chat.

    Attributes:
        role: The author's role.
        content: The content, as a text or in parts.
        tool_calls: The tool calls of the message.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    role: str
    content: str | tuple[ContentPart, ...] | None
    tool_calls: tuple[Any, ...] = ()

    def text(self) -> str:
        """Returns the message as text of the prompt."""
        content = self.content or ""
        if not isinstance(content, str):
            content = "".join(part.as_text() for part in content)
        return prompt_text.message_text(self.role, content, self.tool_calls)


class ChatBody(_Body):
    """The body of a chat completion.

    Attributes:
        messages: The messages of the chat so far.
    """

    messages: Annotated[
        tuple[ChatMessage, ...], pydantic.Field(min_length=1, max_length=1_000)
    ]

    def prompt_text(self) -> str:
        """Returns the text of all messages."""
        return "".join(message.text() for message in self.messages)

    def message_ends(self) -> tuple[int, ...]:
        """Returns the ends of all messages but the last, in characters."""
        ends = []
        end = 0
        for message in self.messages[:-1]:
            end += len(message.text())
            ends.append(end)
        return tuple(ends)


def parse_body(body: bytes, *, chat: bool) -> ChatBody | CompletionBody:
    """Parses the body of a completion.

    Args:
        body: The body as the caller sent it.
        chat: Whether it is a chat completion.

    Raises:
        RefusalError: If the body is invalid; lists the validation errors.
    """
    body_type = ChatBody if chat else CompletionBody
    try:
        return body_type.model_validate_json(body)
    except pydantic.ValidationError as error:
        validation_errors = error.errors(include_url=False, include_input=False)
        texts = []
        for validation_error in validation_errors[:MAX_LISTED_ERRORS]:
            location = (
                ".".join(str(part) for part in validation_error["loc"])
                or "body"
            )
            texts.append(f"{location}: {validation_error['msg']}")
        unlisted = len(validation_errors) - len(texts)
        if unlisted > 0:
            texts.append(f"and {unlisted} more")
        raise refusals.bad_request("; ".join(texts)) from error


def target_body(body: bytes) -> bytes:
    """Returns the body of a completion to send to the target.

    The target always streams its answer, so that it can be resumed and
    continued. Fields for the router only are removed.
    """
    raw_by_field = _RAW_FIELDS_DECODER.decode(body)
    for name in _ROUTER_FIELDS:
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
    "target_body",
    "parse_body",
]
