"""The trace of Tahanan Softworks."""

from __future__ import annotations

import dataclasses
import random

from bench.traces import calls

CLASSES = 12
SCHOOL_PIECES = 3
CLASS_PIECES = 2
LETTER_PIECES = 1
OPEN_LETTERS = 6
CONFIRMATION_DEADLINE_MS = 10_000
KINDS = ("letter", "check", "match", "confirmation")
KIND_WEIGHTS = (0.20, 0.50, 0.22, 0.08)


@dataclasses.dataclass(frozen=True)
class Shape:
    """What the calls of one kind have in common."""

    priority_class: str
    deadline_ms: int
    tail_chars: int
    max_tokens: int


SHAPE_BY_KIND = {
    "letter": Shape("brief", 15_000, 600, 24),
    "check": Shape("check", 2_000, 200, 8),
    "match": Shape("match", 5_000, 1_200, 32),
}


def team_names(settings: calls.TraceSettings) -> list[str]:
    """Returns the names of the schools."""
    return [f"school-{index + 1}" for index in range(settings.teams)]


def completion(
    settings: calls.TraceSettings,
    rng: random.Random,
    kind: str,
    arrival: calls.Arrival,
) -> calls.Call:
    """Returns a letter, a check or a match within a school's class."""
    team = arrival.team
    number = calls.draw_hot(settings, rng, arrival.at_ms, CLASSES)
    school_class = f"{team}/class-{number}"
    letter = f"{school_class}/letter-{rng.randrange(OPEN_LETTERS)}"
    shape = SHAPE_BY_KIND[kind]
    return calls.Call(
        call_id=arrival.call_id,
        at_ms=arrival.at_ms,
        team=arrival.team,
        priority_class=shape.priority_class,
        deadline_ms=shape.deadline_ms,
        model=settings.model,
        levels=(
            calls.Level(team, SCHOOL_PIECES, team),
            calls.Level(school_class, CLASS_PIECES, team),
            calls.Level(letter, LETTER_PIECES, team),
        ),
        tail=calls.filler_text(arrival.call_id, shape.tail_chars),
        max_tokens=shape.max_tokens,
        is_streamed=kind != "check" or rng.random() < 0.7,
    )


def confirmation(
    settings: calls.TraceSettings, arrival: calls.Arrival
) -> calls.Call:
    """Returns a pairing confirmation, which may not be repeated."""
    return calls.Call(
        call_id=arrival.call_id,
        at_ms=arrival.at_ms,
        team=arrival.team,
        priority_class="order",
        deadline_ms=CONFIRMATION_DEADLINE_MS,
        service=settings.service,
        service_path="/confirmations",
        tail=f"confirmation {arrival.call_id} of {arrival.team}",
        is_repeatable=False,
    )


def trace(settings: calls.TraceSettings) -> list[calls.Call]:
    """Returns the calls of the trace in order of time."""

    def draw(rng: random.Random, arrival: calls.Arrival) -> calls.Call:
        kind = rng.choices(KINDS, KIND_WEIGHTS)[0]
        if kind == "confirmation":
            return confirmation(settings, arrival)
        return completion(settings, rng, kind, arrival)

    return calls.draw_trace("tahanan", settings, team_names(settings), draw)


__all__ = ["team_names", "trace"]
