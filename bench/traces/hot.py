"""A trace in which one prefix at a time takes most of the load."""

from __future__ import annotations

import functools
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


def brief(
    settings: calls.TraceSettings, rng: random.Random, arrival: calls.Arrival
) -> calls.Call:
    """Returns a Forecast Brief, most often under the season that is hot."""
    number = int(arrival.at_ms // settings.shift_ms) % SEASONS
    if rng.random() >= HOT_SHARE:
        number = rng.randrange(SEASONS)
    archive = f"archive-{number % mavazi.ARCHIVES}"
    season = f"{archive}/season-{number}"
    return calls.Call(
        call_id=arrival.call_id,
        at_ms=arrival.at_ms,
        team=arrival.team,
        priority_class="brief",
        deadline_ms=DEADLINE_MS,
        model=settings.model,
        levels=(
            calls.Level(archive, ARCHIVE_PIECES),
            calls.Level(season, SEASON_PIECES),
        ),
        tail=calls.filler_text(arrival.call_id, TAIL_CHARS),
        is_chat=True,
        max_tokens=MAX_TOKENS,
    )


def trace(settings: calls.TraceSettings) -> list[calls.Call]:
    """Returns the calls of the trace in order of time."""
    draw = functools.partial(brief, settings)
    teams = mavazi.team_names(settings)
    return calls.draw_trace("hot", settings, teams, draw)


__all__ = ["trace"]
