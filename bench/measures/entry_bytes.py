"""What an entry sends and gets besides requests, before many agents.

The agents are light ones in the same process. What an entry does to 940 agents
at 3.75 requests a second happens here to fewer, in proportion: a connection is
closed sooner and answers take less time, so that the same share of agents is
connected and busy. All agents are connected beforehand, as they are after some
minutes at that size.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from typing import TYPE_CHECKING

import zmq.asyncio

from bench.measures import capacity
from bench.measures import frame_meter
from lycheering import clock
from lycheering.entry import dispatch
from lycheering.entry import job as jobs
from lycheering.entry import refusals
from lycheering.entry import sinks
from lycheering.entry import target_access
from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.fleet import view_holder
from lycheering.retries import circuit_breaker
from lycheering.retries import crash_ledger
from lycheering.retries import prompt_quarantine
from lycheering.retries import retry_budget
from lycheering.routing import levels
from lycheering.routing import router
from lycheering.settings import model
from lycheering.telemetry import counters
from lycheering.wire import api
from lycheering.wire import byte_budget
from lycheering.wire import errors
from lycheering.wire import messages
from lycheering.wire import pool
from lycheering.wire import server
from lycheering.wire import sockets

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.measures import api as measures_api

AGENTS_AT_SIZE = 940
REQUESTS_PER_S = 3.75
ANSWER_MS = 27_000
CHUNKS_PER_FRAME = 4
FRAME_MS = 228
CHUNK = b"x" * 120
PREFIXES = 400
PIECE_CHARS = 4_000
LEVELS = 5
TEAM = "team-12345"
SIZES = (70, 100, 150)
WARM_UP_S = 15.0
SETTLE_S = 5.0
WATCH_S = 40.0
SEED = 1
DEADLINE_MS = 60_000
MODEL = "drafting"


class LightAgent(api.SessionHandler):
    """Answers requests with chunks at an even pace."""

    def __init__(self, link: api.Link, answer_ms: float) -> None:
        self.server = server.Server(
            link, capacity.HOST, self, messages.LoadReport
        )
        self._answer_ms = answer_ms
        self._tasks: set[asyncio.Task[None]] = set()
        self._served: list[server.Session] = []

    def serving(self) -> set[server.Session]:
        """Returns the sessions that wait for answers."""
        return set(self._served)

    async def handle(
        self, session: server.Session, envelope: messages.Envelope
    ) -> None:
        """Handles one frame."""
        message = envelope.message
        if isinstance(message, messages.CacheInquiry):
            report = messages.CacheReport(0, 0.0, 20.0, 0.0, 0.0)
            session.send(report, envelope.call_id)
        elif isinstance(message, messages.Submit):
            task = asyncio.create_task(self._answer(session, envelope.call_id))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(self, session: server.Session, call_id: int) -> None:
        self._served.append(session)
        try:
            session.send(messages.Accepted(0.0), call_id)
            started = messages.Started(200, sinks.EVENT_STREAM, 4, 2, "w1")
            session.send(started, call_id)
            next_seq = 0
            for _ in range(max(1, int(self._answer_ms / FRAME_MS))):
                await asyncio.sleep(FRAME_MS / 1e3)
                items = (CHUNK,) * CHUNKS_PER_FRAME
                session.send(messages.Chunks(next_seq, items), call_id)
                next_seq += CHUNKS_PER_FRAME
            session.send(messages.Finished(next_seq), call_id)
        except errors.PeerUnreachableError:
            return
        finally:
            self._served.remove(session)


class CountingSink(sinks.Sink):
    """Takes an answer and forgets it."""

    async def receive(self, items: tuple[bytes, ...]) -> None:
        """Takes the next chunks."""
        self.next_seq += len(items)

    async def finish(self) -> None:
        """Needs nothing."""


class LightFleet:
    """An entry's way to agents, and the agents.

    Attributes:
        tally: What went over the connections.
        targets: The way to the agents.
        failed: Requests that were not answered.
    """

    def __init__(self, agents: int, settings: model.WireSettings) -> None:
        self.tally = frame_meter.Tally()
        self.failed = 0
        self._count = agents
        self._scale = agents / AGENTS_AT_SIZE
        self._clock = clock.Clock()
        self._view = view_holder.ViewHolder()
        self._contexts = [sockets.new_context(), sockets.new_context()]
        link = self._link(self._contexts[0], messages.Role.ENTRY, settings)
        budget = byte_budget.ByteBudget(settings, self._clock)
        crashes = crash_ledger.CrashLedger(self._clock)
        self.targets = target_access.TargetAccess(
            self._clock,
            self._view,
            router.Router(self._view, self._clock, "domain-a"),
            pool.ConnectionPool(link, budget),
            budget,
            circuit_breaker.CircuitBreakers(self._clock),
            crashes,
            prompt_quarantine.PromptQuarantine(
                crashes,
                prompt_quarantine.QuarantineSettings(),
                self._clock,
                random.Random(),
                link.counters,
            ),
            link.counters,
            2 * settings.heartbeat_ms,
        )
        self._dispatcher = dispatch.Dispatcher(
            self.targets, retry_budget.RetryBudget(self._clock)
        )
        self._agents: list[LightAgent] = []
        self._meters: list[frame_meter.Meter] = []
        self._settings = settings

    def _link(
        self,
        context: zmq.asyncio.Context,
        role: messages.Role,
        settings: model.WireSettings,
    ) -> api.Link:
        return api.Link(
            context,
            api.Identity("peer", role, "domain-a"),
            settings,
            self._clock,
            self._view,
            counters.Counters(),
        )

    async def start(self) -> None:
        """Starts the agents and puts them into the entry's view."""
        for number in range(self._count):
            link = self._link(
                self._contexts[1], messages.Role.AGENT, self._settings
            )
            agent = LightAgent(link, ANSWER_MS * self._scale)
            await agent.server.start()
            meter = frame_meter.Meter(
                agent.server.port, capacity.HOST, self.tally
            )
            await meter.start()
            self._agents.append(agent)
            self._meters.append(meter)
            target = records.Target(
                f"target-{number:03}",
                records.TargetKind.ENGINE,
                "instance",
                capacity.HOST,
                meter.port,
                "incarnation",
                "domain-a",
                model=MODEL,
            )
            self._view.fleet.add_change(
                changes.TargetPut(target), by_operator=False
            )
        self.targets.budget.target_count = self._count
        await self.targets.connections.start()

    async def stop(self) -> None:
        """Ends everything."""
        await self.targets.connections.stop()
        for meter in self._meters:
            meter.stop()
        for agent in self._agents:
            await agent.server.stop()
        for context in self._contexts:
            context.destroy(linger=0)

    async def connect(self, duration_s: float) -> None:
        """Connects the entry to all agents, evenly over some time."""
        for target in self._view.fleet.target_by_name.values():
            self.targets.connections.get(api.agent_address(target))
            await asyncio.sleep(duration_s / self._count)

    async def ask(self, number: int, prefix: int) -> None:
        """Has one request answered."""
        prompt_levels = levels.from_declared_ends(
            f"{prefix:08}" * (LEVELS * PIECE_CHARS // 8),
            [PIECE_CHARS * (number + 1) for number in range(LEVELS)],
            model=MODEL,
            team=TEAM,
            shared_count=LEVELS - 1,
        )
        job = jobs.Job(
            f"request-{number}",
            "",
            TEAM,
            jobs.PriorityClass.BRIEF,
            5,
            self._clock.now_ms() + DEADLINE_MS,
            jobs.AnswerForm.COMPLETION,
            router.TargetRequirement(model=MODEL),
            "/v1/completions",
            stream=True,
            levels=prompt_levels,
        )
        try:
            await self._dispatcher.run(job, CountingSink())
        except refusals.RefusalError:
            self.failed += 1


async def measure(agents: int, settings: model.WireSettings) -> None:
    """Prints what goes between one entry and some agents."""
    fleet = LightFleet(agents, settings)
    await fleet.start()
    pace = asyncio.create_task(_keep_asking(fleet))
    try:
        await fleet.connect(WARM_UP_S)
        await asyncio.sleep(SETTLE_S)
        # each idle connection has its heartbeat once at least
        watch_s = max(
            WATCH_S, fleet.targets.budget.heartbeat_interval_ms() / 1e3
        )
        before = fleet.tally.copy()
        cpu_s = time.process_time()
        await asyncio.sleep(watch_s)
        spent_s = time.process_time() - cpu_s
        _print(agents, fleet, before, watch_s, spent_s)
    finally:
        pace.cancel()
        await asyncio.gather(pace, return_exceptions=True)
        await fleet.stop()


async def _keep_asking(fleet: LightFleet) -> None:
    source = random.Random(SEED)
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(source.expovariate(REQUESTS_PER_S))
            prefix = source.randrange(PREFIXES)
            group.create_task(fleet.ask(number, prefix))
            number += 1


def _print(
    agents: int,
    fleet: LightFleet,
    before: frame_meter.Tally,
    watch_s: float,
    cpu_s: float,
) -> None:
    now = fleet.tally
    parts = []
    control = 0.0
    for kind in sorted(now.bytes_by_kind):
        rate = (now.bytes_by_kind[kind] - before.bytes_by_kind[kind]) / watch_s
        count = now.frames_by_kind[kind] - before.frames_by_kind[kind]
        if kind != frame_meter.REQUEST:
            control += rate
        parts.append(f"{kind}={rate:.0f}B/s({count / watch_s:.2f}/s)")
    connections = fleet.targets.connections.connection_by_address.values()
    counted = fleet.targets.counters.value_by_name
    print(
        f"agents={agents} control={control:.0f}B/s {' '.join(parts)}"
        f" connected={sum(c.is_connected for c in connections)}"
        f" busy={sum(c.is_busy for c in connections)}"
        f" heartbeat_ms={fleet.targets.budget.heartbeat_interval_ms():.0f}"
        f" failed={fleet.failed} replaced={counted['wire.replaced']}"
        f" unanswered={counted['cache_inquiry.unanswered']}"
        f" over_budget={counted['cache_inquiry.over_budget']}"
        f" core_share_all={cpu_s / watch_s:.2f}",
        flush=True,
    )


def settings_of(
    agents: int, bytes_per_s: int, idle_close_ms: int
) -> model.WireSettings:
    """Returns the settings for a part of the fleet at its full size."""
    scaled_ms = max(1_000, int(idle_close_ms * agents / AGENTS_AT_SIZE))
    return model.WireSettings(
        idle_close_ms=min(scaled_ms, 30_000),
        agent_idle_close_ms=scaled_ms,
        control_bytes_per_s=bytes_per_s,
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and returns the exit code."""
    defaults = model.WireSettings()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--agents", type=int, nargs="+", default=SIZES)
    parser.add_argument(
        "--bytes-per-s", type=int, default=defaults.control_bytes_per_s
    )
    parser.add_argument(
        "--idle-close-ms", type=int, default=defaults.agent_idle_close_ms
    )
    parsed = parser.parse_args(arguments)
    for agents in parsed.agents:
        settings = settings_of(agents, parsed.bytes_per_s, parsed.idle_close_ms)
        asyncio.run(measure(agents, settings))
    return 0


def run(settings: measures_api.Settings) -> None:
    """Runs the measurement as a part of all of them."""
    del settings
    main([])


__all__ = ["main", "run"]

if __name__ == "__main__":
    main()
