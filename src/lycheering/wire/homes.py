"""Spreads the processes of a fleet over the control instances."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import xxhash

from lycheering.wire import api

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock
    from lycheering.settings import model

RETURN_MS = 30_000


class ControlHome:
    """The control instance that a process takes the fleet view from.

    Each process prefers the instances in an order of its own, so that all
    processes together use them evenly. One that went to another instance
    goes back after a while, or the last instance that a rolling restart
    reaches would be left without any.

    Attributes:
        address: The present one.
    """

    def __init__(
        self, members: Iterable[model.PeerAddress], name: str, time: clock.Clock
    ) -> None:
        """Picks the instance preferred most.

        Args:
            members: The control instances.
            name: This process's name.
            time: The clock.
        """
        self._name = name
        self._preferred = self._ordered(members)
        self._clock = time
        self._moved_ms = 0.0
        self.address = self._preferred[0]

    def _ordered(
        self, members: Iterable[model.PeerAddress]
    ) -> list[api.Address]:
        addresses = [
            api.Address(peer.instance, peer.ip, peer.port, is_control=True)
            for peer in members
        ]
        return sorted(addresses, key=lambda a: _weight(self._name, a.name))

    def learn(self, members: Iterable[model.PeerAddress]) -> None:
        """Takes over which control instances there are.

        The present one stays while it is still among them.
        """
        ordered = self._ordered(members)
        if not ordered or ordered == self._preferred:
            return
        self._preferred = ordered
        if self.address not in ordered:
            self.address = ordered[0]

    @property
    def addresses(self) -> list[api.Address]:
        """All control instances, the one preferred most first."""
        return list(self._preferred)

    def move_on(self) -> None:
        """Goes to the next instance, after the present one failed."""
        place = self._preferred.index(self.address) + 1
        self.address = self._preferred[place % len(self._preferred)]
        # herds do not go back at one time
        self._moved_ms = self._clock.now_ms() + random.uniform(0, RETURN_MS)

    def find(self, name: str) -> api.Address | None:
        """Returns the address of an instance, if it is known."""
        for address in self._preferred:
            if address.name == name:
                return address
        return None

    def returning_to(self) -> api.Address | None:
        """Returns the instance preferred most, if it is time to go back."""
        first = self._preferred[0]
        away_ms = self._clock.now_ms() - self._moved_ms
        if self.address == first or away_ms < RETURN_MS:
            return None
        return first

    def go_back(self) -> None:
        """Goes back to the instance preferred most."""
        self.address = self._preferred[0]


def _weight(process: str, instance: str) -> bytes:
    return xxhash.xxh3_64_digest(f"{process}\0{instance}".encode())


__all__ = ["RETURN_MS", "ControlHome"]
