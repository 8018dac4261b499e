"""Interfaces that a deployment implements to control direct targets."""

from __future__ import annotations

import abc
import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    import blacksheep

    from lycheering.control.direct import route_admin
    from lycheering.fleet import records


class ListUnavailableError(Exception):
    """The list of targets could not be read completely."""


class TargetList(abc.ABC):
    """The list of all targets, which is kept outside of the fleet."""

    @abc.abstractmethod
    async def read(self) -> list[records.DirectTarget]:
        """Returns all targets on the list.

        Raises:
            ListUnavailableError: If the list could not be read completely.
        """


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """The state that an engine reports.

    Attributes:
        version_by_model: The weights version that is loaded for each model.
        is_busy: Whether the engine is carrying out an order.
        sequence: Number of orders accepted since the engine started.
    """

    version_by_model: dict[str, int]
    is_busy: bool
    sequence: int


@dataclasses.dataclass(frozen=True)
class WeightsOrder:
    """An order to an engine to load another version of its weights.

    Attributes:
        model: The model.
        version: The weights version to load.
        holder: The control instance that gives the order.
        fence: The fencing number of the holder.
        sequence: Number of orders that the engine must have accepted before
            this one; the engine rejects the order on a mismatch.
    """

    model: str
    version: int
    holder: str
    fence: int
    sequence: int


class OrderResult(enum.StrEnum):
    """The result of sending an order to an engine."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"
    GONE = "gone"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineUnreachableError(Exception):
    """An engine gave no answer, or one that could not be parsed."""


class EngineCalls(abc.ABC):
    """Calls to engines for reports and orders."""

    @abc.abstractmethod
    async def fetch_report(self, target: records.DirectTarget) -> EngineReport:
        """Returns the state that an engine reports.

        Raises:
            EngineUnreachableError: If the engine gave no answer that could be
                parsed.
        """

    @abc.abstractmethod
    async def send_order(
        self, target: records.DirectTarget, order: WeightsOrder
    ) -> OrderResult:
        """Sends an order to an engine.

        Returns:
            The engine's answer, `UNKNOWN` if there was none.
        """


class StoreUnreachableError(Exception):
    """A store gave no answer, or one that could not be parsed."""


class StoreCalls(abc.ABC):
    """Calls to stores of cache entries."""

    @abc.abstractmethod
    async def read_run_number(self, ip: str, port: int) -> int:
        """Returns the run number of a store, which changes at each start.

        Raises:
            StoreUnreachableError: If the store gave no answer that could be
                parsed.
        """


@dataclasses.dataclass(frozen=True)
class DirectAdapter:
    """The implementations that a deployment without agents provides.

    Attributes:
        targets: The list of targets.
        engines: Calls to engines.
        stores: Calls to stores of cache entries.
        create_operator_app: Creates the web application for operators.
    """

    targets: TargetList
    engines: EngineCalls
    stores: StoreCalls
    create_operator_app: Callable[
        [route_admin.RouteAdmin], blacksheep.Application
    ]


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
