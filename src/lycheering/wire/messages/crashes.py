"""Evidence by which processes find prompt parts that crash targets."""

from __future__ import annotations

import msgspec


class BrokenPrompt(msgspec.Struct, frozen=True, array_like=True):
    """The prompt of a request whose answer a crash prevented.

    Attributes:
        parts: Keys of its shared parts, the first part of the prompt first.
        has_begun: Whether the target had just begun to answer it.
        request: Digest of the request's id; 0 for none.
        fingerprint: Fingerprint of the request, equal for each repetition by
            its caller; empty for none.
    """

    parts: tuple[str, ...]
    has_begun: bool = False
    request: int = 0
    fingerprint: str = ""


class TargetCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a target.

    Attributes:
        target: Digest of the target's key.
        age_ms: Time since the crash.
        prompts: The prompts that the target had not answered yet.
    """

    target: int
    age_ms: int
    prompts: tuple[BrokenPrompt, ...]


class AnsweredPart(msgspec.Struct, frozen=True, array_like=True):
    """A prompt part or a request that a target answered without a crash.

    Attributes:
        part: Key of the part, or fingerprint of the request.
        age_ms: Time since the last such answer.
    """

    part: str
    age_ms: int


class CrashEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What a process knows of crashes.

    Attributes:
        crashes: Crashes of targets.
        answered: Which of their parts and requests were answered otherwise.
    """

    crashes: tuple[TargetCrash, ...] = ()
    answered: tuple[AnsweredPart, ...] = ()


class EvidenceExchange(msgspec.Struct, frozen=True, array_like=True, tag=66):
    """Reports evidence of crashes and asks for that of others; also the reply.

    Attributes:
        evidence: What changed in the sender's evidence.
        epoch: Identifies the sequence that the cursor refers to; empty for
            no cursor.
        cursor: Position up to which the entry has the evidence of others; in
            a reply, that up to which it has it now.
    """

    evidence: CrashEvidence = CrashEvidence()
    epoch: str = ""
    cursor: int = 0


__all__ = [
    "AnsweredPart",
    "BrokenPrompt",
    "CrashEvidence",
    "EvidenceExchange",
    "TargetCrash",
]
