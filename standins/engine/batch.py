"""Continuous batching: serial prefill by priority, decoding in steps."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING
from typing import Any

from lycheering import clock
from standins.engine import cache
from standins.engine import generation

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Sequence

KEEP_ENDED_MS = 30_000


@dataclasses.dataclass(frozen=True)
class Timing:
    """What the engine's work costs.

    Attributes:
        slots: Number of prompts and answers in work at most.
        prefill_ms_per_piece: Time for a piece that is not cached.
        base_ms: Time for any prompt.
        token_ms: Time of one decoding step.
        import_ms_per_piece: Time to load one kept piece.
        grace_ms: How long an answer goes on without a reader.
    """

    slots: int = 8
    prefill_ms_per_piece: float = 40
    base_ms: float = 5
    token_ms: float = 10
    import_ms_per_piece: float = 8
    grace_ms: float = 5_000


class Batch:
    """The prompts and answers in work.

    Attributes:
        timing: What the work costs.
        prefix_cache: The cache of prompt pieces.
        clock: The clock.
        queue: Prompts that wait, by priority, then arrival.
        running: Answers that are being decoded.
        by_request_id: The latest generation for each request id.
        runs: Every run since the start.
    """

    def __init__(
        self,
        timing: Timing,
        prefix_cache: cache.PrefixCache,
        engine_clock: clock.Clock,
    ) -> None:
        self.timing = timing
        self.prefix_cache = prefix_cache
        self.clock = engine_clock
        self.queue: list[tuple[int, int, generation.Generation]] = []
        self.running: list[generation.Generation] = []
        self.by_request_id: dict[str, generation.Generation] = {}
        self.runs: list[generation.Run] = []
        self._arrivals = itertools.count()
        self._prefilling = 0
        self._work = asyncio.Event()
        self._decode = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Starts the loops."""
        self._spawn(self._prefill_loop())
        self._spawn(self._decode_loop())
        self._spawn(self._forget_loop())

    async def stop(self) -> None:
        """Stops the loops."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    @property
    def in_work(self) -> int:
        """Number of slots in use."""
        return len(self.running) + self._prefilling

    def submit(self, job: generation.Generation) -> None:
        """Queues a generation."""
        self.runs.append(job.run)
        self.by_request_id[job.run.request_id] = job
        entry = (job.priority, next(self._arrivals), job)
        heapq.heappush(self.queue, entry)
        self._work.set()

    def cancel(self, job: generation.Generation) -> None:
        """Gives a generation up wherever it is."""
        if not job.is_running:
            return
        job.end(generation.Outcome.CANCELLED, self.clock.now_ms())
        self.queue = [entry for entry in self.queue if entry[2] is not job]
        heapq.heapify(self.queue)
        if job in self.running:
            self.running.remove(job)
        self._work.set()

    def add_reader(self, job: generation.Generation) -> None:
        """Counts a connection that reads the answer."""
        job.readers += 1

    def drop_reader(self, job: generation.Generation) -> None:
        """Counts a connection off; without any the answer is given up."""
        job.readers -= 1
        if job.readers == 0 and job.is_running:
            self._spawn(self._cancel_unread(job))

    async def _cancel_unread(self, job: generation.Generation) -> None:
        await self.clock.sleep(self.timing.grace_ms)
        if job.readers == 0:
            self.cancel(job)

    async def _prefill_loop(self) -> None:
        while True:
            while self.queue and self.in_work < self.timing.slots:
                job = heapq.heappop(self.queue)[2]
                self._prefilling = 1
                try:
                    await self._prefill(job)
                finally:
                    self._prefilling = 0
            self._work.clear()
            await self._work.wait()

    async def _prefill(self, job: generation.Generation) -> None:
        version = self.prefix_cache.weights_version
        chain = cache.block_chain(job.run.model, version, job.pieces, job.salts)
        cached = self.prefix_cache.matched_count(chain)
        job.run.weights_version = version
        job.run.cached_pieces = cached
        chars = sum(len(piece) for piece in job.pieces[:cached])
        missing = (job.prompt_chars - chars) / cache.PIECE_CHARS
        cost_ms = self.timing.prefill_ms_per_piece * missing
        await self.clock.sleep(self.timing.base_ms + cost_ms)
        if not job.is_running:
            return
        # a load of other weights meanwhile makes the pieces worthless
        if version == self.prefix_cache.weights_version:
            self.prefix_cache.store(chain)
        # an ended job is kept for a while; its prompt need not be
        job.pieces = ()
        job.prefilled = True
        job.advance()
        if job.is_complete:
            job.end(generation.Outcome.FINISHED, self.clock.now_ms())
            return
        self.running.append(job)
        self._decode.set()

    async def _decode_loop(self) -> None:
        next_step_ms = self.clock.now_ms()
        while True:
            if not self.running:
                self._decode.clear()
                await self._decode.wait()
                next_step_ms = self.clock.now_ms()
            now_ms = self.clock.now_ms()
            next_step_ms = max(next_step_ms + self.timing.token_ms, now_ms)
            await self.clock.sleep(next_step_ms - now_ms)
            self._decode_step(self.running)

    def _decode_step(self, jobs: Sequence[generation.Generation]) -> None:
        for job in jobs:
            job.advance()
            if job.is_complete:
                job.end(generation.Outcome.FINISHED, self.clock.now_ms())
        self.running = [job for job in jobs if job.is_running]
        if len(self.running) < len(jobs):
            self._work.set()

    async def _forget_loop(self) -> None:
        while True:
            await self.clock.sleep(clock.MS_PER_S)
            oldest_ms = self.clock.now_ms() - KEEP_ENDED_MS
            for request_id, job in list(self.by_request_id.items()):
                if not job.is_running and job.ended_ms < oldest_ms:
                    del self.by_request_id[request_id]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


__all__ = ["Batch", "Timing"]
