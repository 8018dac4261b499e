"""Messages by which entries share what they sent to direct targets."""

from __future__ import annotations

import msgspec


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """What entries have at one target.

    Attributes:
        target: Digest of the target's key.
        unread_tokens: Prompt tokens that it still has to read.
        requests: Requests that it has not finished.
        held_tokens: Tokens of those requests.
    """

    target: int
    unread_tokens: int
    requests: int
    held_tokens: int


class PromptRead(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that a target has read.

    Attributes:
        target: Digest of the target's key.
        chains: The chain of each part, from the outermost one.
        tokens: The length of each part.
        read_tokens: What the target read until the first token of the answer,
            the prompts before it included; 0 where that is not known.
        read_ms: How long it took.
    """

    target: int
    chains: tuple[int, ...]
    tokens: tuple[int, ...]
    read_tokens: int = 0
    read_ms: int = 0


class LoadExchange(msgspec.Struct, frozen=True, array_like=True, tag=64):
    """Tells what an entry has at targets and asks what the others have.

    Attributes:
        entry: The entry's name.
        incarnation: The run of the entry.
        number: Counts the exchanges of this run.
        loads: Its part in the load of each target where it has any.
        reads: Prompts read since its last exchange.
        epoch: Whose cursor follows; empty for none.
        cursor: The last of the others' reads that it has.
        leaving: Digests of targets that said that they are about to leave.
        first_read: How many reads this run of the entry told before these. Of
            an exchange without a reply it isn't known whether it was taken,
            and its reads come again with the next one.
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


class LoadReply(msgspec.Struct, frozen=True, array_like=True, tag=65):
    """Answers LoadExchange.

    Attributes:
        loads: What all other entries have at targets together.
        reads: Prompts that others had read since the cursor.
        epoch: Whose cursor follows.
        cursor: The last read told.
        entries: How many entries exchange loads.
        leaving: Digests of targets that said that they are about to leave.
    """

    loads: tuple[TargetLoad, ...]
    reads: tuple[PromptRead, ...]
    epoch: str
    cursor: int
    entries: int = 1
    leaving: tuple[int, ...] = ()


__all__ = ["LoadExchange", "LoadReply", "PromptRead", "TargetLoad"]
