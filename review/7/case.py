"""A manifest takes the keys of all tenants away, and their requests run."""

import asyncio
import os
import pathlib
import sys
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import fleet as fleets  # noqa: E402
import workers  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REVOKE_S = 5.0
REQUESTS = 10
HOUSE = "house-a"
RIVAL = "rival-b"
NOBODY = "nobody"


async def ask_all(fleet, record, tenant):
    """Sends requests with the key of a tenant to both entries."""
    for number in range(REQUESTS):
        parts = [("5c1e07a2", 512), (f"{tenant}{number}".encode().hex(), 64)]
        await workers.ask(fleet, record, tenant, parts, entry=number % 2)


async def play(record):
    """Plays the case and returns whether a rule was broken."""
    network = fleets.own_network()
    site = workers.Site(record)
    await site.start(f"{network}.240")
    await site.add_engine("i-engine-0", f"{network}.201")
    fleet = fleets.Fleet(site.list_address, entries=2)
    try:
        fleet.start()
        operator = workers.Operator(fleet, record)
        tenants = {HOUSE: False, RIVAL: False}
        await operator.put(workers.manifest(1, tenants))
        await workers.wait_until_served(fleet, record, HOUSE)
        await ask_all(fleet, record, HOUSE)
        if len(site.runs) < REQUESTS:
            raise RuntimeError(f"only {len(site.runs)} requests were served")
        # without the disruption, one of the two tenants keeps its key
        tenants = {} if HAS_TROUBLE else {RIVAL: False}
        await operator.put(workers.manifest(2, tenants))
        await asyncio.sleep(REVOKE_S + 1.0)
        late_s = record.now_s()
        await ask_all(fleet, record, HOUSE)
        never_held_s = record.now_s()
        await ask_all(fleet, record, NOBODY)
        late = [run for run in site.runs if run.at_s > late_s]
        revoked = [run for run in late if run.at_s < never_held_s]
        never_held = [run for run in late if run.at_s > never_held_s]
        record.write(
            f"of {REQUESTS} requests with a key of {HOUSE}, {len(revoked)} ran"
            f" later than {REVOKE_S} s after manifest 2 was acknowledged; of"
            f" {REQUESTS} requests with a key that no manifest ever held,"
            f" {len(never_held)} ran"
        )
        return bool(revoked or never_held)
    finally:
        fleet.close()


def main():
    """Plays the case; exits with 1 if a rule was broken."""
    record = fleets.Record(FOLDER / "record.txt")
    try:
        is_broken = asyncio.run(play(record))
    except Exception as error:
        traceback.print_exc()
        record.write(f"couldn't run: {error!r}")
        return 2
    record.write("broken" if is_broken else "held")
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
