"""Orders on a route with `resumable` run twice when an answer is lost."""

import asyncio
import collections
import os
import pathlib
import sys
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import fleet as fleets  # noqa: E402
import web  # noqa: E402
import workers  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ORDERS = 60
# one of three workers loses one in four answers, for a while
LOSES_EACH = 4
LOSES_FOR_S = 5.0
HOUSE = "house-a"


def manifest():
    """Returns a manifest with a route of orders that has `resumable`."""
    document = workers.manifest(1, {HOUSE: False})
    document["services"].append(
        {
            "name": workers.PLAIN_SERVICE,
            "health_path": "/health",
            "max_connections": 96,
            "protocol": "h1",
            "tls": False,
        }
    )
    document["routes"].append(
        {
            "name": "r-orders",
            "host": workers.HOST,
            "path_prefix": "/orders/",
            "kind": "once",
            "timeout_ms": 1_500,
            "objective_ms": 300,
            "priority": 2,
            "service": workers.PLAIN_SERVICE,
            "max_sends": 2,
            "is_public": False,
            "sticky": False,
            "is_resumable": True,
        }
    )
    return document


async def order(fleet, record, number):
    """Sends an order and returns the answer."""
    attempt_id = f"{number:016x}"
    headers = {
        "Host": workers.HOST,
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": "1500",
        "Authorization": f"Bearer key-of-{HOUSE}",
    }
    answer = await web.call(
        fleet.entries[0].ip,
        fleet.caller_port,
        "POST",
        "/orders/2f",
        headers,
        b"x" * 600,
        timeout_s=1.5,
    )
    record.write(f"answer to {attempt_id}: {answer.status} {answer.error}")
    return answer


async def play(record):
    """Plays the case and returns whether the rule was broken."""
    network = fleets.own_network()
    site = workers.Site(record)
    await site.start(f"{network}.240")
    for number in range(3):
        worker = workers.PlainWorker(site, f"i-orders-{number}")
        await worker.start(f"{network}.{211 + number}")
    fleet = fleets.Fleet(site.list_address)
    try:
        fleet.start()
        await workers.Operator(fleet, record).put(manifest())
        number = 1
        while (await order(fleet, record, number)).status != 200:
            if number > 100:
                raise TimeoutError("no order is served")
            number += 1
            await asyncio.sleep(0.2)
        faulty = site.plain_workers[0]
        faulty.loses_each = LOSES_EACH if HAS_TROUBLE else 0
        until_s = record.now_s() + LOSES_FOR_S
        for number in range(1_000, 1_000 + ORDERS):
            if record.now_s() > until_s:
                faulty.loses_each = 0
            await order(fleet, record, number)
        await asyncio.sleep(1.0)
        run_count_by_id = collections.Counter(
            attempt_id
            for worker in site.plain_workers
            for attempt_id in worker.run_ids
        )
        twice = [item for item, count in run_count_by_id.items() if count > 1]
        record.write(
            f"{len(twice)} of {ORDERS} orders ran more than once, each sent"
            " once by its requester"
        )
        return bool(twice)
    finally:
        fleet.close()


def main():
    """Plays the case; exits with 1 if the rule was broken."""
    record = fleets.Record(FOLDER / "record.txt")
    try:
        is_broken = asyncio.run(play(record))
    except Exception as error:
        traceback.print_exc()
        record.write(f"couldn't run: {error!r}")
        return 2
    record.write("TWICE broken" if is_broken else "TWICE held")
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
