"""The records that make up a route table, as kept and as sent."""

from __future__ import annotations

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True, array_like=True):
    """The part of a route's requests that one service takes.

    Attributes:
        service: The service's name.
        weight: Its weight among the shares of the route.
    """

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Where requests of one host and path go.

    Attributes:
        name: The route's name.
        host: The host that requests name.
        path_prefix: The prefix of their paths; the longest one decides.
        kind: What may be repeated.
        timeout_ms: The longest time that a request is kept waiting.
        objective_ms: The time within which an answer is on time.
        priority: The rank of its requests, 0 is first.
        shares: The services that take its requests.
        max_sends: The most targets that one request may be sent to.
        is_public: Whether requests need no key.
        is_resumable: Whether a stream may go on at another target.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    objective_ms: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_sends: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent once more."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


class EngineTraits(msgspec.Struct, frozen=True, array_like=True):
    """What the engines of a service can hold.

    Attributes:
        slots: Requests that an engine runs at once.
        cache_tokens: Tokens that its memory holds.
        models: The models that it serves.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...] = ()


class StoreTraits(msgspec.Struct, frozen=True, array_like=True):
    """Where cache entries are kept outside of engines.

    Attributes:
        ip: Its IP number.
        port: Its port.
        failure_domain: The failure domain it is in.
        cache_tokens: Tokens that it has room for.
    """

    ip: str
    port: int
    failure_domain: str
    cache_tokens: int


class Service(msgspec.Struct, frozen=True, array_like=True):
    """Targets of one kind.

    Attributes:
        name: The service's name.
        max_connections: Connections that one target accepts from all.
        engine: What its engines can hold; None for a plain service.
        store: Where it keeps cache entries; None for any other service.
    """

    name: str
    max_connections: int = 0
    engine: EngineTraits | None = None
    store: StoreTraits | None = None


class KeyedTeam(msgspec.Struct, frozen=True, array_like=True):
    """A team that a route table names.

    Attributes:
        name: The team's name.
        key_digests: SHA-256 digests of its bearer keys.
        priority: The rank of its requests, None for that of the route.
        is_isolated: Whether it shares no cache entries with others.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    is_isolated: bool = False


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """What a caller may send and how long it may take.

    Attributes:
        max_header_bytes: The largest request head.
        max_body_bytes: The largest request body.
        header_timeout_ms: How long a request head may take.
        idle_timeout_ms: How long a connection may be idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class RouteTable(msgspec.Struct, frozen=True, array_like=True):
    """All routes, services and teams that are in force together.

    Attributes:
        revision: The number that its sender gave it; the highest wins.
        routes: The routes.
        services: The services.
        teams: The teams; with none, requests need no key.
        limits: What callers may send.
    """

    revision: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    teams: tuple[KeyedTeam, ...] = ()
    limits: CallerLimits = CallerLimits()


__all__ = [
    "CallerLimits",
    "EngineTraits",
    "KeyedTeam",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "ServiceShare",
    "StoreTraits",
]
