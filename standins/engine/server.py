"""The engine's HTTP interface."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
from typing import TYPE_CHECKING
from typing import Any
import uuid

import blacksheep
from blacksheep import client
import msgspec
import xxhash

from lycheering import clock
from standins import serving
from standins.engine import batch
from standins.engine import cache
from standins.engine import events
from standins.engine import generation
from standins.engine import kept_blocks
from standins.engine import messages
from standins.engine import orders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LOAD_SAMPLE_MS = 50
KEPT_LOADS = 400
SSE_TYPE = b"text/event-stream"
NDJSON_TYPE = b"application/x-ndjson"


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """The options of one engine.

    Attributes:
        model: Name of the model.
        weights_version: Version of the weights at the start.
        capacity_blocks: Number of blocks cached at most.
        timing: What the work costs.
        load_lag_ms: Age of the load that is reported.
        weight_store: URL of the weight store, if any.
        kv_store: URL of the store of kept blocks, if any.
        check_fencing: Whether old fencing numbers are refused.
        incarnation: Name of this life of the engine; drawn if empty.
    """

    model: str = "model"
    weights_version: str = "1"
    capacity_blocks: int = 200
    timing: batch.Timing = dataclasses.field(default_factory=batch.Timing)
    load_lag_ms: float = 200
    weight_store: str = ""
    kv_store: str = ""
    check_fencing: bool = False
    incarnation: str = ""


@dataclasses.dataclass(frozen=True)
class SampledLoad:
    """A load and when it was read."""

    load: messages.Load
    sampled_ms: float


class Engine:
    """One engine with its cache, its batch and its HTTP application.

    Attributes:
        settings: The options.
        clock: The clock.
        event_log: The cache events.
        prefix_cache: The cache.
        batch: The prompts and answers in work.
        desk: Carries out orders.
        kept: Exchanges blocks with the store of kept blocks.
        app: The HTTP application.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.clock = clock.Clock()
        incarnation = settings.incarnation or uuid.uuid4().hex[:12]
        self.event_log = events.EventLog(incarnation, self.clock)
        self.prefix_cache = cache.PrefixCache(
            settings.capacity_blocks, self.event_log, settings.weights_version
        )
        self.batch = batch.Batch(settings.timing, self.prefix_cache, self.clock)
        self.desk = orders.OrderDesk(
            orders.OrderState(settings.model),
            self.prefix_cache,
            settings.weight_store,
            settings.check_fencing,
        )
        self.kept = kept_blocks.KeptBlocks(
            settings.kv_store,
            self.prefix_cache,
            settings.timing.import_ms_per_piece,
            self.clock,
        )
        self.load_lag_ms = settings.load_lag_ms
        self._loads: collections.deque[SampledLoad] = collections.deque(
            maxlen=KEPT_LOADS
        )
        self._awake = asyncio.Event()
        self._awake.set()
        self.app = self._application()

    def _application(self) -> blacksheep.Application:
        app = blacksheep.Application()

        def add(method: str, path: str, handler: serving.Handler) -> None:
            serving.add_route(app, method, path, self._when_awake(handler))

        add("POST", "/v1/chat/completions", self.complete)
        add("POST", "/v1/completions", self.complete)
        add("GET", "/v1/streams/{request_id}", self.resume)
        add("DELETE", "/v1/streams/{request_id}", self.cancel)
        add("GET", "/cache/events", self.cache_events)
        add("GET", "/cache/blocks", self.cache_blocks)
        add("POST", "/cache/export", self.export_blocks)
        add("POST", "/cache/import", self.import_blocks)
        add("POST", "/orders", self.take_order)
        add("GET", "/load", self.load)
        add("GET", "/health", self.health)
        serving.add_route(app, "GET", "/admin/record", self.record)
        serving.add_route(app, "POST", "/admin/faults", self.set_faults)
        app.on_start += self._start
        app.on_stop += self._stop
        return app

    async def _start(self, app: blacksheep.Application) -> None:
        self._session = client.ClientSession()
        self.batch.start()
        self._sampler = asyncio.create_task(self._sample_load())

    async def _stop(self, app: blacksheep.Application) -> None:
        self._sampler.cancel()
        await self.batch.stop()
        await self._session.close()  # type: ignore[no-untyped-call]

    def _when_awake(self, handler: serving.Handler) -> serving.Handler:
        async def handle(request: blacksheep.Request) -> blacksheep.Response:
            await self._awake.wait()
            return await handler(request)

        return handle

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
        if body.model not in (self.desk.state.model, *self.desk.state.adapters):
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
            (b"X-Engine-Incarnation", self.event_log.incarnation.encode()),
            (b"X-Weights-Version", run.weights_version.encode()),
            (b"X-Prompt-Pieces", b"%d" % run.prompt_pieces),
            (b"X-Cached-Pieces", b"%d" % run.cached_pieces),
        ]

    def _stream(
        self, job: generation.Generation, from_seq: int
    ) -> blacksheep.Response:
        async def chunks() -> AsyncIterator[bytes]:
            async for chunk in job.sse_chunks(from_seq):
                if not self._awake.is_set():
                    await self._awake.wait()
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

    async def cache_events(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Streams the cache events."""
        from_seq = serving.query_int(request, "from_seq", 0)
        gone = asyncio.create_task(serving.Disconnect(request).wait())

        async def lines() -> AsyncIterator[bytes]:
            async for batch_of_lines in self.event_log.lines(from_seq):
                if gone.done():
                    return
                if self._awake.is_set():
                    yield batch_of_lines

        return serving.stream_response(NDJSON_TYPE, [], lines)

    async def cache_blocks(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Lists what is cached now."""
        return serving.json_response(
            {
                "incarnation": self.event_log.incarnation,
                "seq": self.event_log.seq,
                "weights_version": self.prefix_cache.weights_version,
                "blocks": list(self.prefix_cache.block_by_key.values()),
            }
        )

    async def export_blocks(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Puts blocks into the store of kept blocks."""
        raw = await request.read() or b""
        body = msgspec.json.decode(raw, type=messages.ExportRequest)
        exported = await self.kept.export(body.blocks, self._session)
        return serving.json_response({"exported": exported})

    async def import_blocks(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Fetches blocks from the store of kept blocks."""
        raw = await request.read() or b""
        body = msgspec.json.decode(raw, type=messages.ImportRequest)
        imported = await self.kept.fetch(
            body.blocks, body.weights_version, self._session
        )
        return serving.json_response({"imported": imported})

    async def take_order(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Carries out an order."""
        raw = await request.read() or b""
        order = msgspec.json.decode(raw, type=messages.Order)
        if order.kind not in orders.KINDS:
            return serving.error_response(400, "bad_request", order.kind)
        if not await self.desk.carry_out(order, self._session):
            highest = self.desk.state.highest_fence
            return serving.json_response({"highest_fence": highest}, 409)
        return serving.json_response(
            {
                "done": True,
                "weights_version": self.prefix_cache.weights_version,
                "adapters": self.desk.state.adapters,
                "role": self.desk.state.role,
            }
        )

    async def _sample_load(self) -> None:
        while True:
            self._loads.append(
                SampledLoad(self._load_now(), self.clock.now_ms())
            )
            await self.clock.sleep(LOAD_SAMPLE_MS)

    def _load_now(self) -> messages.Load:
        return messages.Load(
            incarnation=self.event_log.incarnation,
            model=self.desk.state.model,
            weights_version=self.prefix_cache.weights_version,
            adapters=list(self.desk.state.adapters),
            role=self.desk.state.role,
            running=self.batch.in_work,
            queued=len(self.batch.queue),
            slots=self.settings.timing.slots,
            cached_blocks=len(self.prefix_cache.block_by_key),
            capacity_blocks=self.settings.capacity_blocks,
        )

    async def load(self, request: blacksheep.Request) -> blacksheep.Response:
        """Reports the load as it was some time ago."""
        now_ms = self.clock.now_ms()
        chosen = self._loads[0]
        for sampled in self._loads:
            if now_ms - sampled.sampled_ms >= self.load_lag_ms:
                chosen = sampled
        chosen.load.age_ms = round(now_ms - chosen.sampled_ms, 1)
        return serving.json_response(chosen.load)

    async def health(self, request: blacksheep.Request) -> blacksheep.Response:
        """Tells that the engine serves."""
        return serving.json_response(
            {"incarnation": self.event_log.incarnation}
        )

    async def record(self, request: blacksheep.Request) -> blacksheep.Response:
        """Returns every run and order since the start."""
        return serving.json_response(
            {"runs": self.batch.runs, "orders": self.desk.record}
        )

    async def set_faults(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Changes the faults that are shown."""
        raw = await request.read() or b""
        faults = msgspec.json.decode(raw, type=messages.Faults)
        if faults.seed is not None:
            self.event_log.rng = random.Random(faults.seed)
        if faults.events_lag_ms is not None:
            self.event_log.lag_ms = faults.events_lag_ms
        if faults.events_loss is not None:
            self.event_log.loss = faults.events_loss
        if faults.load_lag_ms is not None:
            self.load_lag_ms = faults.load_lag_ms
        if faults.stall is True:
            self._awake.clear()
        elif faults.stall is False:
            self._awake.set()
        return serving.json_response(faults)


__all__ = ["Engine", "EngineSettings"]
