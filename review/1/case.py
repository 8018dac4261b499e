"""One control machine is replaced, and then another one loses its disk."""

from __future__ import annotations

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))

import fleet as fleets  # noqa: E402
import platform_list  # noqa: E402

TEAMS = [{"name": "team-a", "keys": ["key-team-a"], "is_isolated": False}]
# the successor starts so long after the loss (replace_core: x)
SUCCESSOR_S = 0.5
# a lost disk comes back so much later, as on the site (after_ack_wipe: for_s)
WIPED_S = 3.0
# from then on all machines are back; the bound of recovery is 12 s
READ_BACK_S = 40.0


def find_follower(fleet: fleets.Fleet) -> fleets.Machine:
    """Returns a founding control machine that does not lead."""
    leader = fleet.events("election_won")[-1][0]
    return next(
        machine
        for machine in fleet.machines.values()
        if machine.name in ("a", "b", "c") and machine.name != leader
    )


def lose_two(fleet: fleets.Fleet, controls: list[fleets.Machine]) -> None:
    """Replaces a control machine for good, then takes a disk of another."""
    lost = find_follower(fleet)
    fleet.kill(lost)
    controls.remove(lost)
    time.sleep(SUCCESSOR_S)
    successor = fleet.machines["d"]
    successor.is_first_start = False
    fleet.start(successor)
    controls.append(successor)
    # the limit of fault_tolerance: the lost machine stops counting once its
    # successor has had this time
    time.sleep(fleets.CATCH_UP_S + 1.0)
    leader = fleet.events("election_won")[-1][0]
    wiped = next(
        machine
        for machine in controls
        if machine.name not in (leader, successor.name)
    )
    newer = fleets.manifest(2, TEAMS)
    if not fleet.put_manifest([wiped, *controls], newer, 10.0):
        raise fleets.NotRunError("version 2 was not acknowledged")
    fleet.kill(wiped)
    fleet.wipe(wiped)
    time.sleep(WIPED_S)
    wiped.is_first_start = False
    fleet.start(wiped)


def is_read_back(
    fleet: fleets.Fleet, controls: list[fleets.Machine], version: int
) -> bool:
    """Returns whether any control machine tells the version in time."""
    until_s = time.monotonic() + READ_BACK_S
    while time.monotonic() < until_s:
        for machine in controls:
            found = fleet.read_version(machine)
            if found is not None:
                return found >= version
        time.sleep(0.5)
    return False


def run(fleet: fleets.Fleet) -> int:
    """Plays the case and returns its exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    controls = [
        fleet.add(name, number, "control")
        for number, name in enumerate("abc", 1)
    ]
    fleet.add("d", 4, "control")
    fleet.set_seeds(controls)
    for machine in controls:
        fleet.start(machine)
    if not fleet.put_manifest(controls, fleets.manifest(1, TEAMS), 30.0):
        raise fleets.NotRunError("version 1 was not acknowledged")
    time.sleep(fleets.CONTACT_S)
    if has_trouble:
        lose_two(fleet, controls)
    elif not fleet.put_manifest(controls, fleets.manifest(2, TEAMS), 10.0):
        raise fleets.NotRunError("version 2 was not acknowledged")
    if is_read_back(fleet, controls, 2):
        fleet.record.add("held: the newest manifest was read back")
        return fleets.EXIT_HELD
    fleet.record.add("broken: the acknowledged manifest does not come")
    return fleets.EXIT_BROKEN


def main() -> int:
    """Returns 1 if the rule was broken, 0 if it held, 2 if it did not run."""
    record = fleets.Record(HERE / "record.txt")
    fleet = fleets.Fleet(record)
    listing = platform_list.PlatformList(
        f"{fleet.network}.250", fleets.LIST_PORT
    )
    try:
        return run(fleet)
    except (fleets.NotRunError, OSError, StopIteration) as error:
        record.add(f"not run: {error!r}")
        return fleets.EXIT_NOT_RUN
    finally:
        fleet.close()
        listing.close()


if __name__ == "__main__":
    sys.exit(main())
