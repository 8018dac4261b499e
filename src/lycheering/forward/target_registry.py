"""The states of all targets that this entry sends requests to."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from lycheering.fleet import records
from lycheering.forward import prefill_rates
from lycheering.forward import prefix_load
from lycheering.forward import prompt_order
from lycheering.forward import target_state
from lycheering.limits import rate_reporter
from lycheering.limits import recent_rate
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from lycheering import clock
    from lycheering.limits import target_rate
    from lycheering.routes import records as route_records

MAX_UNSHARED_PREFILLS = 1_000
PREFILL_HALF_LIFE_MS = 6_000.0
GAP_HALF_LIFE_MS = 6_000.0
MAX_GAP_ROUTES = 1_000
# mean age of what another entry heard, after two exchanges
SHARED_REPORT_AGE_MS = 100.0


class TargetRegistry:
    """The targets of the view in force and their states.

    Attributes:
        state_by_key: State of each run of a target.
        prefix_load: Load of each prompt prefix.
        rate_reporter: Shares the rate limits of targets with other entries.
    """

    def __init__(self, time: clock.Clock) -> None:
        self.state_by_key: dict[str, target_state.TargetState] = {}
        self.prefix_load = prefix_load.PrefixLoad()
        self.rate_reporter = rate_reporter.RateReporter(time)
        self._clock = time
        self._live_by_service: dict[str, list[target_state.TargetState]] = {}
        self._rate_by_service: dict[str, prefill_rates.ServicePrefillRate] = (
            collections.defaultdict(prefill_rates.ServicePrefillRate)
        )
        self._prefill_by_service: dict[str, recent_rate.RecentMean] = (
            collections.defaultdict(
                lambda: recent_rate.RecentMean(PREFILL_HALF_LIFE_MS)
            )
        )
        self._work_ms_by_service: dict[str, recent_rate.RecentMean] = (
            collections.defaultdict(
                lambda: recent_rate.RecentMean(target_state.WORK_HALF_LIFE_MS)
            )
        )
        self._overtaking_by_service: dict[str, prompt_order.Overtaking] = (
            collections.defaultdict(prompt_order.Overtaking)
        )
        self._gap_by_route: dict[str, recent_rate.RecentMean] = {}
        self._stores: list[target_state.TargetState] = []
        self._unshared_prefills: collections.deque[messages.PromptRead] = (
            collections.deque(maxlen=MAX_UNSHARED_PREFILLS)
        )

    def update(
        self,
        targets: Iterable[records.DirectTarget],
        service_by_name: dict[str, route_records.Service],
    ) -> None:
        """Adopts the targets of a newer view.

        Args:
            targets: The records of all targets.
            service_by_name: The services of the route table.
        """
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
                    self.rate_reporter.share,
                    self._work_ms_by_service[target.service],
                )
            elif state.target.version_by_model != target.version_by_model:
                state.cache.clear()
                state.has_version_mismatch = False
            state.target = target
            states[target.key] = state
        self.state_by_key = states
        self._live_by_service = {}
        self._stores = []
        for state in states.values():
            service = service_by_name.get(state.target.service)
            if service is not None:
                state.max_connections = service.max_connections
                if service.store is not None:
                    self._stores.append(state)
            if state.target.state is records.TargetState.LIVE:
                self._live_by_service.setdefault(
                    state.target.service, []
                ).append(state)

    def record_prefill(
        self,
        state: target_state.TargetState,
        prefix_hashes: Sequence[int],
        tokens: Sequence[int],
        prefill_tokens: int = 0,
        prefill_ms: float = 0.0,
        work_percent: float | None = None,
    ) -> None:
        """Records that a target has prefilled a prompt.

        The other entries learn of it with the next exchange of loads.

        Args:
            state: The target.
            prefix_hashes: Hash of each prefix of the prompt, shortest first.
            tokens: Number of tokens in each part of the prompt.
            prefill_tokens: Tokens that the target prefilled until the answer
                started, those of the prompts before it included; 0 if unknown.
            prefill_ms: How long that, or the work on a request without a
                prompt, would have taken at the usual pace.
            work_percent: How long work takes at the target, as the answer
                says; None if it does not.
        """
        state.cache.add(prefix_hashes, tokens)
        state.prefill_rate.observe(
            prefill_tokens, prefill_ms, self._clock.now_ms()
        )
        if not prefill_tokens and prefill_ms > 0:
            state.work_ms.add(prefill_ms, self._clock.now_ms())
        if prefix_hashes or work_percent is not None:
            self._unshared_prefills.append(
                messages.PromptRead(
                    state.digest,
                    tuple(prefix_hashes),
                    tuple(tokens),
                    prefill_tokens,
                    round(prefill_ms),
                    round(work_percent or 0),
                )
            )

    def record_selection(self, service: str, uncached_tokens: int) -> None:
        """Records the prefill that a selected target expects of a request."""
        self._prefill_by_service[service].add(
            uncached_tokens, self._clock.now_ms()
        )

    def record_urgent_prompt(self, service: str, uncached_tokens: int) -> None:
        """Records that a prompt of the most urgent level is sent."""
        self._overtaking_by_service[service].record(
            uncached_tokens, self._clock.now_ms()
        )

    def overtaking(self, service: str) -> float:
        """Returns the part of a service's engines that urgent prompts take."""
        now_ms = self._clock.now_ms()
        return self._overtaking_by_service[service].share(
            self.rate_reporter.share.entry_count,
            lambda: sum(
                state.tokens_per_ms(now_ms)
                for state in self.live_targets(service)
            ),
            now_ms,
        )

    def mean_prefill_tokens(self, service: str) -> float:
        """Returns the mean prefill of recent requests to a service."""
        return self._prefill_by_service[service].mean(self._clock.now_ms())

    def record_gap(self, route: str, gap_ms: float) -> None:
        """Records the longest gap between events of a complete stream.

        Args:
            route: Name of its route.
            gap_ms: The gap, at the usual pace of the target.
        """
        if len(self._gap_by_route) >= MAX_GAP_ROUTES:
            # routes come and go, and a mean is soon learned again
            self._gap_by_route.clear()
        mean = self._gap_by_route.setdefault(
            route, recent_rate.RecentMean(GAP_HALF_LIFE_MS)
        )
        mean.add(gap_ms, self._clock.now_ms())

    def mean_gap_ms(self, route: str) -> float:
        """Returns the mean of the longest gap in a route's recent streams."""
        mean = self._gap_by_route.get(route)
        return mean.mean(self._clock.now_ms()) if mean is not None else 0.0

    def take_unshared_prefills(
        self, max_count: int
    ) -> tuple[messages.PromptRead, ...]:
        """Removes and returns recorded prompts that were not shared yet.

        Args:
            max_count: Largest number of prompts to return.
        """
        count = min(max_count, len(self._unshared_prefills))
        return tuple(self._unshared_prefills.popleft() for _ in range(count))

    def rate_by_target(self) -> dict[int, target_rate.TargetRate]:
        """Returns the rate limit of each target, by digest of its key."""
        return {
            state.digest: state.rate for state in self.state_by_key.values()
        }

    def own_loads(self) -> tuple[messages.TargetLoad, ...]:
        """Returns this entry's load at each target that has requests of it."""
        return tuple(
            state.own_load()
            for state in self.state_by_key.values()
            if state.in_flight_by_id
        )

    def shutting_down_digests(self) -> tuple[int, ...]:
        """Returns the digests of targets that announced their shutdown."""
        return tuple(
            state.digest
            for state in self.state_by_key.values()
            if state.is_shutting_down
        )

    def apply_loads(self, reply: messages.LoadReply, now_ms: float) -> None:
        """Applies the loads and prefilled prompts of other entries."""
        load_by_target = {load.target: load for load in reply.loads}
        state_by_digest = {
            state.digest: state for state in self.state_by_key.values()
        }
        for digest, state in state_by_digest.items():
            no_load = messages.TargetLoad(digest, 0, 0, 0)
            state.update_other_load(load_by_target.get(digest, no_load), now_ms)
        for digest in reply.leaving:
            if digest in state_by_digest:
                state_by_digest[digest].is_shutting_down = True
        for read in reply.reads:
            source = state_by_digest.get(read.target)
            if source is not None:
                source.cache.add(read.chains, read.tokens)
                source.prefill_rate.observe(
                    read.read_tokens, read.read_ms, now_ms
                )
                if read.work_percent > 0:
                    source.pace.observe(
                        read.work_percent, SHARED_REPORT_AGE_MS, now_ms
                    )
            # the use of a store is not a request of its own
            if source in self._stores:
                continue
            self.prefix_load.record(read.chains[:-1], sum(read.tokens), now_ms)

    def live_targets(self, service: str) -> list[target_state.TargetState]:
        """Returns the targets of a service that may get new requests."""
        return self._live_by_service.get(service, [])

    def stores(self) -> list[target_state.TargetState]:
        """Returns the targets that are KV cache stores."""
        return self._stores


def _cache_tokens(service: route_records.Service | None) -> int:
    if service is None:
        return 0
    if service.store is not None:
        return service.store.cache_tokens
    return service.engine.cache_tokens if service.engine is not None else 0


__all__ = ["TargetRegistry"]
