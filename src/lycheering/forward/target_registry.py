"""What an entry knows of each target that it sends requests to."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from lycheering.fleet import records
from lycheering.forward import prefix_heat
from lycheering.forward import read_rates
from lycheering.forward import target_state
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from lycheering import clock
    from lycheering.routes import records as route_records

MAX_UNSHARED_READS = 1_000


class TargetRegistry:
    """The targets of the view in force, with what this entry knows.

    Attributes:
        state_by_key: Each run of a target.
        heat: The share of the work that each prefix takes.
    """

    def __init__(self, time: clock.Clock) -> None:
        self.state_by_key: dict[str, target_state.TargetState] = {}
        self.heat = prefix_heat.PrefixHeat()
        self._clock = time
        self._states_by_service: dict[str, list[target_state.TargetState]] = {}
        self._rate_by_service: dict[str, read_rates.ServiceRate] = (
            collections.defaultdict(read_rates.ServiceRate)
        )
        self._stores: list[target_state.TargetState] = []
        self._unshared_reads: collections.deque[messages.PromptRead] = (
            collections.deque(maxlen=MAX_UNSHARED_READS)
        )

    def update(
        self,
        targets: Iterable[records.DirectTarget],
        service_by_name: dict[str, route_records.Service],
    ) -> None:
        """Takes over the targets of a newer view."""
        now_ms = self._clock.now_ms()
        states: dict[str, target_state.TargetState] = {}
        for target in targets:
            state = self.state_by_key.get(target.key)
            if state is None:
                service = service_by_name.get(target.service)
                state = target_state.TargetState(
                    target,
                    _cache_tokens(service),
                    now_ms,
                    self._rate_by_service[target.service],
                )
            elif state.target.version_by_model != target.version_by_model:
                state.cached.clear()
                state.is_version_doubtful = False
            state.target = target
            states[target.key] = state
        self.state_by_key = states
        self._states_by_service = {}
        self._stores = []
        for state in states.values():
            service = service_by_name.get(state.target.service)
            if service is not None and service.store is not None:
                self._stores.append(state)
            if state.target.state is records.TargetState.LIVE:
                self._states_by_service.setdefault(
                    state.target.service, []
                ).append(state)

    def read(
        self,
        state: target_state.TargetState,
        chains: Sequence[int],
        tokens: Sequence[int],
        read_tokens: int = 0,
        read_ms: float = 0.0,
    ) -> None:
        """Counts a prompt as read by a target, and tells other entries.

        Args:
            state: The target.
            chains: The chain of each part of the prompt.
            tokens: The length of each part.
            read_tokens: What the target read until the answer began.
            read_ms: How long it took.
        """
        state.cached.add(chains, tokens)
        state.rate.take(read_tokens, read_ms, self._clock.now_ms())
        if chains:
            self._unshared_reads.append(
                messages.PromptRead(
                    state.digest,
                    tuple(chains),
                    tuple(tokens),
                    read_tokens,
                    round(read_ms),
                )
            )

    def take_reads(self, most: int) -> tuple[messages.PromptRead, ...]:
        """Returns prompts read that other entries were not told of."""
        count = min(most, len(self._unshared_reads))
        return tuple(self._unshared_reads.popleft() for _ in range(count))

    def own_loads(self) -> tuple[messages.TargetLoad, ...]:
        """Returns what this entry has at each target where it has any."""
        return tuple(
            state.own_load()
            for state in self.state_by_key.values()
            if state.outstanding_by_id
        )

    def leaving(self) -> tuple[int, ...]:
        """Returns the digests of targets that are about to leave."""
        return tuple(
            state.digest
            for state in self.state_by_key.values()
            if state.is_leaving
        )

    def take_loads(self, reply: messages.LoadReply, now_ms: float) -> None:
        """Takes over what other entries have at targets and had read."""
        load_by_target = {load.target: load for load in reply.loads}
        state_by_digest = {
            state.digest: state for state in self.state_by_key.values()
        }
        for digest, state in state_by_digest.items():
            none = messages.TargetLoad(digest, 0, 0, 0)
            state.take_others(load_by_target.get(digest, none), now_ms)
        for digest in reply.leaving:
            if digest in state_by_digest:
                state_by_digest[digest].is_leaving = True
        for read in reply.reads:
            found = state_by_digest.get(read.target)
            if found is not None:
                found.cached.add(read.chains, read.tokens)
                found.rate.take(read.read_tokens, read.read_ms, now_ms)
            if found in self._stores:
                continue
            self.heat.count(read.chains[:-1], sum(read.tokens), now_ms)

    def of_service(self, service: str) -> list[target_state.TargetState]:
        """Returns the targets of a service that may get new work."""
        return self._states_by_service.get(service, [])

    def stores(self) -> list[target_state.TargetState]:
        """Returns the stores that answer."""
        return self._stores


def _cache_tokens(service: route_records.Service | None) -> int:
    if service is None:
        return 0
    if service.store is not None:
        return service.store.cache_tokens
    return service.engine.cache_tokens if service.engine is not None else 0


__all__ = ["TargetRegistry"]
