"""Text of an answer that looks like an id ends its stream."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import fleet as fleets  # noqa: E402
import web  # noqa: E402
import workers  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 6
PIECES = 8
HOUSE = "house-a"
NAME = "id" if HAS_TROUBLE else "number"


def answer_text(request):
    """Returns the pieces of an answer: a list of items in YAML.

    The answers of the first requests on connections are short.
    """
    if request.path.endswith("/short"):
        return ["pens:"]
    items = [
        f"- {NAME}: {number}\n  kind: pen" for number in range(2, PIECES + 1)
    ]
    return ["pens:", *items]


async def stream(fleet, record, number):
    """Asks twice on one connection; returns the second answer."""
    connection = web.Connection()
    await connection.open(fleet.entries[0].ip, fleet.caller_port)
    for path in ("/chat/short", "/chat/list"):
        parts = [("5c1e07a2", 512), (f"{number:04x}{len(path):04x}", 64)]
        headers = workers.request_headers(HOUSE, parts, 8_000)
        answer = await connection.call("POST", path, headers, b"x" * 600)
        record.write(
            f"answer to {headers['X-Attempt-Id']}: {answer.status}"
            f" {'whole' if answer.is_complete else 'not whole'},"
            f" {answer.body.count(b'id: ')} ids, {answer.error}"
        )
        if not path.endswith("/list") and not answer.is_complete:
            raise RuntimeError("a first request was not served")
    connection.close()
    return answer


async def play(record):
    """Plays the case and returns whether the rule was broken."""
    network = fleets.own_network()
    site = workers.Site(record)
    await site.start(f"{network}.240")
    await site.add_engine("i-engine-0", f"{network}.201")
    fleet = fleets.Fleet(site.list_address, entries=1)
    try:
        fleet.start()
        operator = workers.Operator(fleet, record)
        await operator.put(workers.manifest(1, {HOUSE: False}))
        await workers.wait_until_served(fleet, record, HOUSE)
        # all machines have been in touch for contact_ms
        await asyncio.sleep(4.0)
        site.answer_text = answer_text
        site.gap_s = 0.2
        streams = [
            asyncio.create_task(stream(fleet, record, number))
            for number in range(STREAMS)
        ]
        await asyncio.sleep(0.35)
        fleet.entries[0].send_signal(signal.SIGTERM)
        record.write("the entry gets SIGTERM")
        answers = await asyncio.gather(*streams)
        lost = sum(not answer.is_complete for answer in answers)
        record.write(
            f"{lost} of {STREAMS} kept connections ended without a complete"
            " answer to a request that a sound worker answered completely"
        )
        return lost > 3
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
    record.write("LOST broken" if is_broken else "LOST held")
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
