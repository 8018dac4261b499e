"""The records of a route table, as they are stored and sent."""

from __future__ import annotations

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """Whether and how a request may be sent again."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True, array_like=True):
    """The share of a route's requests that goes to one service.

    Attributes:
        service: The service's name.
        weight: The weight of the share, relative to the route's other shares.
    """

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, array_like=True):
    """How requests to one host and path prefix are handled.

    Attributes:
        name: The route's name.
        host: The host of the requests.
        path_prefix: The prefix of their paths; the longest matching prefix
            determines the route.
        kind: Whether and how a request may be sent again.
        timeout_ms: The longest time from a request's arrival to its answer.
        objective_ms: The latency objective: a later answer counts as late.
        priority: The priority of its requests; 0 is the highest.
        shares: The services that the requests are distributed to.
        max_sends: The highest number of targets that a request may be sent to.
        is_public: Whether requests need no bearer key.
        is_resumable: Whether a stream may be resumed at another target. It
            has no effect on routes of other kinds; see `resumes_streams`.
        gap_objective_ms: The longest time between two events with which a
            stream is on time; 0 for any.
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
    gap_objective_ms: float = 0.0

    @property
    def resumes_streams(self) -> bool:
        """Whether a broken-off answer may go on at another target."""
        return self.kind is RouteKind.STREAM and self.is_resumable

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumes_streams


class EngineCapacity(msgspec.Struct, frozen=True, array_like=True):
    """The capacity of the engines of a service.

    Attributes:
        slots: Number of requests that an engine runs concurrently.
        cache_tokens: Capacity of an engine's KV cache, in tokens.
        models: The models that the engines serve.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...] = ()


class CacheStore(msgspec.Struct, frozen=True, array_like=True):
    """A store of KV cache entries outside of the engines.

    Attributes:
        ip: The store's IP address.
        port: The store's port.
        failure_domain: The failure domain that the store is in.
        cache_tokens: Capacity of the store, in tokens.
    """

    ip: str
    port: int
    failure_domain: str
    cache_tokens: int


class Service(msgspec.Struct, frozen=True, array_like=True):
    """A group of interchangeable targets.

    Attributes:
        name: The service's name.
        max_connections: Number of connections that one target accepts from
            all entries together.
        engine: The capacity of its engines; None for a plain service.
        store: The store, if the service is a store of cache entries;
            otherwise None.
    """

    name: str
    max_connections: int = 0
    engine: EngineCapacity | None = None
    store: CacheStore | None = None


class AllowanceUnit(enum.StrEnum):
    """What an allowance of a team is counted in."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class RouteTableTeam(msgspec.Struct, frozen=True, array_like=True):
    """A team of a route table, identified by its bearer keys.

    Attributes:
        name: The team's name.
        key_digests: The SHA-256 digests of the team's bearer keys.
        priority: The priority of the team's requests; None for that of the
            route.
        is_isolated: Whether the team shares no cache entries with other
            teams.
        rate_per_s: The team's allowance at all entries together, in units a
            second; 0 for no limit.
        burst: How much the team may use at once beyond that rate, in units.
        unit: What the allowance is counted in.
        plain_tokens: The number of tokens that a request counts as if it
            does not tell its tokens.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    is_isolated: bool = False
    rate_per_s: float = 0.0
    burst: float = 0.0
    unit: AllowanceUnit = AllowanceUnit.REQUESTS
    plain_tokens: int = 0

    @property
    def has_allowance(self) -> bool:
        """Whether the team's traffic is limited."""
        return self.rate_per_s > 0


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on the size and duration of callers' requests.

    Attributes:
        max_header_bytes: The largest accepted request head.
        max_body_bytes: The largest accepted request body.
        header_timeout_ms: The longest time for receiving a request head.
        idle_timeout_ms: The longest time that a connection may be idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class RouteTable(msgspec.Struct, frozen=True, array_like=True):
    """The routes, services and teams that are in force together.

    Attributes:
        revision: The revision that the submitter assigned; the table with
            the highest revision is in force.
        routes: The routes.
        services: The services.
        teams: The teams.
        limits: The limits on callers' requests.
        cache_generation: Number of times that cache entries which teams
            share were given up, as a team became isolated. The control
            instances set it, not the submitter.
        needs_key: Whether requests need a bearer key of a team, unless their
            route is public. Records of releases that did not store it need
            one, as an empty list of teams may have taken all keys away.
    """

    revision: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    teams: tuple[RouteTableTeam, ...] = ()
    limits: CallerLimits = CallerLimits()
    cache_generation: int = 0
    needs_key: bool = True


__all__ = [
    "AllowanceUnit",
    "CallerLimits",
    "EngineCapacity",
    "RouteTableTeam",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "ServiceShare",
    "CacheStore",
]
