"""What all requests of one agent share."""

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
    from lycheering.cache import heat as heats
    from lycheering.cache import held as held_states
    from lycheering.cache import index as indexes
    from lycheering.cache import life
    from lycheering.fleet import holder as holders
    from lycheering.limits import cost as costs
    from lycheering.limits import width as widths
    from lycheering.settings import model
    from lycheering.targets import api as targets_api
    from lycheering.telemetry import counters as counting


SLOTS_PER_RESERVED_SLOT = 4  # one slot of so many is kept for other teams


@dataclasses.dataclass(frozen=True)
class Context:
    """The parts that every request of an agent uses.

    Attributes:
        settings: The agent's settings.
        wire: The inner protocol's settings.
        subject: The target, as options are asked for.
        clock: The process's clock.
        counters: The process's counters.
        holder: The fleet view.
        driver: The way to the target.
        state: The target's state.
        index: What the target has cached.
        ages: How long the target keeps it.
        heat: How often that is used.
        held: What the target has cached, by the levels of prompts.
        cost: What requests cost there.
        admission: The queue.
        desk: Orders that run at most once.
        widths: The demand for each prefix.
        leavers: Targets of the same model that left.
        mover: Moves kept KV cache in and out.
        order_lock: Held while an order is in flight to a target that
            refuses old fencing numbers.
    """

    settings: model.AgentSettings
    wire: model.WireSettings
    subject: view.Subject
    clock: clocks.Clock
    counters: counting.Counters
    holder: holders.ViewHolder
    driver: targets_api.TargetDriver
    state: target_state.TargetState
    index: indexes.BlockIndex
    eviction_age: life.EvictionAge
    piece_heat: heats.PieceHeat
    held_levels: held_states.HeldLevels
    cost: costs.CostModel
    admission: admissions.Admission
    order_registry: order_registries.OrderRegistry
    prefix_demand: widths.WidthMeter
    peer_departures: departures.PeerDepartures
    kv_transfer: kv_transfers.KvTransfer | None = None
    order_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    @property
    def is_engine(self) -> bool:
        """Whether the target is a model engine."""
        return self.settings.kind == "engine"

    def clear_cache_state(self) -> None:
        """Forgets what the target cached under its weights before.

        The target's own event that tells of it comes later.
        """
        self.index.clear(self.state.weights_version)
        self.held_levels.clear()

    def refresh_limits(self) -> None:
        """Puts the fleet's limits in force."""
        fleet = self.holder.fleet
        max_running = min(
            fleet.integer("limits.max_running", self.subject),
            self.state.slots,
        )
        window = limits_api.PREFILL_WINDOW if self.is_engine else max_running
        limits = limits_api.Limits(
            max_running,
            fleet.integer("limits.max_queued", self.subject),
            window,
            max_running // SLOTS_PER_RESERVED_SLOT,
        )
        if limits == self.admission.limits:
            self.admission.advance()
        else:
            self.admission.change_limits(limits)
        self.order_registry.retention_ms = fleet.number(
            "orders.retention_ms", self.subject
        )


__all__ = ["Context"]
