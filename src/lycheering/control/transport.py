"""The transport of the replicated log over the inner protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.control import peer_calls
from lycheering.replication import api as replication_api
from lycheering.replication import errors as replication_errors
from lycheering.replication import messages as replication_messages
from lycheering.settings import model
from lycheering.wire import api as wire_api
from lycheering.wire import errors as wire_errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.replication import members
    from lycheering.wire import pool

CONNECT_TIMEOUT_MS = 300


def wire_address(peer: members.PeerAddress) -> wire_api.Address:
    """Returns a member's address in the form of the inner protocol."""
    return wire_api.Address(peer.instance, *model.split_address(peer.address))


class WireTransport(replication_api.Transport):
    """Sends requests to members over the process's connections."""

    def __init__(
        self,
        connections: pool.ConnectionPool,
        configured_peers: Iterable[model.PeerAddress],
    ) -> None:
        """Prepares the transport.

        Args:
            connections: The process's connections.
            configured_peers: The addresses from this instance's settings;
                they take precedence over those in the replicated log.
        """
        self._connections = connections
        self._configured_address_by_instance = {
            peer.instance: wire_api.Address(peer.instance, peer.ip, peer.port)
            for peer in configured_peers
        }

    def address(self, peer: members.PeerAddress) -> wire_api.Address:
        """Returns the address by which to connect to another instance."""
        configured = self._configured_address_by_instance.get(peer.instance)
        return configured or wire_address(peer)

    async def call(
        self,
        peer: members.PeerAddress,
        message: replication_messages.Message,
        timeout_ms: float,
    ) -> replication_messages.Message:
        """Sends a request of the replicated log and waits for its reply."""
        data = replication_messages.encode(message)
        call = peer_calls.ReplicationCall(data)
        try:
            reply = await self.call_peer(peer, call, timeout_ms)
            if isinstance(reply, peer_calls.ReplicationCall):
                return replication_messages.decode(reply.data)
        except (wire_errors.WireError, msgspec.DecodeError) as error:
            raise replication_errors.PeerUnreachableError(str(error)) from error
        raise replication_errors.PeerUnreachableError(peer.address)

    async def call_peer(
        self,
        peer: members.PeerAddress,
        call: peer_calls.PeerMessage,
        timeout_ms: float,
    ) -> peer_calls.PeerMessage:
        """Sends a call to another control instance.

        Raises:
            PeerUnreachableError: If the call was not sent.
            CallTimeoutError: If the call may have had an effect.
            CallFailedError: If the peer answered with a failure.
            MalformedFrameError: If the reply can't be decoded.
        """
        connection = self._connections.get(self.address(peer))
        await connection.wait_ready(min(timeout_ms, CONNECT_TIMEOUT_MS))
        frame = messages.LogCall(peer_calls.encode(call))
        reply = await connection.call(frame, timeout_ms)
        if not isinstance(reply, messages.LogReply):
            raise wire_errors.MalformedFrameError(type(reply).__name__)
        try:
            return peer_calls.decode(reply.payload)
        except msgspec.DecodeError as error:
            raise wire_errors.MalformedFrameError(str(error)) from error


__all__ = ["CONNECT_TIMEOUT_MS", "WireTransport", "wire_address"]
