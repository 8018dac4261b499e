"""The names of this package that other packages use."""

from __future__ import annotations

from lycheering.routes.difference import diff_tables
from lycheering.routes.index import RouteIndex
from lycheering.routes.records import AllowanceUnit
from lycheering.routes.records import CacheStore
from lycheering.routes.records import CallerLimits
from lycheering.routes.records import EngineCapacity
from lycheering.routes.records import Route
from lycheering.routes.records import RouteKind
from lycheering.routes.records import RouteTable
from lycheering.routes.records import RouteTableTeam
from lycheering.routes.records import Service
from lycheering.routes.records import ServiceShare
from lycheering.routes.validation import check_table

__all__ = [
    "AllowanceUnit",
    "CallerLimits",
    "EngineCapacity",
    "RouteTableTeam",
    "Route",
    "RouteIndex",
    "RouteKind",
    "RouteTable",
    "Service",
    "ServiceShare",
    "CacheStore",
    "check_table",
    "diff_tables",
]
