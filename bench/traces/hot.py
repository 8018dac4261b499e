"""A trace in which one prefix at a time takes most of the load."""

from __future__ import annotations

import random

from bench.traces import calls
from bench.traces import mavazi

SEASONS = 12
HOT_SHARE = 0.75
ARCHIVE_PIECES = 4
SEASON_PIECES = 6
TAIL_CHARS = 1_200
MAX_TOKENS = 64
DEADLINE_MS = 10_000


def trace(settings: calls.TraceSettings) -> list[calls.Call]:
    """Returns the calls of the trace in order of time."""
    rng = random.Random(f"hot/{settings.seed}")
    teams = mavazi.team_names(settings)
    drawn = []
    for index, at_ms in enumerate(calls.arrivals(settings, rng)):
        call_id = f"hot-{settings.seed}-{index}"
        team = calls.draw_team(settings, rng, teams)
        number = int(at_ms // settings.shift_ms) % SEASONS
        if rng.random() >= HOT_SHARE:
            number = rng.randrange(SEASONS)
        archive = f"archive-{number % mavazi.ARCHIVES}"
        season = f"{archive}/season-{number}"
        drawn.append(
            calls.Call(
                call_id=call_id,
                at_ms=at_ms,
                team=team,
                priority_class="brief",
                deadline_ms=DEADLINE_MS,
                model=settings.model,
                levels=(
                    calls.Level(archive, ARCHIVE_PIECES),
                    calls.Level(season, SEASON_PIECES),
                ),
                tail=calls.filler_text(call_id, TAIL_CHARS),
                is_chat=True,
                max_tokens=MAX_TOKENS,
            )
        )
    return drawn


__all__ = ["trace"]
