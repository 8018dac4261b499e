"""The fleet options: defaults that operators set, and exceptions to them."""

from __future__ import annotations

import dataclasses
import enum
import types
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

OptionValue = bool | int | float | str

MS_PER_HOUR = 3_600_000


class ScopeKind(enum.StrEnum):
    """Kind of thing that an exception applies to."""

    TARGET = "target"
    TEAM = "team"
    SERVICE = "service"
    MODEL = "model"
    FAILURE_DOMAIN = "failure_domain"


# if several exceptions apply, the one with the narrowest scope wins
PRECEDENCE = (
    ScopeKind.TARGET,
    ScopeKind.TEAM,
    ScopeKind.SERVICE,
    ScopeKind.MODEL,
    ScopeKind.FAILURE_DOMAIN,
)
ALL_SCOPES = frozenset(ScopeKind)


@dataclasses.dataclass(frozen=True)
class Option:
    """One option of the fleet.

    Attributes:
        name: Its name.
        default: Its value if operators set none; determines the type.
        help: Its effect and unit, as shown to operators.
        low: The lowest number allowed.
        high: The highest number allowed.
        choices: The strings allowed; any if empty.
        scopes: Kinds of scope that exceptions to it may have.
    """

    name: str
    default: OptionValue
    help: str
    low: float = 0
    high: float = 1e12
    choices: tuple[str, ...] = ()
    scopes: frozenset[ScopeKind] = ALL_SCOPES

    def problem(self, value: OptionValue) -> str:
        """Returns why a value is not allowed, or an empty string."""
        expected = type(self.default)
        if expected is float and type(value) is int:
            value = float(value)
        if type(value) is not expected:
            return f"{self.name}: expected {expected.__name__}, found {value!r}"
        if isinstance(value, int | float) and not isinstance(value, bool):
            if not self.low <= value <= self.high:
                limits = f"{self.low:g} to {self.high:g}"
                return f"{self.name}: {value!r} is outside {limits}"
        elif self.choices and value not in self.choices:
            allowed = ", ".join(self.choices)
            return f"{self.name}: {value!r} is none of {allowed}"
        return ""


_TARGET_SCOPES = frozenset(
    {ScopeKind.TARGET, ScopeKind.MODEL, ScopeKind.FAILURE_DOMAIN}
)
_REQUEST_SCOPES = frozenset(
    {ScopeKind.TEAM, ScopeKind.MODEL, ScopeKind.SERVICE}
)

