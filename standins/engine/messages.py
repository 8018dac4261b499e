"""The bodies that the engine takes and answers."""

from __future__ import annotations

import msgspec
import xxhash

from standins import answers
from standins.engine import cache


class ImageUrl(msgspec.Struct):
    """Where an image is."""

    url: str


class Part(msgspec.Struct):
    """Text or an image within a message."""

    text: str = ""
    image_url: ImageUrl | None = None

    def as_text(self) -> str:
        """Returns the text, or one that stands for the image."""
        if self.image_url is None:
            return self.text
        digest = xxhash.xxh3_128(self.image_url.url.encode()).hexdigest()
        return f"image:{digest}"


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str | list[Part]

    def content_text(self) -> str:
        """Returns the content as one text."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.as_text() for part in self.content)


class CompletionRequest(msgspec.Struct):
    """A request for a completion of either shape.

    Attributes:
        model: Name of the model or of a loaded adapter.
        messages: The chat, for a chat completion.
        prompt: The prompt, for a plain completion.
        max_tokens: Number of tokens in the whole answer.
        stream: Whether the answer is streamed.
        cache_salt: Salt of every piece.
        cache_salts: One salt for each piece.
        priority: Smaller values are served first.
        continue_from: Number of leading tokens to leave out.
        pieces: The prompt, cut by the caller.
    """

    model: str
    messages: list[Message] = []
    prompt: str = ""
    max_tokens: int = 16
    stream: bool = False
    cache_salt: str = ""
    cache_salts: list[str] | None = None
    priority: int = 0
    continue_from: int = 0
    pieces: list[str] | None = None

    def prompt_text(self) -> str:
        """Returns the text that the engine continues."""
        if not self.messages:
            return self.prompt
        return answers.chat_prompt(
            (message.role, message.content_text()) for message in self.messages
        )

    def finding(self) -> str:
        """Returns what is wrong with the request, or an empty string."""
        if self.max_tokens < 1:
            return "max_tokens is below 1"
        if not 0 <= self.continue_from <= self.max_tokens:
            return "continue_from is outside the answer"
        if not self.prompt_text():
            return "the prompt is empty"
        if self.pieces is None:
            count = len(cache.cut_prompt(self.prompt_text()))
        elif "".join(self.pieces) != self.prompt_text():
            return "pieces do not make up the prompt"
        else:
            count = len(self.pieces)
        if self.cache_salts is not None and len(self.cache_salts) != count:
            return f"cache_salts has not one entry for each of {count} pieces"
        return ""


class Order(msgspec.Struct):
    """An order to load something or to change role.

    Attributes:
        kind: `load_weights`, `load_adapter` or `set_role`.
        fence: Fencing number of the giver.
        model: Name of the model.
        version: Version of the weights.
        adapter: Name of the adapter.
        role: The new role.
        outcome: What became of the order; in the record only.
    """

    kind: str
    fence: int = 0
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    outcome: str = ""


class BlockName(msgspec.Struct):
    """A block to be imported."""

    block: str
    parent: str = ""
    salt: str = ""


class ExportRequest(msgspec.Struct):
    """Blocks to be put into the store of kept blocks."""

    blocks: list[str]


class ImportRequest(msgspec.Struct):
    """Blocks to be fetched from the store of kept blocks."""

    blocks: list[BlockName]
    weights_version: str = ""


class Faults(msgspec.Struct):
    """Faults to be shown from now on; absent fields stay as they are."""

    events_lag_ms: float | None = None
    events_loss: float | None = None
    load_lag_ms: float | None = None
    stall: bool | None = None
    seed: int | None = None


class Load(msgspec.Struct):
    """How busy the engine was some time ago."""

    incarnation: str
    model: str
    weights_version: str
    adapters: list[str]
    role: str
    loading: str
    running: int
    queued: int
    slots: int
    cached_blocks: int
    capacity_blocks: int
    age_ms: float = 0


__all__ = [
    "BlockName",
    "CompletionRequest",
    "ExportRequest",
    "Faults",
    "ImportRequest",
    "Load",
    "Message",
    "Order",
]
