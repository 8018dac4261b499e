"""The components and settings that all requests of an agent share."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.fleet import view
from lycheering.limits import admission as admissions
from lycheering.limits import api as limits_api

if TYPE_CHECKING:
    from lycheering import clock as clocks
    from lycheering.agent import kv_transfer as kv_transfers
    from lycheering.agent import order_registry as order_registries
    from lycheering.agent import peer_departures as departures
    from lycheering.agent import target_state
    from lycheering.cache import block_index
    from lycheering.cache import cached_levels as cache_levels
    from lycheering.cache import eviction_age as eviction_ages
    from lycheering.cache import piece_uses as use_counters
    from lycheering.fleet import view_holder
    from lycheering.limits import cost_model as cost_models
    from lycheering.limits import prefix_width
    from lycheering.limits import target_rate as target_rates
    from lycheering.settings import model
    from lycheering.targets import api as targets_api
    from lycheering.telemetry import counters as counting


# one slot out of this many is reserved for other teams
SLOTS_PER_RESERVED_SLOT = 4


@dataclasses.dataclass(frozen=True)
class Context:
    """The components that the requests of one agent share.

    Attributes:
        settings: The agent's settings.
        wire: The settings of the protocol between the fleet's processes.
        subject: The target as the subject of option look-ups.
        clock: The process's clock.
        counters: The process's counters.
        holder: Holds the fleet view.
        driver: Sends requests to the target.
        state: The target's state as last reported.
        index: The KV cache blocks that the target has cached.
        eviction_age: The age at which the target evicts blocks.
        piece_uses: How often prompt pieces are used.
        cached_levels: How much of a prompt the target has cached or
            is about to cache, by the prompt's level keys.
        cost_model: Estimates the time that requests take at the target.
        admission: The queue in front of the target.
        rate: The rate limit that the target names; all its requests go
            through this agent.
        order_registry: The orders received, each of which runs at most once.
        prefix_width_controller: Computes how many targets each prefix needs.
        peer_departures: Recent departures of other targets of the same
            model.
        kv_transfer: Imports from and exports to the KV store; None without a
            store.
        order_lock: Held while an order is in flight to a target that
            rejects old fencing numbers.
    """

    settings: model.AgentSettings
    wire: model.WireSettings
    subject: view.Subject
    clock: clocks.Clock
    counters: counting.Counters
    holder: view_holder.ViewHolder
    driver: targets_api.TargetDriver
    state: target_state.TargetState
    index: block_index.BlockIndex
    eviction_age: eviction_ages.EvictionAge
    piece_uses: use_counters.PieceUseCounter
    cached_levels: cache_levels.CachedLevels
    cost_model: cost_models.CostModel
    admission: admissions.TargetAdmission
    rate: target_rates.TargetRate
    order_registry: order_registries.OrderRegistry
    prefix_width_controller: prefix_width.PrefixWidthController
    peer_departures: departures.PeerDepartures
    kv_transfer: kv_transfers.KvTransfer | None = None
    order_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    @property
    def is_engine(self) -> bool:
        """Whether the target is a model engine."""
        return self.settings.kind == "engine"

    def clear_cache_state(self) -> None:
        """Forgets the blocks that were cached under the previous weights.

        The target's own cache event for the change arrives later.
        """
        self.index.switch_weights(self.state.weights_version)
        self.cached_levels.clear()

    def refresh_limits(self) -> None:
        """Applies the limits and retention time from the fleet view."""
        fleet = self.holder.fleet
        max_running = min(
            fleet.integer("limits.max_running", self.subject),
            self.state.slots,
        )
        window = (
            limits_api.DEFAULT_MAX_PREFILLING if self.is_engine else max_running
        )
        limits = limits_api.Limits(
            max_running,
            fleet.integer("limits.max_queued", self.subject),
            window,
            max_running // SLOTS_PER_RESERVED_SLOT,
        )
        if limits == self.admission.limits:
            self.admission.start_eligible()
        else:
            self.admission.set_limits(limits)
        self.order_registry.retention_ms = fleet.number(
            "orders.retention_ms", self.subject
        )


__all__ = ["Context"]
