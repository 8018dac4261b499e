"""Orders prompts at engines, and tells what is read before a prompt.

Engines admit more urgent requests first and read long prompts in pieces, so a
request does not wait for all that is queued at its engine.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lycheering.limits import recent_work

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.forward import target_state
    from lycheering.routes import api as route_api

# an objective that is longer than this many times the shortest one of the
# same service leaves time to wait for others
RELAXED_RATIO = 1.5
# Engines read prompts in pieces. A piece that is being read is finished first,
# however urgent the next prompt is.
PIECE_TOKENS = 2_048
# half-life of the rate at which urgent prompts come
OVERTAKING_HALF_LIFE_MS = 1_000.0
MAX_OVERTAKING = 0.75
OVERTAKING_INTERVAL_MS = 50.0


class Overtaking:
    """The part of the engines' time that goes to urgent prompts.

    A less urgent prompt waits for the urgent ones that come after it as well,
    as if its engine were slower by this part. The entry knows what it sends
    itself, and takes it that the other entries send as much.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._computed_ms = -math.inf
        self._rate = recent_work.RecentWork(OVERTAKING_HALF_LIFE_MS)

    def record(self, uncached_tokens: int, now_ms: float) -> None:
        """Records an urgent prompt that is sent to an engine."""
        self._rate.add("", 1.0, float(uncached_tokens), now_ms)

    def share(
        self,
        entry_count: int,
        tokens_per_ms: Callable[[], float],
        now_ms: float,
    ) -> float:
        """Returns the part of the engines' time that goes to urgent prompts.

        It is up to 50 ms old, as there may be many engines.

        Args:
            entry_count: Number of entries.
            tokens_per_ms: Returns what all engines together read in a
                millisecond.
            now_ms: The current time.
        """
        if now_ms - self._computed_ms < OVERTAKING_INTERVAL_MS:
            return self._share
        self._computed_ms = now_ms
        self._rate.decay(now_ms)
        used = self._rate.total_slots() * entry_count
        rate = tokens_per_ms()
        self._share = min(MAX_OVERTAKING, used / rate) if rate > 0 else 0.0
        return self._share


class PromptOrder:
    """The levels at which engines get the requests of a route table.

    Ranks that the operator gave to routes and teams go first. Among requests
    of the same rank, those that have little time before their objective go
    before those that can wait.
    """

    def __init__(self, table: route_api.RouteTable) -> None:
        """Reads the ranks and the objectives of a route table.

        Args:
            table: The route table in force.
        """
        priorities = {route.priority for route in table.routes}
        priorities |= {
            team.priority for team in table.teams if team.priority is not None
        }
        self._rank_by_priority = {
            priority: rank for rank, priority in enumerate(sorted(priorities))
        }
        self._shortest_by_service: dict[str, float] = {}
        for route in table.routes:
            if route.objective_ms <= 0:
                continue
            for share in route.shares:
                shortest_ms = self._shortest_by_service.get(
                    share.service, route.objective_ms
                )
                self._shortest_by_service[share.service] = min(
                    shortest_ms, route.objective_ms
                )
        self._first_by_service: dict[str, int] = {}
        for route in table.routes:
            for share in route.shares:
                level = self.level(route.priority, route, share.service)
                first = self._first_by_service.get(share.service, level)
                self._first_by_service[share.service] = min(first, level)

    def level(self, priority: int, route: route_api.Route, service: str) -> int:
        """Returns the level of a request; smaller ones are read first.

        Args:
            priority: Priority of the request, of its team or its route.
            route: Its route.
            service: The service that it is sent to.
        """
        rank = self._rank_by_priority.get(priority, priority)
        shortest_ms = self._shortest_by_service.get(service, 0.0)
        is_relaxed = (
            not route.objective_ms
            or route.objective_ms > RELAXED_RATIO * shortest_ms
        )
        return 2 * rank + is_relaxed

    def first_level(self, service: str) -> int:
        """Returns the most urgent level of the routes of a service."""
        return self._first_by_service.get(service, 0)


def tokens_ahead(
    state: target_state.TargetState, now_ms: float, *, is_first: bool
) -> int:
    """Returns the prompt tokens that a target reads before a new request.

    Args:
        state: The target.
        now_ms: The current time.
        is_first: Whether the request is of the most urgent level there, so
            that it waits for others of that level only, and for the piece of
            a less urgent prompt that is being read.
    """
    tokens = state.pending_prefill_tokens() + state.other_prefill_tokens(now_ms)
    if not is_first:
        return tokens
    first_tokens = state.first_prefill_tokens(now_ms)
    return first_tokens + min(PIECE_TOKENS, max(0, tokens - first_tokens))


__all__ = ["Overtaking", "PromptOrder", "tokens_ahead"]
