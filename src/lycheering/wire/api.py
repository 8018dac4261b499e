"""Types that processes use or implement for the inner protocol."""

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
    """Access to the fleet view that processes synchronize with peers.

    Attributes:
        takes_from_peers: Whether newer views of peers are applied here; the
            control instances get theirs from the replicated log instead.
    """

    takes_from_peers = True

    @abc.abstractmethod
    def revision(self) -> int:
        """Returns the revision of the view that this process uses."""

    @abc.abstractmethod
    def changes_since(
        self, revision: int
    ) -> list[changes.NumberedChange] | None:
        """Returns the changes after a revision.

        Returns:
            None if the changes since then are no longer kept.
        """

    @abc.abstractmethod
    def answer(
        self, fetch: messages.ViewFetch, peer: object, now_ms: float
    ) -> messages.Message:
        """Returns the reply to a peer's request for the view.

        Args:
            fetch: The request.
            peer: Identifies the connection to the peer.
            now_ms: Current time.
        """

    @abc.abstractmethod
    def release(self, peer: object) -> None:
        """Drops the state kept for a peer whose connection has ended."""

    def next_fetch(
        self, peer: object, now_ms: float, *, whole: bool
    ) -> messages.ViewFetch | None:
        """Returns the request to send to a peer whose view is newer.

        Args:
            peer: Identifies the connection to the peer.
            now_ms: Current time.
            whole: Whether to request the whole view instead of changes.

        Returns:
            None if nothing should be requested from this peer now.
        """
        return None

    @abc.abstractmethod
    def take(self, update: messages.ViewUpdate) -> bool:
        """Applies an update of the view.

        Args:
            update: The update that a peer sent.

        Returns:
            False if changes between the local revision and the update are
            missing.
        """

    def take_part(self, part: messages.ViewPart) -> bool:
        """Stores a part of a whole view; applies the view after the last part.

        Args:
            part: The part that a peer sent.

        Returns:
            Whether more parts are missing.

        Raises:
            MalformedFrameError: If the parts don't form a valid view.
        """
        return False

    def lacks_teams(self) -> bool:
        """Returns whether teams are needed for a peer but not stored here."""
        return False


class Security(abc.ABC):
    """Sets up authentication and encryption of sockets."""

    @abc.abstractmethod
    def secure_client(self, socket: zmq.Socket[bytes], peer: str) -> None:
        """Configures a socket that connects to a peer.

        Args:
            socket: The socket, before it connects.
            peer: The peer's name.
        """

    @abc.abstractmethod
    def secure_server(self, socket: zmq.Socket[bytes]) -> None:
        """Configures a socket that listens."""

    def close(self) -> None:  # noqa: B027
        """Releases resources."""


class NoSecurity(Security):
    """No authentication or encryption, for a trusted network."""

    def secure_client(self, socket: zmq.Socket[bytes], peer: str) -> None:
        """Leaves the socket as it is."""

    def secure_server(self, socket: zmq.Socket[bytes]) -> None:
        """Leaves the socket as it is."""


@dataclasses.dataclass(frozen=True)
class Identity:
    """The identity of this process towards its peers.

    Attributes:
        name: The name of its instance, or of its target for an agent.
        role: Its role.
        failure_domain: Its failure domain.
        incarnation: Random identifier that is new at each process start.
    """

    name: str
    role: messages.Role
    failure_domain: str
    incarnation: str = dataclasses.field(
        default_factory=lambda: secrets.token_hex(8)
    )


@dataclasses.dataclass(frozen=True)
class Address:
    """The name and network address of a peer.

    Attributes:
        name: The peer's name.
        ip: Its IP address.
        port: Its TCP port.
        is_control: Whether it is a control instance that an entry or an
            agent connects to.
    """

    name: str
    ip: str
    port: int
    is_control: bool = False

    @property
    def url(self) -> str:
        """The ZeroMQ endpoint."""
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"tcp://{host}:{self.port}"


def agent_address(target: records.Target) -> Address:
    """Returns the address of the agent of a target."""
    return Address(target.name, target.ip, target.port)


@dataclasses.dataclass(frozen=True)
class Link:
    """The state that all connections and the server of a process share.

    Attributes:
        context: The ZeroMQ context.
        identity: The identity of this process.
        settings: The settings of the inner protocol.
        clock: The process's clock.
        view: The fleet view to synchronize with peers.
        counters: The process's counters.
        security: Authentication and encryption.
    """

    context: zmq.asyncio.Context
    identity: Identity
    settings: model.WireSettings
    clock: clock.Clock
    view: ViewExchange
    counters: counters.Counters
    security: Security = dataclasses.field(default_factory=NoSecurity)


class SessionHandler(abc.ABC):
    """Handles the messages that peers send to a server."""

    @abc.abstractmethod
    async def handle(
        self, session: server.Session, envelope: messages.Envelope
    ) -> None:
        """Handles one frame; the next one of the session waits meanwhile."""

    def opened(self, session: server.Session) -> None:  # noqa: B027
        """Is called when a peer has opened a session."""

    def serving(self) -> set[server.Session]:
        """Returns the sessions whose peers wait for answers."""
        return set()

    async def closed(self, session: server.Session) -> None:  # noqa: B027
        """Is called when a session has ended, also by a silent peer."""


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
