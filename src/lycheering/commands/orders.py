"""The commands that show orders and resolve those of unknown outcome."""

from __future__ import annotations

import dataclasses
import getpass
from typing import Annotated
from typing import Literal

import cappa

from lycheering.commands import base
from lycheering.commands import exit_codes
from lycheering.commands import output
from lycheering.operator import answers
from lycheering.operator import calls
from lycheering.operator import client
from lycheering.operator import items

HEADERS = ("ORDER", "TEAM", "KEY", "STATE", "TARGET", "CLAIMED AT", "REASON")


def _print_orders(orders: tuple[items.OrderItem, ...]) -> None:
    rows = [
        (
            order.order_id,
            order.team,
            order.key,
            order.state,
            order.target,
            output.format_time(order.claimed_at_ms),
            order.reason,
        )
        for order in orders
    ]
    output.print_table(HEADERS, rows)


def _print_order_response(content: bytes, *, as_json: bool) -> int:
    """Prints the response to a call about one order."""
    if as_json:
        output.print_json(content)
        return exit_codes.ExitCode.OK
    answer = client.decode(content, answers.OrderAnswer)
    if answer.order is not None:
        _print_orders((answer.order,))
    return exit_codes.ExitCode.OK


@cappa.command(name="show", help="Show the state of an order.")
@dataclasses.dataclass(kw_only=True)
class Show(base.OperatorCommand):
    """Shows the state of an order."""

    team: Annotated[str, cappa.Arg(help="The team's name.")]
    key: Annotated[str, cappa.Arg(help="The caller's idempotency key.")]

    async def run(self) -> int:
        """Runs the command."""
        path = (
            f"/v1/orders/{calls.quote_segment(self.team)}"
            f"/{calls.quote_segment(self.key)}"
        )
        content = await self.client().call(calls.read(path))
        return _print_order_response(content, as_json=self.json)


@cappa.command(
    name="list", help="List orders; by default those of unknown outcome."
)
@dataclasses.dataclass(kw_only=True)
class List(base.OperatorCommand):
    """Lists orders; by default those of unknown outcome."""

    state: Annotated[
        Literal["claimed", "finished", "released", "unknown"],
        cappa.Arg(long=True, help="The state of the orders to list."),
    ] = "unknown"
    limit: Annotated[
        int, cappa.Arg(long=True, help="Maximum number of orders to list.")
    ] = 100

    async def run(self) -> int:
        """Runs the command."""
        path = f"/v1/orders?state={self.state}&limit={self.limit}"
        content = await self.client().call(calls.read(path))
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        _print_orders(client.decode(content, answers.OrdersAnswer).orders)
        return exit_codes.ExitCode.OK


@cappa.command(name="resolve", help="Resolve an order of unknown outcome.")
@dataclasses.dataclass(kw_only=True)
class Resolve(base.OperatorCommand):
    """Resolves an order of unknown outcome."""

    order_id: Annotated[str, cappa.Arg(help="The order's id.")]
    resolution: Annotated[
        Literal["ran", "not_run"],
        cappa.Arg(help="Whether the order ran; not_run releases its key."),
    ]
    reason: Annotated[
        str,
        cappa.Arg(
            long=True, required=True, help="The reason for the resolution."
        ),
    ]
    operator: Annotated[
        str,
        cappa.Arg(
            long=True, default=cappa.Env(base.OPERATOR_VARIABLE, default="")
        ),
    ] = ""

    async def run(self) -> int:
        """Runs the command."""
        operator = self.operator or getpass.getuser()
        body = calls.ResolveBody(operator, self.reason, self.resolution)
        call = calls.resolve_order(self.order_id, body)
        content = await self.client().call(call)
        return _print_order_response(content, as_json=self.json)


@cappa.command(
    name="order", help="Show orders and resolve those of unknown outcome."
)
@dataclasses.dataclass
class Order:
    """Shows orders and resolves those of unknown outcome."""

    command: cappa.Subcommands[Show | List | Resolve]


__all__ = ["List", "Order", "Resolve", "Show"]
