"""What the control of direct targets needs from the deployment."""

from __future__ import annotations

import abc
import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    import blacksheep

    from lycheering.control.direct import route_desk
    from lycheering.fleet import records


class ListUnavailableError(Exception):
    """The list of targets could not be read whole."""


class TargetList(abc.ABC):
    """The list of all targets, kept outside of the fleet."""

    @abc.abstractmethod
    async def read(self) -> list[records.DirectTarget]:
        """Returns every target that the list holds.

        Raises:
            ListUnavailableError: If it could not be read whole.
        """


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself.

    Attributes:
        version_by_model: The weights version of each model.
        is_busy: Whether it is carrying out an order.
        sequence: How many orders it accepted since its start.
    """

    version_by_model: dict[str, int]
    is_busy: bool
    sequence: int


@dataclasses.dataclass(frozen=True)
class WeightsOrder:
    """Tells an engine to change its weights.

    Attributes:
        model: The model.
        version: The weights version.
        holder: Who gives the order.
        fence: The holder's fencing number.
        sequence: The orders that the engine must have accepted before.
    """

    model: str
    version: int
    holder: str
    fence: int
    sequence: int


class OrderResult(enum.StrEnum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    GONE = "gone"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineUnreachableError(Exception):
    """An engine gave no answer that can be read."""


class EngineCalls(abc.ABC):
    """Calls to engines besides requests."""

    @abc.abstractmethod
    async def report(self, target: records.DirectTarget) -> EngineReport:
        """Returns what an engine says of itself.

        Raises:
            EngineUnreachableError: If it gave no answer that can be read.
        """

    @abc.abstractmethod
    async def order(
        self, target: records.DirectTarget, order: WeightsOrder
    ) -> OrderResult:
        """Gives an engine an order; no answer is `UNKNOWN`."""


class StoreUnreachableError(Exception):
    """A store gave no answer that can be read."""


class StoreCalls(abc.ABC):
    """Calls to stores of cache entries."""

    @abc.abstractmethod
    async def run_of(self, ip: str, port: int) -> int:
        """Returns a number that each start of a store changes.

        Raises:
            StoreUnreachableError: If it gave no answer that can be read.
        """


@dataclasses.dataclass(frozen=True)
class DirectAdapter:
    """What a deployment without agents brings along.

    Attributes:
        targets: The list of targets.
        engines: Calls to engines.
        stores: Calls to stores of cache entries.
        operator: Makes the application that operators call.
    """

    targets: TargetList
    engines: EngineCalls
    stores: StoreCalls
    operator: Callable[[route_desk.RouteDesk], blacksheep.Application]


__all__ = [
    "DirectAdapter",
    "EngineCalls",
    "EngineReport",
    "EngineUnreachableError",
    "ListUnavailableError",
    "OrderResult",
    "StoreCalls",
    "StoreUnreachableError",
    "TargetList",
    "WeightsOrder",
]
