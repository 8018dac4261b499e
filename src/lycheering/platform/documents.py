"""Parses the JSON documents that the platform's operators send."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Literal

import pydantic

from lycheering import json_input
from lycheering.fleet import view
from lycheering.routes import api as route_api
from lycheering.settings import model

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_FINDINGS = 20


class DocumentError(Exception):
    """A document is malformed.

    Attributes:
        findings: The errors found, at most `MAX_FINDINGS`, each with the path
            of the field.
    """

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


class _DocumentPart(pydantic.BaseModel):
    # ignores unknown fields, as the platform adds fields over time
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)


# larger integers can't be stored
_Integer = Annotated[
    int,
    pydantic.Field(ge=-json_input.MAX_INTEGER, le=json_input.MAX_INTEGER),
]
_Milliseconds = Annotated[float, pydantic.Field(strict=False)]
# none is named by null too; larger amounts are surely mistakes
MAX_ALLOWANCE = 1e12
_Allowance = Annotated[
    float,
    pydantic.BeforeValidator(lambda value: 0 if value is None else value),
    pydantic.Field(strict=False, ge=0, le=MAX_ALLOWANCE, allow_inf_nan=False),
]


class _ServiceShare(_DocumentPart):
    service: str
    weight: _Integer


class _Route(_DocumentPart):
    name: str
    host: str
    path_prefix: str
    kind: Literal["idempotent", "once", "stream"]
    timeout_ms: _Milliseconds
    objective_ms: _Milliseconds = 0.0
    priority: _Integer = 0
    service: str = ""
    shares: list[_ServiceShare] = []
    max_sends: _Integer = 1
    is_public: bool = False
    is_resumable: bool = False
    # of any type, as tables were accepted before it was read
    gap_aim_ms: object = 0.0

    def to_record(self) -> route_api.Route:
        """Returns the route as a record of the route table."""
        shares = self.shares or [_ServiceShare(service=self.service, weight=1)]
        return route_api.Route(
            name=self.name,
            host=self.host,
            path_prefix=self.path_prefix,
            kind=route_api.RouteKind(self.kind),
            timeout_ms=self.timeout_ms,
            objective_ms=self.objective_ms,
            priority=self.priority,
            shares=tuple(
                route_api.ServiceShare(share.service, share.weight)
                for share in shares
            ),
            max_sends=self.max_sends,
            is_public=self.is_public,
            is_resumable=self.is_resumable,
            gap_objective_ms=_positive_or_zero(self.gap_aim_ms),
        )


def _positive_or_zero(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return 0.0
    return float(value) if 0 < value < json_input.MAX_INTEGER else 0.0


class _Model(_DocumentPart):
    name: str


class _Engine(_DocumentPart):
    slots: _Integer
    kv_capacity_tokens: _Integer
    models: list[_Model] = []


class _Service(_DocumentPart):
    name: str
    max_connections: _Integer = 0
    engine: _Engine | None = None
    # set only for a store of cache entries, which isn't on the list of
    # instances
    kv_store_addr: str = ""
    kv_capacity_tokens: _Integer = 0
    failure_domain: str = ""

    @pydantic.field_validator("kv_store_addr")
    @classmethod
    def _check_address(cls, value: str) -> str:
        if value:
            model.split_peer_address(value)
        return value

    def to_record(self) -> route_api.Service:
        """Returns the service as a record of the route table."""
        engine = None
        if self.engine is not None:
            engine = route_api.EngineCapacity(
                self.engine.slots,
                self.engine.kv_capacity_tokens,
                tuple(served.name for served in self.engine.models),
            )
        return route_api.Service(
            self.name, self.max_connections, engine, self._store_traits()
        )

    def _store_traits(self) -> route_api.CacheStore | None:
        if not self.kv_store_addr:
            return None
        ip, port = model.split_peer_address(self.kv_store_addr)
        return route_api.CacheStore(
            ip, port, self.failure_domain, self.kv_capacity_tokens
        )


class _Limits(_DocumentPart):
    max_header_bytes: _Integer = 16_384
    max_body_bytes: _Integer = 4_194_304
    header_timeout_ms: _Milliseconds = 3_000.0
    idle_timeout_ms: _Milliseconds = 15_000.0


class _Team(_DocumentPart):
    name: str
    keys: list[str]
    priority: _Integer | None = None
    is_isolated: bool = False
    rate_per_s: _Allowance = 0.0
    burst: _Allowance = 0.0
    unit: Literal["requests", "tokens", ""] | None = None
    plain_tokens: Annotated[int, pydantic.Field(ge=0, le=MAX_ALLOWANCE)] = 0

    def to_record(self) -> route_api.RouteTableTeam:
        """Returns the team as a record of the route table."""
        digests = tuple(view.key_digest(key) for key in self.keys)
        return route_api.RouteTableTeam(
            self.name,
            digests,
            self.priority,
            self.is_isolated,
            self.rate_per_s,
            self.burst,
            route_api.AllowanceUnit(self.unit or "requests"),
            self.plain_tokens,
        )


class _Table(_DocumentPart):
    # revision of the document, unrelated to the versions of weights
    version: _Integer
    routes: list[_Route]
    services: list[_Service]
    teams: list[_Team] = []
    limits: _Limits = _Limits()


class _Weights(_DocumentPart):
    model: str
    version: _Integer


def read_table(data: bytes) -> route_api.RouteTable:
    """Parses a document that holds a route table.

    Raises:
        DocumentError: If the document is malformed.
    """
    try:
        table = _Table.model_validate_json(data)
    except pydantic.ValidationError as error:
        raise DocumentError(_findings(error)) from error
    findings = [*_unknown_services(table), *_shared_keys(table)]
    if findings:
        raise DocumentError(findings[:MAX_FINDINGS])
    return route_api.RouteTable(
        revision=table.version,
        routes=tuple(route.to_record() for route in table.routes),
        services=tuple(service.to_record() for service in table.services),
        teams=tuple(team.to_record() for team in table.teams),
        limits=route_api.CallerLimits(**table.limits.model_dump()),
        # an empty list takes all keys away
        needs_key="teams" in table.model_fields_set,
    )


def _unknown_services(table: _Table) -> Iterator[str]:
    """Yields findings of services that routes name beside their shares.

    The record of a route has its shares alone, so that the table's own check
    does not see such a service.
    """
    names = {service.name for service in table.services}
    for number, route in enumerate(table.routes):
        if route.shares and route.service and route.service not in names:
            yield f"routes.{number}.service: unknown service {route.service!r}"


def _shared_keys(table: _Table) -> Iterator[str]:
    """Yields findings of keys that two teams of one name have.

    The table's own check tells teams apart by their names.
    """
    first_number_by_key: dict[tuple[str, str], int] = {}
    for number, team in enumerate(table.teams):
        for key in team.keys:
            first = first_number_by_key.setdefault((team.name, key), number)
            if first != number:
                yield f"teams.{number}: has a bearer key of teams.{first}"


def read_weights(data: bytes) -> tuple[str, int]:
    """Parses a document that names the weights version of a model.

    Returns:
        The model's name and its weights version.

    Raises:
        DocumentError: If the document is malformed.
    """
    try:
        weights = _Weights.model_validate_json(data)
    except pydantic.ValidationError as error:
        raise DocumentError(_findings(error)) from error
    return weights.model, weights.version


def _findings(error: pydantic.ValidationError) -> list[str]:
    return [
        f"{'.'.join(str(key) for key in detail['loc'])}: {detail['msg']}"
        for detail in error.errors()[:MAX_FINDINGS]
    ]


__all__ = ["DocumentError", "read_table", "read_weights"]
