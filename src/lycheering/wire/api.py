"""What the inner protocol needs from the process around it."""

from __future__ import annotations

import abc
import dataclasses
import secrets
from typing import TYPE_CHECKING

from lycheering.wire import messages

if TYPE_CHECKING:
    import zmq.asyncio

    from lycheering import clock
    from lycheering.fleet import changes
    from lycheering.fleet import records
    from lycheering.settings import model
    from lycheering.telemetry import counters
    from lycheering.wire import server


class ViewExchange(abc.ABC):
    """The fleet view as the inner protocol hands it around."""

    takes_from_peers = True

    @abc.abstractmethod
    def revision(self) -> int:
        """Returns the view revision in force in this process."""

    @abc.abstractmethod
    def changes_since(
        self, revision: int
    ) -> list[changes.NumberedChange] | None:
        """Returns the changes after a revision, or None if too old."""

    @abc.abstractmethod
    def answer(
        self, fetch: messages.ViewFetch, peer: object, now_ms: float
    ) -> messages.Message:
        """Returns what a peer that asks for the view is sent.

        Args:
            fetch: What it asks for.
            peer: The peer's connection.
            now_ms: The time.
        """

    @abc.abstractmethod
    def release(self, peer: object) -> None:
        """Forgets a peer whose connection ended."""

    def next_fetch(
        self, peer: object, now_ms: float, *, whole: bool
    ) -> messages.ViewFetch | None:
        """Returns what to ask a peer for, whose view is newer.

        Args:
            peer: The peer's connection.
            now_ms: The time.
            whole: Whether changes are of no use.

        Returns:
            None if nothing is taken from this peer now.
        """
        return None

    @abc.abstractmethod
    def take(self, update: messages.ViewUpdate) -> bool:
        """Puts a newer view in force.

        Args:
            update: What a peer handed over.

        Returns:
            False if changes are missing in between.
        """

    def take_part(self, part: messages.ViewPart) -> bool:
        """Takes a part of a whole view in, and the view after the last.

        Args:
            part: The part.

        Returns:
            Whether there are more.

        Raises:
            MalformedFrameError: If the parts make no view.
        """
        return False

    def lacks_teams(self) -> bool:
        """Returns whether a peer waits for teams that are not held here."""
        return False


class Security(abc.ABC):
    """Keys of the inner protocol."""

    @abc.abstractmethod
    def secure_client(self, socket: zmq.Socket[bytes], peer: str) -> None:
        """Sets up a socket that connects to a peer."""

    @abc.abstractmethod
    def secure_server(self, socket: zmq.Socket[bytes]) -> None:
        """Sets up a socket that listens."""

    def close(self) -> None:  # noqa: B027
        """Releases what was set up."""


class NoSecurity(Security):
    """A network that is trusted."""

    def secure_client(self, socket: zmq.Socket[bytes], peer: str) -> None:
        """Leaves the socket open."""

    def secure_server(self, socket: zmq.Socket[bytes]) -> None:
        """Leaves the socket open."""


@dataclasses.dataclass(frozen=True)
class Identity:
    """Who this process is.

    Attributes:
        name: Its instance, or its target's name for an agent.
        role: Its role.
        failure_domain: The failure domain it is in.
        incarnation: Differs each time the process starts.
    """

    name: str
    role: messages.Role
    failure_domain: str
    incarnation: str = dataclasses.field(
        default_factory=lambda: secrets.token_hex(8)
    )


@dataclasses.dataclass(frozen=True)
class Address:
    """Where a peer listens.

    Attributes:
        name: The peer's name.
        ip: Its IP number.
        port: Its port.
        is_control: Whether it is a control instance, as an entry or an
            agent speaks to it.
    """

    name: str
    ip: str
    port: int
    is_control: bool = False

    @property
    def url(self) -> str:
        """The address in the form that sockets take."""
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"tcp://{host}:{self.port}"


def agent_address(target: records.Target) -> Address:
    """Returns where the agent beside a target listens."""
    return Address(target.name, target.ip, target.port)


@dataclasses.dataclass(frozen=True)
class Link:
    """All that connections of one process share.

    Attributes:
        context: The ZeroMQ context.
        identity: Who this process is.
        settings: The inner protocol's settings.
        clock: The process's clock.
        view: The fleet view to hand around.
        counters: The process's counters.
        security: Keys.
    """

    context: zmq.asyncio.Context
    identity: Identity
    settings: model.WireSettings
    clock: clock.Clock
    view: ViewExchange
    counters: counters.Counters
    security: Security = dataclasses.field(default_factory=NoSecurity)


class SessionHandler(abc.ABC):
    """Handles what peers send to a server."""

    @abc.abstractmethod
    async def handle(
        self, session: server.Session, envelope: messages.Envelope
    ) -> None:
        """Handles one frame; the session's next one waits meanwhile."""

    def opened(self, session: server.Session) -> None:  # noqa: B027
        """Learns that a peer connected."""

    def serving(self) -> set[server.Session]:
        """Returns the sessions that wait for answers."""
        return set()

    async def closed(self, session: server.Session) -> None:  # noqa: B027
        """Learns that a peer left or went silent."""


__all__ = [
    "Address",
    "Identity",
    "Link",
    "NoSecurity",
    "Security",
    "SessionHandler",
    "ViewExchange",
    "agent_address",
]
