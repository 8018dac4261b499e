"""Puts route tables and named weights in force and reads them back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.control import commands
from lycheering.routes import api as route_api

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import replica
    from lycheering.routes import records


class InvalidTableError(Exception):
    """A route table can't be put in force.

    Attributes:
        findings: Everything wrong with it.
    """

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


class RouteDesk:
    """Takes route tables and weights on any control instance."""

    def __init__(self, group: replica.Replica, time: clock.Clock) -> None:
        self._group = group
        self._clock = time

    async def put_table(self, table: records.RouteTable, source: bytes) -> bool:
        """Puts a route table in force, unless one as new is.

        Args:
            table: The table.
            source: What its sender sent.

        Returns:
            Whether it came in force by this.

        Raises:
            InvalidTableError: Nothing was done.
            UnavailableError: Nothing was done.
            OutcomeUnknownError: It may or may not take effect.
        """
        findings = route_api.findings_of(table)
        if findings:
            raise InvalidTableError(findings)
        reply = await self._group.propose_anywhere(
            commands.PutRouteTable(table, source)
        )
        if isinstance(reply, commands.Refused):
            raise InvalidTableError([reply.detail])
        return isinstance(reply, commands.Applied) and reply.changed

    async def name_weights(self, model: str, version: int) -> bool:
        """Names the weights that are wanted of a model.

        Returns:
            Whether they are newer than those named before.

        Raises:
            UnavailableError: Nothing was done.
            OutcomeUnknownError: It may or may not take effect.
        """
        reply = await self._group.propose_anywhere(
            commands.NameWeights(model, version, self._clock.wall_ms())
        )
        return isinstance(reply, commands.Applied) and reply.changed

    async def source(self) -> bytes:
        """Returns the table in force as it was sent; empty for none.

        Raises:
            UnavailableError: If it can't be known to be the newest.
        """
        await self._group.read_anywhere()
        return self._group.machine.table_source


__all__ = ["InvalidTableError", "RouteDesk"]
