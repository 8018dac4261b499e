"""One running answer and those who read it."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import msgspec

from standins import answers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence


class Outcome(enum.StrEnum):
    """How a run has ended, or that it goes on."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"


class Run(msgspec.Struct):
    """The engine's record of one request that it took.

    Attributes:
        request_id: The caller's id of the request.
        method: Path of the call.
        body_digest: Hash of the raw body.
        salt: Cache salt of the innermost piece.
        salts: The cache salts in use, outermost first.
        model: Name of the model.
        weights_version: Version of the weights that answered.
        cached_pieces: Pieces found in the cache.
        prompt_pieces: Pieces of the prompt.
        tokens_sent: Tokens generated.
        outcome: How the run ended.
        fence: Fencing number sent along, if any.
    """

    request_id: str
    method: str
    body_digest: str
    salt: str
    salts: list[str]
    model: str
    weights_version: str = ""
    cached_pieces: int = 0
    prompt_pieces: int = 0
    tokens_sent: int = 0
    outcome: Outcome = Outcome.RUNNING
    fence: int | None = None


class Generation:
    """An answer that is being generated.

    Attributes:
        run: The record of the request.
        answer: The tokens to be generated.
        max_tokens: Number of tokens in the whole answer.
        first_token: Position of the first token to be generated.
        generated: Position after the last token generated so far.
        priority: Smaller values are served first.
        pieces: The pieces of the prompt that may be cached.
        salts: One cache salt for each piece.
        is_chat: Whether the answer has the shape of a chat.
        prefilled: Whether the prompt has been processed.
        readers: Number of connections that read the answer.
        ended_ms: When the generation ended.
    """

    def __init__(
        self,
        run: Run,
        prompt_text: str,
        pieces: Sequence[str],
        salts: Sequence[str],
        max_tokens: int,
        continue_from: int = 0,
        priority: int = 0,
        is_chat: bool = True,
    ) -> None:
        self.run = run
        self.answer = answers.Answer(prompt_text)
        self.prompt_chars = len(prompt_text)
        self.max_tokens = max_tokens
        self.first_token = continue_from
        self.generated = continue_from
        self.priority = priority
        self.pieces = pieces
        self.salts = salts
        self.is_chat = is_chat
        self.prefilled = False
        self.readers = 0
        self.ended_ms = 0.0
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def is_running(self) -> bool:
        """Whether the generation is neither complete nor given up."""
        return self.run.outcome is Outcome.RUNNING

    def advance(self) -> None:
        """Generates one token."""
        if self.generated < self.max_tokens:
            self.generated += 1
        self.run.tokens_sent = self.generated - self.first_token
        self.wake_readers()

    @property
    def is_complete(self) -> bool:
        """Whether the last token has been generated."""
        return self.generated >= self.max_tokens

    def end(self, outcome: Outcome, now_ms: float) -> None:
        """Records the outcome and lets the readers finish."""
        self.run.outcome = outcome
        self.ended_ms = now_ms
        self.wake_readers()

    def wake_readers(self) -> None:
        """Lets every waiting reader look again."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def changed(self) -> None:
        """Waits for the next change."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter

    async def wait_prefilled(self) -> None:
        """Waits until the prompt is processed or the run has ended."""
        while self.is_running and not self.prefilled:
            await self.changed()

    async def wait_ended(self) -> None:
        """Waits until the run has ended."""
        while self.is_running:
            await self.changed()

    def text(self) -> str:
        """Returns the tokens generated so far."""
        return "".join(
            self.answer.token(index)
            for index in range(self.first_token, self.generated)
        )

    async def sse_chunks(self, from_seq: int) -> AsyncIterator[bytes]:
        """Yields the answer as server-sent events.

        The body ends without the final events when the run is given up.

        Args:
            from_seq: Position of the first token to be sent.
        """
        shape = ChunkShape(self)
        position = from_seq
        if position >= self.max_tokens:
            await self.wait_ended()
            if self.run.outcome is Outcome.FINISHED:
                yield shape.chunk(position, "", True) + DONE_EVENT
            return
        while True:
            if position < self.generated:
                lines = []
                while position < self.generated:
                    is_last = position + 1 == self.max_tokens
                    token = self.answer.token(position)
                    lines.append(shape.chunk(position, token, is_last))
                    position += 1
                if position == self.max_tokens:
                    lines.append(DONE_EVENT)
                yield b"".join(lines)
            if position == self.max_tokens or not self.is_running:
                return
            await self.changed()


DONE_EVENT = b"data: [DONE]\n\n"


class ChunkShape:
    """Encodes the chunks of one answer with little work for each.

    Attributes:
        head: JSON before the token.
        tail: JSON after the token.
        last_tail: JSON after the last token.
    """

    def __init__(self, generation: Generation) -> None:
        run = generation.run
        request_id = msgspec.json.encode(run.request_id).decode()
        model = msgspec.json.encode(run.model).decode()
        kind = "chat.completion.chunk"
        opening = '"delta":{"content":"'
        closing = '"}'
        if not generation.is_chat:
            kind = "text_completion"
            opening = '"text":"'
            closing = '"'
        self.head = (
            f'{{"id":{request_id},"object":"{kind}","model":{model},'
            f'"choices":[{{"index":0,{opening}'
        )
        self.tail = f'{closing},"finish_reason":null}}]}}\n\n'
        self.last_tail = f'{closing},"finish_reason":"length"}}]}}\n\n'

    def chunk(self, position: int, token: str, is_last: bool) -> bytes:
        """Returns one event of the stream."""
        tail = self.last_tail if is_last else self.tail
        return f"id: {position}\ndata: {self.head}{token}{tail}".encode()


__all__ = ["ChunkShape", "Generation", "Outcome", "Run"]