_OPTIONS = (
    Option(
        "limits.max_running",
        8,
        "maximum number of requests that a target runs at once",
        1,
    ),
    Option(
        "limits.max_queued",
        64,
        "maximum number of requests that wait at one agent",
        0,
    ),
    Option(
        "limits.team_share",
        1.0,
        "weight of a team in fair queueing",
        0.001,
        1_000,
        scopes=frozenset({ScopeKind.TEAM}),
    ),
    Option(
        "limits.team_open_requests",
        400,
        "maximum number of in-flight requests per team and entry",
        1,
        scopes=frozenset({ScopeKind.TEAM}),
    ),
    Option(
        "deadline_ms.brief", 120_000, "deadline in ms for the whole answer", 1
    ),
    Option(
        "deadline_ms.tag_query",
        10_000,
        "deadline in ms for the whole answer",
        1,
    ),
    Option(
        "deadline_ms.order", 60_000, "deadline in ms for the whole answer", 1
    ),
    Option(
        "deadline_ms.lookup", 5_000, "deadline in ms for the whole answer", 1
    ),
    Option(
        "deadline_ms.check", 10_000, "deadline in ms for the whole answer", 1
    ),
    Option(
        "deadline_ms.match", 30_000, "deadline in ms for the whole answer", 1
    ),
    Option(
        "priority.brief", 50, "priority; lower numbers are served first", 0, 100
    ),
    Option(
        "priority.tag_query",
        20,
        "priority; lower numbers are served first",
        0,
        100,
    ),
    Option(
        "priority.order", 30, "priority; lower numbers are served first", 0, 100
    ),
    Option(
        "priority.lookup",
        20,
        "priority; lower numbers are served first",
        0,
        100,
    ),
    Option(
        "priority.check", 10, "priority; lower numbers are served first", 0, 100
    ),
    Option(
        "priority.match", 15, "priority; lower numbers are served first", 0, 100
    ),
    Option(
        "retry.budget_ratio", 0.1, "retries allowed per first attempt", 0, 1
    ),
    Option(
        "retry.max_attempts", 4, "maximum number of attempts per request", 1, 16
    ),
    Option(
        "routing.reuse_weight",
        0.7,
        "weight of cache reuse in ranking targets; 0 ranks by expected time"
        " only, 1 by reuse only",
        0,
        1,
        scopes=_REQUEST_SCOPES,
    ),
    Option(
        "routing.candidates",
        6,
        "number of ranked targets compared per request",
        1,
        32,
        scopes=_REQUEST_SCOPES,
    ),
    Option(
        "routing.policy",
        "affinity",
        "policy that selects targets",
        choices=("affinity", "round_robin", "least_loaded", "prefix_hash"),
        scopes=_REQUEST_SCOPES,
    ),
    Option(
        "routing.ask_ms",
        25,
        "ms to wait for cache reports of ranked targets; 0 never asks them",
        0,
        1_000,
        scopes=_REQUEST_SCOPES,
    ),
    Option(
        "routing.max_width",
        4,
        "maximum number of targets for one hot prefix",
        1,
        64,
    ),
    Option(
        "prefix.shared_levels",
        2,
        "number of outermost prompt levels shared between teams",
        0,
        16,
        scopes=frozenset({ScopeKind.TEAM, ScopeKind.MODEL}),
    ),
    Option(
        "weights.version",
        "",
        "weights version that a target should serve; empty leaves it as it is",
        scopes=_TARGET_SCOPES,
    ),
    Option(
        "adapters.loaded",
        "",
        "adapters that a target should have loaded, comma-separated",
        scopes=_TARGET_SCOPES,
    ),
    Option(
        "target.role",
        "general",
        "what a target is used for",
        choices=("general", "prefill", "decode", "standby"),
        scopes=_TARGET_SCOPES,
    ),
    Option(
        "target.checks_fencing",
        False,
        "whether a target refuses outdated fencing numbers",
        scopes=frozenset({ScopeKind.TARGET, ScopeKind.SERVICE}),
    ),
    Option(
        "target.drained",
        False,
        "whether a target is drained: it gets no new work",
        scopes=_TARGET_SCOPES,
    ),
    Option(
        "calls.repeatable",
        True,
        "whether calls to a plain service may be repeated",
        scopes=frozenset({ScopeKind.SERVICE}),
    ),
    Option("kv.import", True, "whether KV cache is imported from the KV store"),
    Option(
        "kv.leave_export_ms",
        0,
        "ms for which a leaving target exports KV cache; 0 disables exports",
        0,
        60_000,
    ),
    Option(
        "kv.leave_export_blocks",
        256,
        "maximum number of KV cache blocks that a leaving target exports",
        0,
        100_000,
    ),
    Option(
        "orders.retention_ms",
        24 * MS_PER_HOUR,
        "ms for which the outcome of an order is kept",
        1_000,
    ),
    Option(
        "orders.ask_back",
        True,
        "whether the agent is asked for the outcome of an order in doubt",
    ),
)

OPTION_BY_NAME: Mapping[str, Option] = types.MappingProxyType(
    {option.name: option for option in _OPTIONS}
)


__all__ = [
    "ALL_SCOPES",
    "MS_PER_HOUR",
    "OPTION_BY_NAME",
    "PRECEDENCE",
    "Option",
    "OptionValue",
    "ScopeKind",
]
