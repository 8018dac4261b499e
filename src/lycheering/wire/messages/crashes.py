"""Evidence by which processes find prompt parts that crash targets."""

from __future__ import annotations

import msgspec


class BrokenPrompt(msgspec.Struct, frozen=True, array_like=True):
    """The prompt of a request whose answer a crash prevented.

    Attributes:
        parts: Keys of its shared parts, the first part of the prompt first.
        has_begun: Whether the target had just begun to answer it.
    """

    parts: tuple[str, ...]
    has_begun: bool = False


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
    """A prompt part that a target answered without a crash.

    Attributes:
        part: Key of the part.
        age_ms: Time since the last such answer.
    """

    part: str
    age_ms: int


class CrashEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What a process knows of crashes.

    Attributes:
        crashes: Crashes of targets.
        answered: Parts of their prompts that were answered otherwise.
    """

    crashes: tuple[TargetCrash, ...] = ()
    answered: tuple[AnsweredPart, ...] = ()


__all__ = ["AnsweredPart", "BrokenPrompt", "CrashEvidence", "TargetCrash"]
