"""Messages by which entries draw on the allowances of teams."""

from __future__ import annotations

import msgspec


class AllowanceAsk(msgspec.Struct, frozen=True, array_like=True):
    """What an entry has used of a team's allowance, and what it asks for.

    All amounts are in the unit of the allowance. Totals count from the
    beginning of the session, so a lost exchange loses nothing.

    Attributes:
        team: The team's name.
        used: How much the entry has used of what it was granted.
        returned: How much of that it has given back unused.
        waiting: How much requests that wait now need beyond what it holds.
        expected: How much it would like to hold for the requests to come.
        first: How much the first one of those that wait needs. Less than that
            is of no use.
        refused: How much it has refused since the last exchange.
    """

    team: str
    used: int
    returned: int
    waiting: int
    expected: int
    first: int = 0
    refused: int = 0


class AllowanceGrant(msgspec.Struct, frozen=True, array_like=True):
    """What an entry may use of a team's allowance.

    Attributes:
        team: The team's name.
        granted: How much it was granted since the beginning of the session.
        exhausted_ms: Time until the leader has anything left to grant.
        first_ms: Time until it has enough for the first request that waits; 0
            if it granted that.
        retry_ms: Time until it is expected to have enough for all that could
            not be granted lately.
    """

    team: str
    granted: int
    exhausted_ms: int = 0
    first_ms: int = 0
    retry_ms: int = 0


class AllowanceExchange(msgspec.Struct, frozen=True, array_like=True, tag=69):
    """Asks the leader for parts of the teams' allowances.

    Attributes:
        entry: The entry's name.
        incarnation: The incarnation of the entry.
        session: Number of the session. A new one begins when the entry holds
            nothing any more of what it was granted in the last one.
        number: Sequence number of the exchange in this incarnation.
        epoch: The epoch of the leader that granted what the entry holds;
            empty for none.
        asks: The teams that changed since the last exchange.
    """

    entry: str
    incarnation: str
    session: int
    number: int
    epoch: str = ""
    asks: tuple[AllowanceAsk, ...] = ()


class AllowanceReply(msgspec.Struct, frozen=True, array_like=True, tag=70):
    """Answers AllowanceExchange.

    Attributes:
        epoch: Epoch of the leader. If it isn't that of the exchange, the
            leader has ignored what the exchange says.
        grants: What the entry may use now, of the teams that it named.
    """

    epoch: str
    grants: tuple[AllowanceGrant, ...] = ()


__all__ = [
    "AllowanceAsk",
    "AllowanceExchange",
    "AllowanceGrant",
    "AllowanceReply",
]
