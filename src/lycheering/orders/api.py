"""Interfaces that settling orders without a known outcome depends on."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.orders import records
    from lycheering.wire import messages


class AgentGoneError(Exception):
    """The agent incarnation that holds the claim no longer exists."""


class AgentSilentError(Exception):
    """The agent did not answer, but may answer a later inquiry."""


class AgentAbsentError(AgentSilentError):
    """The agent did not answer, and the fleet view lists its target as gone."""


class AgentInquirer(abc.ABC):
    """Sends inquiries about the outcome of orders to agents."""

    @abc.abstractmethod
    async def inquire(self, order: records.Order) -> messages.OrderInquiryReply:
        """Asks the agent incarnation that holds the claim.

        Raises:
            AgentGoneError: If that incarnation no longer exists.
            AgentSilentError: If it did not answer.
            AgentAbsentError: If it did not answer and its target is listed as
                gone, so that no answer is expected soon.
        """


class OrderLedger(abc.ABC):
    """Access of this process to the replicated ledger.

    Changes are committed by a quorum. They raise an exception if they can't
    be committed.
    """

    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Returns whether this process is the leader and may settle orders."""

    @abc.abstractmethod
    def are_inquiries_enabled(self) -> bool:
        """Returns whether inquiries to agents are enabled."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns the time that the age of a claim is computed with."""

    @abc.abstractmethod
    def open_orders(self) -> Iterable[records.Order]:
        """Returns the orders in state claimed or unknown, oldest first."""

    @abc.abstractmethod
    def find_by_id(self, order_id: str) -> records.Order | None:
        """Returns the order with a claim id."""

    @abc.abstractmethod
    async def finish(
        self, order_id: str, outcome: messages.OrderOutcome
    ) -> None:
        """Commits the outcome of an order."""

    @abc.abstractmethod
    async def release(self, order_id: str, reason: str) -> None:
        """Releases the claim of an order that neither ran nor will run."""

    @abc.abstractmethod
    async def mark_unknown(self, order_id: str, reason: str) -> None:
        """Commits that it can't be determined whether an order ran."""

    @abc.abstractmethod
    async def expire(self) -> None:
        """Drops settled orders whose retention has passed, if there are any."""


__all__ = [
    "AgentGoneError",
    "AgentInquirer",
    "AgentSilentError",
    "OrderLedger",
]
