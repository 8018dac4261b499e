"""Measures claimed and finished orders with real syncs, and their memory."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import tempfile
import time

import zmq.asyncio

from bench import fleet
from bench import processes
from lycheering import clock
from lycheering.control import commands
from lycheering.control import machine
from lycheering.entry import control_client
from lycheering.fleet import view_holder
from lycheering.settings import model
from lycheering.telemetry import counters
from lycheering.wire import api as wire_api
from lycheering.wire import messages
from lycheering.wire import pool

ORDERS = 6_000
IN_FLIGHT = 64
CALL_MS = 10_000.0
ANSWER_BYTES = 300
RETENTION_MS = 3_600_000
REQUIRED_PER_SECOND = 500
MEMORY_ORDERS = 50_000


@dataclasses.dataclass(frozen=True)
class Rate:
    """What claiming and finishing came to.

    Attributes:
        orders: Orders claimed and finished.
        per_second: Orders a second.
        p50_ms: Median time from claim to committed outcome.
        p99_ms: Time that 99 of 100 orders stay below.
    """

    orders: int
    per_second: float
    p50_ms: float
    p99_ms: float


def outcome(request_id: str) -> messages.OrderOutcome:
    """Returns an answer of the usual size."""
    body = b"x" * ANSWER_BYTES
    return messages.OrderOutcome(200, "application/json", body, request_id)


def claim(number: int) -> messages.OrderClaim:
    """Returns the claim of one order."""
    return messages.OrderClaim(
        f"team-{number % 16}",
        f"key-{number:032d}",
        "d" * 32,
        f"r{number:032d}",
        f"target-{number % 900}",
        "i" * 16,
        RETENTION_MS,
    )


async def run_orders(members: str) -> Rate:
    """Claims and finishes orders through the control instances.

    Args:
        members: The control instances as `instance@ip:port`.
    """
    context = zmq.asyncio.Context()
    view = view_holder.ViewHolder()
    time_source = clock.Clock()
    link = wire_api.Link(
        context,
        wire_api.Identity("bench", messages.Role.ENTRY, "domain-a"),
        model.WireSettings(),
        time_source,
        view,
        counters.Counters(),
    )
    connections = pool.ConnectionPool(link)
    settings = model.ControlSettings.model_validate({"members": members})
    caller = control_client.ControlClient(
        settings.members, link, connections, view
    )
    numbers = iter(range(ORDERS))
    took_ms: list[float] = []

    async def work() -> None:
        for number in numbers:
            began_ms = time_source.now_ms()
            reply = await caller.call(claim(number), CALL_MS)
            # a claim whose reply was late is sent again and not granted anew
            assert isinstance(reply, messages.OrderReply)
            finish = messages.OrderFinish(
                reply.order_id, outcome(f"r{number:032d}")
            )
            await caller.call(finish, CALL_MS)
            took_ms.append(time_source.now_ms() - began_ms)

    began_s = time.perf_counter()
    try:
        async with asyncio.TaskGroup() as group:
            for _ in range(IN_FLIGHT):
                group.create_task(work())
        took_s = time.perf_counter() - began_s
    finally:
        await connections.stop()
        context.destroy(linger=0)
    took_ms.sort()
    return Rate(
        ORDERS,
        ORDERS / took_s,
        took_ms[ORDERS // 2],
        took_ms[ORDERS * 99 // 100],
    )


def measure_rate() -> Rate:
    """Starts three control instances with disks and uses their ledger."""
    plan = fleet.FleetPlan(engines=0, entries=0, teams=("team-1",))
    with tempfile.TemporaryDirectory(dir=processes.ROOT) as folder:
        running = fleet.Fleet(plan, pathlib.Path(folder))
        try:
            running.start()
            return asyncio.run(run_orders(running.members()))
        finally:
            running.close()


def resident_bytes() -> int:
    """Returns the memory that this process holds now."""
    text = pathlib.Path("/proc/self/statm").read_text()
    return int(text.split()[1]) * 4_096


def memory_line() -> str:
    """Fills a ledger and returns what it takes."""
    filled = machine.ControlMachine()
    before = resident_bytes()
    for number in range(MEMORY_ORDERS):
        command = commands.ClaimOrder(claim(number), number)
        reply = filled.apply(2 * number + 1, commands.encode(command))
        answer = commands.decode_reply(reply)
        assert isinstance(answer, commands.OrderAnswer) and answer.order
        finish = commands.FinishOrder(
            answer.order.order_id, outcome(f"r{number:032d}"), number
        )
        filled.apply(2 * number + 2, commands.encode(finish))
    grown = resident_bytes() - before
    began_s = time.perf_counter()
    snapshot = filled.snapshot()
    took_ms = (time.perf_counter() - began_s) * 1_000
    return (
        f"measure=ledger_memory orders={MEMORY_ORDERS}"
        f" answer_bytes={ANSWER_BYTES} grown_mb={grown / 1e6:.1f}"
        f" snapshot_mb={len(snapshot) / 1e6:.1f} snapshot_ms={took_ms:.0f}"
    )


def main() -> None:
    """Prints the rate of orders and what a full ledger takes."""
    rate = measure_rate()
    verdict = "met" if rate.per_second >= REQUIRED_PER_SECOND else "missed"
    print(
        f"measure=orders orders={rate.orders} in_flight={IN_FLIGHT}"
        f" per_second={rate.per_second:.0f} p50_ms={rate.p50_ms:.1f}"
        f" p99_ms={rate.p99_ms:.1f} required={REQUIRED_PER_SECOND} {verdict}",
        flush=True,
    )
    print(memory_line(), flush=True)


__all__ = [
    "Rate",
    "claim",
    "main",
    "measure_rate",
    "memory_line",
    "outcome",
    "resident_bytes",
    "run_orders",
]

if __name__ == "__main__":
    main()
