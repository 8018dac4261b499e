"""Messages by which entries share the load that they put on direct targets."""

from __future__ import annotations

import msgspec

from lycheering.wire.messages import crashes
from lycheering.wire.messages import rates
from lycheering.wire.messages import streams


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load that entries put on one target.

    Attributes:
        target: Digest of the target's key.
        unread_tokens: Number of prompt tokens that it still has to prefill.
        requests: Number of requests in flight.
        held_tokens: Number of tokens of the requests in flight.
        first_tokens: The part of the unread tokens that is read first, as no
            route of the service is more urgent.
    """

    target: int
    unread_tokens: int
    requests: int
    held_tokens: int
    first_tokens: int = 0


class PromptRead(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that a target has prefilled, or another answer of a target.

    Attributes:
        target: Digest of the target's key.
        chains: Chained digest of each part, the first part of the prompt
            first.
        tokens: Number of tokens of each part.
        read_tokens: Number of tokens that the target prefilled until the
            first token of the answer, including prompts ahead of this one; 0
            if not known.
        read_ms: Duration of that prefill, as long as it would have taken at
            the usual pace of the target.
        work_percent: How long work takes there at the time of the answer; 100
            is usual, more is slower, 0 is not known.
    """

    target: int
    chains: tuple[int, ...]
    tokens: tuple[int, ...]
    read_tokens: int = 0
    read_ms: int = 0
    work_percent: int = 0


class LoadExchange(msgspec.Struct, frozen=True, array_like=True, tag=64):
    """Reports an entry's load at targets and asks for that of the others.

    Attributes:
        entry: The entry's name.
        incarnation: The incarnation of the entry.
        number: Sequence number of the exchange in this incarnation.
        loads: The entry's share of the load of each target that it uses.
        reads: Prompts prefilled since the entry's last exchange.
        epoch: Identifies the sequence that the cursor refers to; empty for
            no cursor.
        cursor: Position up to which it has received the reads of others.
        leaving: Digests of targets that announced their shutdown.
        first_read: Number of reads that this incarnation reported before
            these. If an exchange gets no reply, the entry can't know whether
            it was processed, and reports its reads again in the next one.
        evidence: The entry's evidence of crashes.
        rates: The rate limits that targets named to the entry.
        begun: Streams that began at the entry.
    """

    entry: str
    incarnation: str
    number: int
    loads: tuple[TargetLoad, ...]
    reads: tuple[PromptRead, ...]
    epoch: str = ""
    cursor: int = 0
    leaving: tuple[int, ...] = ()
    first_read: int = 0
    evidence: crashes.EvidenceExchange = crashes.EvidenceExchange()
    rates: rates.RateReport = rates.RateReport()
    begun: tuple[streams.BegunStreams, ...] = ()


class LoadReply(msgspec.Struct, frozen=True, array_like=True, tag=65):
    """Answers LoadExchange.

    Attributes:
        loads: Total load of all other entries at each target.
        reads: Prompts of other entries that were prefilled after the cursor.
        epoch: Identifies the sequence that the cursor refers to.
        cursor: Position up to which this reply covers the reads.
        entries: Number of entries that exchange loads.
        leaving: Digests of targets that announced their shutdown.
        evidence: The evidence of crashes of all entries.
        rates: The rate limits of targets, and permits for the entry.
    """

    loads: tuple[TargetLoad, ...]
    reads: tuple[PromptRead, ...]
    epoch: str
    cursor: int
    entries: int = 1
    leaving: tuple[int, ...] = ()
    evidence: crashes.EvidenceExchange = crashes.EvidenceExchange()
    rates: rates.RateReply = rates.RateReply()


__all__ = ["LoadExchange", "LoadReply", "PromptRead", "TargetLoad"]
