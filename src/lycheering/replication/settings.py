"""Settings of the replicated log."""

from __future__ import annotations

import dataclasses

# largest ratio between the rates of two clocks that the default election
# timeout and lease allow for
MAX_CLOCK_DRIFT_FACTOR = 1.2


@dataclasses.dataclass(frozen=True)
class ReplicationSettings:
    """Settings of one member.

    Attributes:
        heartbeat_ms: Longest pause between two requests of a leader to a
            member.
        election_timeout_ms: Shortest wait for a leader before an election; the
            wait is random, up to twice as long.
        lease_ms: How long a leader may serve after a quorum last confirmed it;
            less than the election timeout to allow for clock drift.
        call_timeout_ms: Longest wait for the reply of another member.
        snapshot_entries: Most entries applied between two snapshots.
        snapshot_bytes: Bytes of entries after which a snapshot is taken
            sooner.
        retained_entries: Most entries before a snapshot that stay in the log,
            for members that lag behind.
        retained_bytes: Most bytes of these entries.
        append_max_entries: Maximum number of entries in one request.
        append_max_bytes: Maximum bytes of entries in one request.
        snapshot_piece_bytes: Bytes of a snapshot in one request.
        max_pending_proposals: Maximum number of proposals without a result.
    """

    heartbeat_ms: float = 100.0
    election_timeout_ms: float = 600.0
    lease_ms: float = 480.0
    call_timeout_ms: float = 300.0
    snapshot_entries: int = 5_000
    snapshot_bytes: int = 16 * 1024 * 1024
    retained_entries: int = 1_000
    retained_bytes: int = 8 * 1024 * 1024
    append_max_entries: int = 1_000
    append_max_bytes: int = 512 * 1024
    snapshot_piece_bytes: int = 256 * 1024
    max_pending_proposals: int = 10_000

    @property
    def restart_vote_delay_ms(self) -> float:
        """How long a member grants no vote after its start, in ms.

        A leader that it answered before a restart may rely on its lease for
        that long, given the largest allowed clock drift.
        """
        return min(
            MAX_CLOCK_DRIFT_FACTOR * self.lease_ms, self.election_timeout_ms
        )

    def __post_init__(self) -> None:
        if not self.heartbeat_ms < self.lease_ms < self.election_timeout_ms:
            message = "heartbeat_ms < lease_ms < election_timeout_ms must hold"
            raise ValueError(message)


__all__ = ["ReplicationSettings"]
