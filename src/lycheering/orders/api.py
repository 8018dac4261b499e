"""What settling orders in doubt needs from its surroundings."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.orders import records
    from lycheering.wire import messages


class AgentGoneError(Exception):
    """The incarnation that a claim names is gone for good."""


class AgentSilentError(Exception):
    """The agent gave no answer; it may do so later."""


class AgentAbsentError(AgentSilentError):
    """The agent gave no answer, and the fleet view has it as gone."""


class AgentInquirer(abc.ABC):
    """Asks agents what became of an order."""

    @abc.abstractmethod
    async def ask(self, order: records.Order) -> messages.OrderInquiryReply:
        """Asks the incarnation that the claim names.

        Raises:
            AgentGoneError: If that incarnation is gone for good.
            AgentSilentError: If it did not answer.
            AgentAbsentError: If it is not expected to either.
        """


class OrderBook(abc.ABC):
    """The ledger as this process may read and change it.

    Changes go through a quorum and raise when they can't.
    """

    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Returns whether this process may act for the ledger now."""

    @abc.abstractmethod
    def asks_back(self) -> bool:
        """Returns whether agents are asked at all."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns the time by which claims are aged."""

    @abc.abstractmethod
    def open_orders(self) -> Iterable[records.Order]:
        """Returns the orders that are claimed or unknown, oldest first."""

    @abc.abstractmethod
    def find_id(self, order_id: str) -> records.Order | None:
        """Returns an order by its claim's id."""

    @abc.abstractmethod
    async def finish(
        self, order_id: str, outcome: messages.OrderOutcome
    ) -> None:
        """Commits an outcome."""

    @abc.abstractmethod
    async def release(self, order_id: str, reason: str) -> None:
        """Gives a claim back that was never run and never will be."""

    @abc.abstractmethod
    async def mark_unknown(self, order_id: str, reason: str) -> None:
        """Records that nobody can tell whether a claim ran."""

    @abc.abstractmethod
    async def expire(self) -> None:
        """Drops what was kept long enough, if there is any."""


__all__ = [
    "AgentGoneError",
    "AgentInquirer",
    "AgentSilentError",
    "OrderBook",
]
