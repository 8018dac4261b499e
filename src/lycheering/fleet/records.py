"""The records that make up the fleet view, as kept and as sent."""

from __future__ import annotations

import enum

import msgspec
import xxhash

from lycheering.fleet import options


class TargetState(enum.StrEnum):
    """Whether a target may get new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class TargetKind(enum.StrEnum):
    """What stands behind an agent."""

    ENGINE = "engine"
    SERVICE = "service"


class Scope(msgspec.Struct, frozen=True, array_like=True):
    """What an exception applies to.

    Attributes:
        kind: The kind of thing.
        name: Its name.
    """

    kind: options.ScopeKind
    name: str


class ExceptionRecord(msgspec.Struct, frozen=True, array_like=True):
    """A value that differs from the default, and why.

    Attributes:
        exception_id: Its id, unique for good.
        scope: What it applies to.
        option: The option's name.
        value: The option's value within the scope.
        reason: The operator's written reason.
        operator: Who added it.
        revision: The config revision that it came with.
    """

    exception_id: str
    scope: Scope
    option: str
    value: options.OptionValue
    reason: str
    operator: str
    revision: int


class Team(msgspec.Struct, frozen=True, array_like=True):
    """A team that calls lycheering.

    Attributes:
        name: The team's name, which is its cache scope as well.
        key_digests: SHA-256 digests of the bearer keys that name it.
    """

    name: str
    key_digests: tuple[str, ...]


class Target(msgspec.Struct, frozen=True, array_like=True):
    """A target and the agent beside it.

    Attributes:
        name: The target's name.
        kind: What it is.
        instance: The instance it is on.
        ip: The IP number of its agent.
        port: The port of its agent.
        agent_incarnation: The agent's present incarnation.
        failure_domain: The failure domain it is in.
        region: The region it is in.
        model: The model that an engine serves.
        service: The name that a plain service is routed under.
        state: Whether it may get new work.
        slots: Requests that the target runs at once.
    """

    name: str
    kind: TargetKind
    instance: str
    ip: str
    port: int
    agent_incarnation: str
    failure_domain: str
    region: str = "local"
    model: str = ""
    service: str = ""
    state: TargetState = TargetState.LIVE
    slots: int = 8


class DirectTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target that entries reach by themselves, without an agent.

    Attributes:
        target_id: The id of this run of the target; a restart has another.
        service: The service that it belongs to.
        ip: Its IP number.
        port: Its port.
        failure_domain: The failure domain it is in.
        slots: Requests that it runs at once.
        state: Whether it may get new work.
        version_by_model: The weights version of each model that it serves.
        is_held: Whether it is kept free of new work for an order.
        born_ms: Wall-clock time at which it says that it started.
    """

    target_id: str
    service: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    state: TargetState = TargetState.LIVE
    version_by_model: dict[str, int] = {}
    is_held: bool = False
    born_ms: int = 0

    @property
    def key(self) -> str:
        """Names this run of the target, also where the id stays."""
        return f"{self.target_id}/{self.born_ms}"

    @property
    def digest(self) -> int:
        """Stands for the key where many targets are told of at once."""
        return xxhash.xxh3_64_intdigest(self.key.encode()) >> 16


__all__ = [
    "DirectTarget",
    "ExceptionRecord",
    "Scope",
    "Target",
    "TargetKind",
    "TargetState",
    "Team",
]
