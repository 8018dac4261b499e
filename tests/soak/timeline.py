"""Begins and ends the faults of a schedule at their times."""

from __future__ import annotations

import time


def play(due, striker, watcher, on_restart):
    """Plays a schedule; returns once its last fault has ended.

    Args:
        due: The schedule.
        striker: Strikes the processes.
        watcher: Learns which processes are expected to be down.
        on_restart: Called with the name of each process started again.
    """
    start_s = time.monotonic()
    end_by_strike = {}
    moments = [(strike.at_ms, 1, strike) for strike in due]
    moments += [(strike.end_ms, 0, strike) for strike in due]
    for at_ms, begins, strike in sorted(moments, key=lambda m: m[:2]):
        time.sleep(max(0, start_s + at_ms / 1_000 - time.monotonic()))
        ends_process = strike.fault in ("kill", "stop")
        if begins:
            if ends_process:
                watcher.expect_down(strike.process)
            end_by_strike[strike] = striker.strike(
                strike.fault, strike.process, strike.directions
            )
            continue
        end_by_strike.pop(strike)()
        if ends_process:
            on_restart(strike.process)
            watcher.expect_up(strike.process)


__all__ = ["play"]
