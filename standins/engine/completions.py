"""The engine's calls that generate, resume and cancel answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import blacksheep
import msgspec
import xxhash

from standins import serving
from standins.engine import cache
from standins.engine import generation
from standins.engine import messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from standins.engine import batch
    from standins.engine import orders

SSE_TYPE = b"text/event-stream"


class Completions:
    """Handles the calls about answers.

    Attributes:
        batch: The prompts and answers in work.
        state: The model and the adapters that are served.
        incarnation: Which life of the engine this is.
        awake: Set unless the engine is stalled.
    """

    def __init__(
        self,
        running_batch: batch.Batch,
        state: orders.OrderState,
        incarnation: str,
        awake: asyncio.Event,
    ) -> None:
        self.batch = running_batch
        self.state = state
        self.incarnation = incarnation
        self.awake = awake

    async def complete(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Generates an answer."""
        raw = await request.read() or b""
        request_id = serving.header_text(request, b"x-request-id")
        try:
            body = msgspec.json.decode(raw, type=messages.CompletionRequest)
        except msgspec.DecodeError as error:
            return serving.error_response(400, "bad_request", str(error))
        finding = body.finding()
        if not request_id:
            finding = "X-Request-Id is missing"
        if finding:
            return serving.error_response(400, "bad_request", finding)
        if body.model not in (self.state.model, *self.state.adapters):
            return serving.error_response(404, "model_not_found", body.model)
        job = self._generation(request, body, raw, request_id)
        self.batch.submit(job)
        self._follow(request, job)
        await job.wait_prefilled()
        if body.stream and job.prefilled:
            return self._stream(job, body.continue_from)
        await job.wait_ended()
        if job.run.outcome is not generation.Outcome.FINISHED:
            return serving.error_response(499, "cancelled", request_id)
        return self._whole(job)

    def _generation(
        self,
        request: blacksheep.Request,
        body: messages.CompletionRequest,
        raw: bytes,
        request_id: str,
    ) -> generation.Generation:
        prompt_text = body.prompt_text()
        pieces = body.pieces or cache.cut_prompt(prompt_text)
        salts = body.cache_salts or [body.cache_salt] * len(pieces)
        fence = serving.header_text(request, b"x-fence")
        run = generation.Run(
            request_id=request_id,
            method=request.path,
            body_digest=xxhash.xxh3_128(raw).hexdigest(),
            salt=salts[-1],
            salts=list(dict.fromkeys(salts)),
            model=body.model,
            prompt_pieces=len(pieces),
            fence=int(fence) if fence.isdigit() else None,
        )
        return generation.Generation(
            run,
            prompt_text,
            pieces[: cache.cacheable_count(pieces)],
            salts,
            body.max_tokens,
            body.continue_from,
            body.priority,
            request.path.endswith("/chat/completions"),
        )

    def _follow(
        self, request: blacksheep.Request, job: generation.Generation
    ) -> None:
        """Counts the connection as a reader until its client goes."""
        self.batch.add_reader(job)
        gone = asyncio.create_task(serving.Disconnect(request).wait())
        gone.add_done_callback(lambda _: self.batch.drop_reader(job))

    def _headers(self, job: generation.Generation) -> list[tuple[bytes, bytes]]:
        run = job.run
        return [
            (b"X-Engine-Incarnation", self.incarnation.encode()),
            (b"X-Weights-Version", run.weights_version.encode()),
            (b"X-Prompt-Pieces", b"%d" % run.prompt_pieces),
            (b"X-Cached-Pieces", b"%d" % run.cached_pieces),
        ]

    def _stream(
        self, job: generation.Generation, from_seq: int
    ) -> blacksheep.Response:
        async def chunks() -> AsyncIterator[bytes]:
            async for chunk in job.sse_chunks(from_seq):
                if not self.awake.is_set():
                    await self.awake.wait()
                yield chunk
            if job.run.outcome is not generation.Outcome.FINISHED:
                raise ConnectionAbortedError("the answer was given up")

        return serving.stream_response(SSE_TYPE, self._headers(job), chunks)

    def _whole(self, job: generation.Generation) -> blacksheep.Response:
        run = job.run
        kind = "chat.completion" if job.is_chat else "text_completion"
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if job.is_chat:
            choice["message"] = {"role": "assistant", "content": job.text()}
        else:
            choice["text"] = job.text()
        piece = cache.PIECE_CHARS
        usage = {
            "prompt_tokens": run.prompt_pieces * piece,
            "completion_tokens": run.tokens_sent,
            "prompt_tokens_details": {
                "cached_tokens": run.cached_pieces * piece
            },
        }
        response = serving.json_response(
            {
                "id": run.request_id,
                "object": kind,
                "model": run.model,
                "choices": [choice],
                "usage": usage,
            }
        )
        for name, value in self._headers(job):
            response.add_header(name, value)
        return response

    async def resume(self, request: blacksheep.Request) -> blacksheep.Response:
        """Streams the rest of a running or lately finished answer."""
        request_id = serving.route_text(request, "request_id")
        job = self.batch.by_request_id.get(request_id)
        if job is None or job.run.outcome is generation.Outcome.CANCELLED:
            return serving.error_response(404, "unknown_stream", request_id)
        from_seq = serving.query_int(request, "from_seq", job.first_token)
        if from_seq < job.first_token:
            return serving.error_response(
                409, "not_generated", f"starts at {job.first_token}"
            )
        self._follow(request, job)
        await job.wait_prefilled()
        return self._stream(job, from_seq)

    async def cancel(self, request: blacksheep.Request) -> blacksheep.Response:
        """Gives a running answer up."""
        request_id = serving.route_text(request, "request_id")
        job = self.batch.by_request_id.get(request_id)
        if job is None:
            return serving.error_response(404, "unknown_stream", request_id)
        self.batch.cancel(job)
        return serving.json_response({"outcome": job.run.outcome})


__all__ = ["Completions"]
