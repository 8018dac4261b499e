"""The engine's HTTP interface."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
from typing import TYPE_CHECKING
import uuid

import blacksheep
from blacksheep import client
import msgspec

from lycheering import clock
from standins import serving
from standins.engine import batch
from standins.engine import cache
from standins.engine import completions
from standins.engine import events
from standins.engine import kept_blocks
from standins.engine import messages
from standins.engine import orders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LOAD_SAMPLE_MS = 50
KEPT_LOADS = 400
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
        awake: Set unless the engine is stalled.
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
        self.awake = asyncio.Event()
        self.awake.set()
        self.app = self._application()

    def _application(self) -> blacksheep.Application:
        app = serving.new_application()
        calls = completions.Completions(
            self.batch, self.desk.state, self.event_log.incarnation, self.awake
        )

        def add(method: str, path: str, handler: serving.Handler) -> None:
            serving.add_route(app, method, path, self._when_awake(handler))

        add("POST", "/v1/chat/completions", calls.complete)
        add("POST", "/v1/completions", calls.complete)
        add("GET", "/v1/streams/{request_id}", calls.resume)
        add("DELETE", "/v1/streams/{request_id}", calls.cancel)
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
        await self._session.close()

    def _when_awake(self, handler: serving.Handler) -> serving.Handler:
        async def handle(request: blacksheep.Request) -> blacksheep.Response:
            await self.awake.wait()
            return await handler(request)

        return handle

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
                if self.awake.is_set():
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
            loading=self.desk.state.loading,
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
            self.awake.clear()
        elif faults.stall is False:
            self.awake.set()
        return serving.json_response(faults)


__all__ = ["Engine", "EngineSettings"]
