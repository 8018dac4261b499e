"""The trace of the Mavazi Trend Consortium."""

from __future__ import annotations

import random

from bench.traces import calls

ARCHIVES = 3
SEASONS = 4
ARCHIVE_PIECES = 4
SEASON_PIECES = 6
MEMBER_PIECES = 3
GUIDE_PIECES = 2
BRIEF_TAIL_CHARS = 1_500
TAG_TAIL_CHARS = 300
BRIEF_TOKENS = 64
TAG_TOKENS = 8
BRIEF_DEADLINE_MS = 30_000
TAG_DEADLINE_MS = 3_000
ORDER_DEADLINE_MS = 10_000
READ_DEADLINE_MS = 5_000
KINDS = ("brief", "tag_query", "order", "lookup")
KIND_WEIGHTS = (0.40, 0.40, 0.04, 0.16)


def team_names(settings: calls.TraceSettings) -> list[str]:
    """Returns the names of the Members."""
    return [f"member-{index + 1}" for index in range(settings.teams)]


def brief(
    settings: calls.TraceSettings,
    rng: random.Random,
    arrival: calls.Arrival,
) -> calls.Call:
    """Returns a Forecast Brief over an archive, a season and a Member."""
    archive = (
        f"archive-{calls.draw_hot(settings, rng, arrival.at_ms, ARCHIVES)}"
    )
    number = calls.draw_hot(settings, rng, arrival.at_ms, SEASONS)
    season = f"{archive}/season-{number}"
    return calls.Call(
        call_id=arrival.call_id,
        at_ms=arrival.at_ms,
        team=arrival.team,
        priority_class="brief",
        deadline_ms=BRIEF_DEADLINE_MS,
        model=settings.model,
        levels=(
            calls.Level(archive, ARCHIVE_PIECES),
            calls.Level(season, SEASON_PIECES),
            calls.Level(
                f"{season}/{arrival.team}", MEMBER_PIECES, arrival.team
            ),
        ),
        tail=calls.filler_text(arrival.call_id, BRIEF_TAIL_CHARS),
        is_chat=True,
        max_tokens=BRIEF_TOKENS,
    )


def tag_query(
    settings: calls.TraceSettings,
    rng: random.Random,
    arrival: calls.Arrival,
) -> calls.Call:
    """Returns a Tag Query under the Member's labelling guide."""
    return calls.Call(
        call_id=arrival.call_id,
        at_ms=arrival.at_ms,
        team=arrival.team,
        priority_class="tag_query",
        deadline_ms=TAG_DEADLINE_MS,
        model=settings.model,
        levels=(
            calls.Level(f"guide/{arrival.team}", GUIDE_PIECES, arrival.team),
        ),
        tail=calls.filler_text(arrival.call_id, TAG_TAIL_CHARS),
        max_tokens=TAG_TOKENS,
        is_streamed=rng.random() < 0.5,
    )


def service_call(
    settings: calls.TraceSettings,
    kind: str,
    arrival: calls.Arrival,
) -> calls.Call:
    """Returns a Commission Order or a Catalogue Read."""
    if kind == "lookup":
        return calls.Call(
            call_id=arrival.call_id,
            at_ms=arrival.at_ms,
            team=arrival.team,
            priority_class=kind,
            deadline_ms=READ_DEADLINE_MS,
            service=settings.service,
            service_path=f"/catalogue/{arrival.call_id}",
            method="GET",
        )
    return calls.Call(
        call_id=arrival.call_id,
        at_ms=arrival.at_ms,
        team=arrival.team,
        priority_class=kind,
        deadline_ms=ORDER_DEADLINE_MS,
        service=settings.service,
        service_path="/orders",
        tail=f"{kind} {arrival.call_id} of {arrival.team}",
        is_repeatable=False,
    )


def trace(settings: calls.TraceSettings) -> list[calls.Call]:
    """Returns the calls of the trace in order of time."""

    def draw(rng: random.Random, arrival: calls.Arrival) -> calls.Call:
        kind = rng.choices(KINDS, KIND_WEIGHTS)[0]
        if kind == "brief":
            return brief(settings, rng, arrival)
        if kind == "tag_query":
            return tag_query(settings, rng, arrival)
        return service_call(settings, kind, arrival)

    return calls.draw_trace("mavazi", settings, team_names(settings), draw)


__all__ = ["team_names", "trace"]
