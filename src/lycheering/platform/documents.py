"""The documents that the platform's operators send."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import pydantic

from lycheering.fleet import view
from lycheering.routes import api as route_api
from lycheering.settings import model

MAX_FINDINGS = 20


class DocumentError(Exception):
    """A document can't be read.

    Attributes:
        findings: Everything wrong with it, each with its place.
    """

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


class _Document(pydantic.BaseModel):
    # the platform adds fields over time
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)


_Number = Annotated[float, pydantic.Field(strict=False)]


class _Share(_Document):
    service: str
    weight: int


class _Route(_Document):
    name: str
    host: str
    path_prefix: str
    kind: Literal["idempotent", "once", "stream"]
    timeout_ms: _Number
    objective_ms: _Number = 0.0
    priority: int = 0
    service: str = ""
    shares: list[_Share] = []
    max_sends: int = 1
    is_public: bool = False
    is_resumable: bool = False

    def record(self) -> route_api.Route:
        """Returns the route in the product's terms."""
        shares = self.shares or [_Share(service=self.service, weight=1)]
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
        )


class _Model(_Document):
    name: str


class _Engine(_Document):
    slots: int
    kv_capacity_tokens: int
    models: list[_Model] = []


class _Service(_Document):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None
    # set for a store of cache entries alone, which is on no list
    kv_store_addr: str = ""
    kv_capacity_tokens: int = 0
    failure_domain: str = ""

    @pydantic.field_validator("kv_store_addr")
    @classmethod
    def _is_address(cls, value: str) -> str:
        if value:
            model.split_peer_address(value)
        return value

    def record(self) -> route_api.Service:
        """Returns the service in the product's terms."""
        engine = None
        if self.engine is not None:
            engine = route_api.EngineCapacity(
                self.engine.slots,
                self.engine.kv_capacity_tokens,
                tuple(served.name for served in self.engine.models),
            )
        return route_api.Service(
            self.name, self.max_connections, engine, self._store()
        )

    def _store(self) -> route_api.CacheStore | None:
        if not self.kv_store_addr:
            return None
        ip, port = model.split_peer_address(self.kv_store_addr)
        return route_api.CacheStore(
            ip, port, self.failure_domain, self.kv_capacity_tokens
        )


class _Limits(_Document):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: _Number = 3_000.0
    idle_timeout_ms: _Number = 15_000.0


class _Team(_Document):
    name: str
    keys: list[str]
    priority: int | None = None
    is_isolated: bool = False

    def record(self) -> route_api.RouteTableTeam:
        """Returns the team in the product's terms."""
        digests = tuple(view.key_digest(key) for key in self.keys)
        return route_api.RouteTableTeam(
            self.name, digests, self.priority, self.is_isolated
        )


class _Table(_Document):
    # the document's own number, not that of any weights
    version: int
    routes: list[_Route]
    services: list[_Service]
    teams: list[_Team] = []
    limits: _Limits = _Limits()


class _Weights(_Document):
    model: str
    version: int


def read_table(data: bytes) -> route_api.RouteTable:
    """Returns the route table that a document holds.

    Raises:
        DocumentError: If it can't be read.
    """
    try:
        table = _Table.model_validate_json(data)
    except pydantic.ValidationError as error:
        raise DocumentError(_findings(error)) from error
    return route_api.RouteTable(
        revision=table.version,
        routes=tuple(route.record() for route in table.routes),
        services=tuple(service.record() for service in table.services),
        teams=tuple(team.record() for team in table.teams),
        limits=route_api.CallerLimits(**table.limits.model_dump()),
    )


def read_weights(data: bytes) -> tuple[str, int]:
    """Returns the model and the version of weights that a document names.

    Raises:
        DocumentError: If it can't be read.
    """
    try:
        weights = _Weights.model_validate_json(data)
    except pydantic.ValidationError as error:
        raise DocumentError(_findings(error)) from error
    return weights.model, weights.version


def _findings(error: pydantic.ValidationError) -> list[str]:
    return [
        f"{'.'.join(str(place) for place in detail['loc'])}: {detail['msg']}"
        for detail in error.errors()[:MAX_FINDINGS]
    ]


__all__ = ["DocumentError", "read_table", "read_weights"]
