"""Distributes the processes of a fleet among the control instances."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import xxhash

from lycheering.wire import api

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock
    from lycheering.settings import model

RETURN_AFTER_MS = 30_000


class ControlSelector:
    """Selects the control instance that a process connects to.

    Each process ranks the instances by rendezvous hashing, so that the
    instances get about equally many processes. A process that has switched
    to another instance returns to its preferred one after some time.
    Otherwise the instance that a rolling restart reaches last would be left
    without processes.

    Attributes:
        address: The selected instance.
    """

    def __init__(
        self,
        members: Iterable[model.PeerAddress],
        name: str,
        process_clock: clock.Clock,
    ) -> None:
        """Selects the most preferred instance.

        Args:
            members: The control instances.
            name: This process's name.
            process_clock: The process's clock.
        """
        self._name = name
        self._preferred = self._sort_by_preference(members)
        self._clock = process_clock
        self._switched_ms = 0.0
        self.address = self._preferred[0]

    def _sort_by_preference(
        self, members: Iterable[model.PeerAddress]
    ) -> list[api.Address]:
        addresses = [
            api.Address(peer.instance, peer.ip, peer.port, is_control=True)
            for peer in members
        ]
        return sorted(
            addresses, key=lambda a: _rendezvous_weight(self._name, a.name)
        )

    def update_members(self, members: Iterable[model.PeerAddress]) -> None:
        """Updates the list of control instances.

        The selected instance stays selected if it is still in the list.
        """
        sorted_addresses = self._sort_by_preference(members)
        if not sorted_addresses or sorted_addresses == self._preferred:
            return
        self._preferred = sorted_addresses
        if self.address not in sorted_addresses:
            self.address = sorted_addresses[0]

    @property
    def addresses(self) -> list[api.Address]:
        """All control instances, the most preferred first."""
        return list(self._preferred)

    def select_next(self) -> None:
        """Selects the next instance after the selected one has failed."""
        next_index = self._preferred.index(self.address) + 1
        self.address = self._preferred[next_index % len(self._preferred)]
        # jitter, so that processes don't all return at the same time
        self._switched_ms = self._clock.now_ms() + random.uniform(
            0, RETURN_AFTER_MS
        )

    def find_address(self, name: str) -> api.Address | None:
        """Returns the address of an instance, or None if it is unknown."""
        for address in self._preferred:
            if address.name == name:
                return address
        return None

    def find_return_address(self) -> api.Address | None:
        """Returns the most preferred instance if it is time to return to it.

        Returns:
            None if it is selected already or another one was selected
            recently.
        """
        first = self._preferred[0]
        away_ms = self._clock.now_ms() - self._switched_ms
        if self.address == first or away_ms < RETURN_AFTER_MS:
            return None
        return first

    def select_preferred(self) -> None:
        """Selects the most preferred instance."""
        self.address = self._preferred[0]


def _rendezvous_weight(process: str, instance: str) -> bytes:
    return xxhash.xxh3_64_digest(f"{process}\0{instance}".encode())


__all__ = ["RETURN_AFTER_MS", "ControlSelector"]
