"""The calls that make up a trace, and the draws that traces share."""

from __future__ import annotations

import dataclasses
import functools
import random
from typing import TYPE_CHECKING

import msgspec
import xxhash

from standins import answers
from standins.engine import cache

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

CHAT_OVERHEAD_CHARS = len("system\n") + len("\n")
LARGE_TEAM_WEIGHTS = (8.0, 5.0, 3.0)
RANK_SKEW = 1.1


@dataclasses.dataclass(frozen=True)
class TraceSettings:
    """What a trace is drawn from.

    Attributes:
        seed: Seed of every draw.
        duration_ms: Time of the last arrival at most.
        rate_per_s: Mean number of arrivals.
        teams: Number of teams.
        shift_ms: How long a prefix stays hot.
        model: Name of the model.
        service: Name of the plain service.
        heavy_team: Index of a team with ten times its share, or -1.
    """

    seed: int = 1
    duration_ms: float = 20_000
    rate_per_s: float = 20
    teams: int = 8
    shift_ms: float = 10_000
    model: str = "model"
    service: str = "service"
    heavy_team: int = -1


@dataclasses.dataclass(frozen=True)
class Level:
    """One level of a nested prefix.

    Attributes:
        name: Unique name; the text follows from it.
        pieces: Length in cache pieces.
        team: The team that alone may reuse it; empty if all may.
    """

    name: str
    pieces: int
    team: str = ""


@functools.lru_cache(maxsize=4_096)
def filler_text(name: str, chars: int) -> str:
    """Returns text of a given length that is unique to its name."""
    words = []
    for index in range(chars // 16 + 1):
        digest = xxhash.xxh3_64(f"{name}/{index}".encode()).hexdigest()
        words.append(digest[:15])
    return " ".join(words)[:chars]


@dataclasses.dataclass(frozen=True)
class Call:
    """One call of one caller.

    Attributes:
        call_id: Unique name of the call within the trace.
        at_ms: When the caller sends it, from the start of the trace.
        team: The caller's team.
        priority_class: The class sent along.
        deadline_ms: Time allowed for the whole answer.
        model: Name of the model; empty for a service call.
        levels: The nested prefix, outermost first.
        tail: The call's own text after the prefix.
        is_chat: Whether the prompt is sent as a chat.
        max_tokens: Number of tokens in the answer.
        is_streamed: Whether the answer is streamed.
        service: Name of the plain service; empty for a completion.
        service_path: Path within the service.
        method: HTTP method.
        is_repeatable: Whether it may run more than once.
        is_deterministic: Whether a second run gives the same answer.
    """

    call_id: str
    at_ms: float
    team: str
    priority_class: str
    deadline_ms: int
    model: str = ""
    levels: tuple[Level, ...] = ()
    tail: str = ""
    is_chat: bool = False
    max_tokens: int = 0
    is_streamed: bool = True
    service: str = ""
    service_path: str = ""
    method: str = "POST"
    is_repeatable: bool = True
    is_deterministic: bool = False

    def level_texts(self) -> list[str]:
        """Returns the text of each level, as it stands in the prompt."""
        overhead = CHAT_OVERHEAD_CHARS if self.is_chat else 0
        return [
            filler_text(level.name, level.pieces * cache.PIECE_CHARS - overhead)
            for level in self.levels
        ]

    def prompt_text(self) -> str:
        """Returns the prompt that the engine sees."""
        texts = self.level_texts()
        if not self.is_chat:
            return "".join(texts) + self.tail
        pairs = [("system", text) for text in texts] + [("user", self.tail)]
        return answers.chat_prompt(pairs)

    def prefix_levels(self) -> list[int]:
        """Returns where each level ends in the prompt, outermost first."""
        ends = []
        end = 0
        for level in self.levels:
            end += level.pieces * cache.PIECE_CHARS
            ends.append(end)
        return ends

    def block_names(self) -> list[str]:
        """Returns a name for each piece that an engine may cache."""
        names = []
        prefix = "chat" if self.is_chat else "plain"
        for level in self.levels:
            prefix = f"{prefix}>{level.name}@{level.team}"
            names += [f"{prefix}#{index}" for index in range(level.pieces)]
        return names

    def expected_text(self) -> str:
        """Returns the whole answer that belongs to the prompt."""
        return answers.expected_answer(self.prompt_text(), self.max_tokens)

    def path(self) -> str:
        """Returns the path that the caller asks for."""
        if self.service:
            return f"/v1/services/{self.service}{self.service_path}"
        return "/v1/chat/completions" if self.is_chat else "/v1/completions"

    def body(self) -> bytes:
        """Returns the body that the caller sends."""
        if self.service:
            return self.tail.encode()
        body: dict[str, object] = {
            "model": self.model,
            "max_tokens": self.max_tokens,
            "stream": self.is_streamed,
            "prefix_levels": self.prefix_levels(),
        }
        if self.is_deterministic:
            body["temperature"] = 0
        if self.is_chat:
            messages = [
                {"role": "system", "content": text}
                for text in self.level_texts()
            ]
            messages.append({"role": "user", "content": self.tail})
            body["messages"] = messages
        else:
            body["prompt"] = self.prompt_text()
        return msgspec.json.encode(body)


def arrivals(settings: TraceSettings, rng: random.Random) -> list[float]:
    """Returns the arrival times, with exponential gaps."""
    times: list[float] = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(settings.rate_per_s) * 1_000
        if at_ms > settings.duration_ms:
            return times
        times.append(at_ms)


def draw_team(
    settings: TraceSettings, rng: random.Random, names: Sequence[str]
) -> str:
    """Draws a team; the first ones are large."""
    weights = [1.0] * len(names)
    weights[: len(LARGE_TEAM_WEIGHTS)] = LARGE_TEAM_WEIGHTS
    del weights[len(names) :]
    if settings.heavy_team >= 0:
        weights[settings.heavy_team] *= 10
    return rng.choices(names, weights)[0]


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One call to come, before it is drawn what it asks for.

    Attributes:
        call_id: Its id.
        at_ms: When it arrives.
        team: Who sends it.
    """

    call_id: str
    at_ms: float
    team: str


def draw_trace(
    name: str,
    settings: TraceSettings,
    teams: Sequence[str],
    draw: Callable[[random.Random, Arrival], Call],
) -> list[Call]:
    """Draws the calls of a trace in order of time.

    Args:
        name: Name of the trace, which its ids begin with.
        settings: What it is drawn from.
        teams: Names of the teams, the large ones first.
        draw: Returns what one arrival asks for.
    """
    rng = random.Random(f"{name}/{settings.seed}")
    drawn = []
    for index, at_ms in enumerate(arrivals(settings, rng)):
        call_id = f"{name}-{settings.seed}-{index}"
        team = draw_team(settings, rng, teams)
        drawn.append(draw(rng, Arrival(call_id, at_ms, team)))
    return drawn


def draw_hot(
    settings: TraceSettings, rng: random.Random, at_ms: float, count: int
) -> int:
    """Draws one of several prefixes; which one is hot shifts with time."""
    weights = [1 / (rank + 1) ** RANK_SKEW for rank in range(count)]
    rank = rng.choices(range(count), weights)[0]
    return (rank + int(at_ms // settings.shift_ms)) % count


__all__ = [
    "Arrival",
    "Call",
    "Level",
    "TraceSettings",
    "arrivals",
    "draw_hot",
    "draw_team",
    "draw_trace",
    "filler_text",
]
