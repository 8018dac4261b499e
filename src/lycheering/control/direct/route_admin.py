"""Commits route tables and weights versions, and reads tables back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.control import commands
from lycheering.routes import api as route_api

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import replica
    from lycheering.routes import records


class InvalidTableError(Exception):
    """A route table is invalid.

    Attributes:
        findings: All errors found in the table.
    """

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


class RouteAdmin:
    """Accepts route tables and weights versions on any control instance."""

    def __init__(self, group: replica.Replica, time: clock.Clock) -> None:
        self._group = group
        self._clock = time

    async def put_table(self, table: records.RouteTable, source: bytes) -> bool:
        """Activates a route table, unless the active one is as new.

        Args:
            table: The table.
            source: The document that the table was parsed from.

        Returns:
            Whether this call activated the table.

        Raises:
            InvalidTableError: If the table is invalid; nothing was changed.
            UnavailableError: If no leader was available; nothing was changed.
            OutcomeUnknownError: If the table may still be activated.
        """
        findings = route_api.check_table(table)
        if findings:
            raise InvalidTableError(findings)
        active = self._group.machine.fleet.route_table
        generation = active.cache_generation if active is not None else 0
        reply = await self._group.propose_via_leader(
            commands.PutRouteTable(table, source, generation)
        )
        if isinstance(reply, commands.Refused):
            raise InvalidTableError([reply.detail])
        return isinstance(reply, commands.Applied) and reply.changed

    async def name_weights(self, model: str, version: int) -> bool:
        """Sets the weights version that all engines of a model are to load.

        Returns:
            Whether the version is newer than the one set before.

        Raises:
            UnavailableError: If no leader was available; nothing was changed.
            OutcomeUnknownError: If the version may still be set.
        """
        reply = await self._group.propose_via_leader(
            commands.NameWeights(model, version, self._clock.wall_ms())
        )
        return isinstance(reply, commands.Applied) and reply.changed

    async def active_table_source(self) -> bytes:
        """Returns the document of the active table, empty if there is none.

        Raises:
            UnavailableError: If the newest table could not be determined.
        """
        await self._group.wait_until_current()
        return self._group.machine.route_table_source


__all__ = ["InvalidTableError", "RouteAdmin"]
