"""Settings of the replicated log."""

from __future__ import annotations

import dataclasses

# how far clocks may run apart, as election timeout and lease allow by default
LEASE_DRIFT = 1.2


@dataclasses.dataclass(frozen=True)
class ReplicationSettings:
    """Settings of one member.

    Attributes:
        heartbeat_ms: Longest pause between two messages of a leader.
        election_timeout_ms: How long a follower waits for the leader, at
            least; at most twice as long.
        lease_ms: How long a leader serves after a quorum last heard it; less
            than the election timeout, so that clocks may run apart.
        call_timeout_ms: How long a member waits for a reply.
        snapshot_entries: Applied entries between two snapshots.
        kept_entries: Entries kept before a snapshot, for members that lag.
        append_max_entries: Most entries in one message.
        append_max_bytes: Most bytes of entries in one message.
        snapshot_piece_bytes: Bytes of a snapshot in one message.
        max_waiting: Most proposals waiting for their result.
    """

    heartbeat_ms: float = 100.0
    election_timeout_ms: float = 600.0
    lease_ms: float = 480.0
    call_timeout_ms: float = 300.0
    snapshot_entries: int = 5_000
    kept_entries: int = 1_000
    append_max_entries: int = 1_000
    append_max_bytes: int = 512 * 1024
    snapshot_piece_bytes: int = 256 * 1024
    max_waiting: int = 10_000

    @property
    def start_guard_ms(self) -> float:
        """How long a member that started grants nobody its vote.

        A leader that it answered before the start may rely on its lease for
        so long, by a clock that runs apart as far as allowed.
        """
        return min(LEASE_DRIFT * self.lease_ms, self.election_timeout_ms)

    def __post_init__(self) -> None:
        if not self.heartbeat_ms < self.lease_ms < self.election_timeout_ms:
            message = "needs heartbeat_ms < lease_ms < election_timeout_ms"
            raise ValueError(message)


__all__ = ["ReplicationSettings"]
