"""Records of the fleet view, as they are stored and sent."""

from __future__ import annotations

import enum

import msgspec
import xxhash

from lycheering.fleet import options


class TargetState(enum.StrEnum):
    """Lifecycle state of a target; only a live one gets new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class TargetKind(enum.StrEnum):
    """Kind of target beside an agent."""

    ENGINE = "engine"
    SERVICE = "service"


class Scope(msgspec.Struct, frozen=True, array_like=True):
    """The thing that an exception applies to.

    Attributes:
        kind: The kind of thing.
        name: Its name.
    """

    kind: options.ScopeKind
    name: str


class ExceptionRecord(msgspec.Struct, frozen=True, array_like=True):
    """An exception: an option's value in one scope, and the reason for it.

    Attributes:
        exception_id: Its id, which is never reused.
        scope: The thing that it applies to.
        option: The option's name.
        value: The option's value within the scope.
        reason: The operator's written reason.
        operator: The operator who added it.
        revision: The config revision that added it.
    """

    exception_id: str
    scope: Scope
    option: str
    value: options.OptionValue
    reason: str
    operator: str
    revision: int


class Team(msgspec.Struct, frozen=True, array_like=True):
    """A team (customer) whose requests are served.

    Attributes:
        name: The team's name, which is also its cache scope.
        key_digests: SHA-256 digests of the bearer keys that identify it.
    """

    name: str
    key_digests: tuple[str, ...]


class Target(msgspec.Struct, frozen=True, array_like=True):
    """A target and the agent beside it.

    Attributes:
        name: The target's name.
        kind: Its kind.
        instance: The instance it is on.
        ip: The IP address of its agent.
        port: The port of its agent.
        agent_incarnation: The agent's current incarnation.
        failure_domain: The failure domain it is in.
        region: The region it is in.
        model: The model that an engine serves.
        service: The name under which a plain service is routed.
        state: Its lifecycle state.
        slots: Number of requests that the target runs at once.
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
    """A target that entries connect to directly, as it has no agent.

    Attributes:
        target_id: The target's id, which usually changes with a restart.
        service: The service that it belongs to.
        ip: Its IP address.
        port: Its port.
        failure_domain: The failure domain it is in.
        slots: Number of requests that it runs at once.
        state: Its lifecycle state.
        version_by_model: The weights version of each model that it serves.
        is_held: Whether it is reserved for an order and gets no new work.
        born_ms: Wall-clock time at which it started, as it reports it.
        software_version: Version of its software; empty if not known.
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
    software_version: str = ""

    @property
    def key(self) -> str:
        """Key of this run of the target, even if a restart keeps the id."""
        return f"{self.target_id}/{self.born_ms}"

    @property
    def digest(self) -> int:
        """Short hash of the key, for messages that list many targets."""
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
