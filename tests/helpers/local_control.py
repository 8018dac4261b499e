"""A leader that entries call without a connection."""

from __future__ import annotations

import asyncio

from lycheering import clock
from lycheering.control.direct import load_aggregator
from lycheering.entry import control_client
from lycheering.limits import allowance_hub
from lycheering.limits import allowance_terms
from lycheering.telemetry import counters
from lycheering.wire import messages


class LocalControl:
    """Passes the calls of all entries to one leader.

    Attributes:
        is_reachable: Whether calls are answered.
        delay_s: Time until a call about allowances is answered.
        aggregator: What the leader knows of loads, limits and streams.
        term: The term of the leader.
        rule: How much teams may exceed their allowances.
        find_terms: Returns the rate and the burst of a team.
        allowances: Grants parts of allowances.
    """

    def __init__(self):
        self.is_reachable = True
        self.delay_s = 0.0
        self.term = 0
        self.rule = allowance_terms.AllowanceRule(2.0, 0.1, 200.0)
        self.find_terms = lambda team: None
        self.change_leader()

    def change_leader(self):
        self.aggregator = load_aggregator.LoadAggregator(clock.Clock())
        self.term += 1
        self.allowances = allowance_hub.AllowanceHub(
            self.rule, counters.Counters()
        )

    async def call(self, message, timeout_ms):
        if not self.is_reachable:
            raise control_client.ControlUnavailableError("not reachable")
        if isinstance(message, messages.StreamExchange):
            return self.aggregator.streams.handle(message)
        if isinstance(message, messages.AllowanceExchange):
            await asyncio.sleep(self.delay_s)
            return self.allowances.handle(
                message, self.find_terms, self.term, clock.Clock().now_ms()
            )
        return self.aggregator.handle_exchange(message)


__all__ = ["LocalControl"]
