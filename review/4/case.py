"""The leader restarts while a control machine is replaced as planned."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))

import fleet as fleets  # noqa: E402
import platform_list  # noqa: E402

TEAMS = [{"name": "team-a", "keys": ["key-team-a"], "is_isolated": False}]
# how long the leader's machine has no power (node_kill, power leader: for_s)
POWER_OFF_S = 3.5
# from a loss to the next one, beside catch_up_s
CALM_S = 12.0
# a leader that has just lost its quorum may still answer for a moment
LOSS_S = 2 * fleets.CONTACT_S
# the bound of recovery is 12 s
READ_BACK_S = 25.0


def leader_of(fleet: fleets.Fleet) -> fleets.Machine:
    """Returns the machine that was elected last."""
    return fleet.machines[fleet.events("election_won")[-1][0]]


def replace_and_lose(
    fleet: fleets.Fleet, controls: list[fleets.Machine]
) -> None:
    """Replaces a machine as planned; then another one is lost for a while.

    Never more than one machine is lost at a time, and each has its time to
    catch up before the next is.
    """
    successor = fleet.machines["d"]
    successor.is_first_start = False
    fleet.start(successor)
    controls.append(successor)
    time.sleep(fleets.CATCH_UP_S + 1.0)
    leader = leader_of(fleet)
    leaving = next(
        machine for machine in controls if machine not in (leader, successor)
    )
    fleet.kill(leader)
    time.sleep(POWER_OFF_S)
    leader.is_first_start = False
    fleet.start(leader)
    time.sleep(fleets.CATCH_UP_S + fleets.CONTACT_S)
    leaving.end(signal.SIGTERM)
    controls.remove(leaving)
    fleet.record.add(f"{leaving.name} has ended after SIGTERM, as planned")
    time.sleep(CALM_S)
    newer = fleets.manifest(2, TEAMS)
    if not fleet.put_manifest(controls, newer, 10.0):
        raise fleets.NotRunError("version 2 was not acknowledged")
    lost = next(
        machine for machine in controls if machine not in (leader, successor)
    )
    fleet.kill(lost)
    controls.remove(lost)


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
        replace_and_lose(fleet, controls)
    elif not fleet.put_manifest(controls, fleets.manifest(2, TEAMS), 10.0):
        raise fleets.NotRunError("version 2 was not acknowledged")
    time.sleep(LOSS_S)
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
        for event in (
            "surplus_voter_removal_started",
            "member_change_finished",
        ):
            for name, line in fleet.events(event):
                record.add(f"log of {name}: {line}")
        fleet.close()
        listing.close()


if __name__ == "__main__":
    sys.exit(main())
