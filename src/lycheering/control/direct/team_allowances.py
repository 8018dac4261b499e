"""Answers entries that draw on the allowances of teams, on the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.limits import allowance_hub
from lycheering.limits import allowance_terms

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import machine
    from lycheering.routes import api as route_api
    from lycheering.telemetry import counters
    from lycheering.wire import messages


class TeamAllowances:
    """Grants parts of the allowances that the table in force names."""

    def __init__(
        self,
        state: machine.ControlMachine,
        rule: allowance_terms.AllowanceRule,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        """Creates a part that has granted nothing.

        Args:
            state: The replicated state, which holds the table in force.
            rule: How much teams may exceed their allowances.
            time: The clock.
            counts: The counters of the process.
        """
        self._state = state
        self._clock = time
        self._hub = allowance_hub.AllowanceHub(rule, counts)
        self._table: route_api.RouteTable | None = None
        self._terms_by_team: dict[str, tuple[float, float]] = {}

    def begin_term(self, term: int) -> None:
        """Lets the buckets fill from now on, if this term is new.

        Args:
            term: The term of this leader.
        """
        self._hub.begin_term(term, self._clock.now_ms())

    def handle(
        self, exchange: messages.AllowanceExchange, term: int
    ) -> messages.AllowanceReply:
        """Answers an entry.

        Args:
            exchange: The entry's message.
            term: The term of this leader.
        """
        table = self._state.fleet.route_table
        if table is not self._table:
            self._table = table
            self._terms_by_team = {
                team.name: (team.rate_per_s, team.burst)
                for team in (table.teams if table is not None else ())
                if team.has_allowance
            }
        return self._hub.handle(
            exchange, self._terms_by_team.get, term, self._clock.now_ms()
        )


__all__ = ["TeamAllowances"]
