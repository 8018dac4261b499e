"""The fleet options that operators set, by default and by exception."""

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
    """What an exception applies to."""

    TARGET = "target"
    TEAM = "team"
    SERVICE = "service"
    MODEL = "model"
    FAILURE_DOMAIN = "failure_domain"


# the narrowest scope wins where several exceptions apply
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
        default: Its value where operators set none; fixes the type.
        help: What it does, with its unit.
        low: The lowest number allowed.
        high: The highest number allowed.
        choices: The texts allowed; any when empty.
        scopes: What exceptions to it may apply to.
    """

    name: str
    default: OptionValue
    help: str
    low: float = 0
    high: float = 1e12
    choices: tuple[str, ...] = ()
    scopes: frozenset[ScopeKind] = ALL_SCOPES

    def problem(self, value: OptionValue) -> str:
        """Returns why a value is not allowed, or an empty text."""
        wanted = type(self.default)
        if wanted is float and type(value) is int:
            value = float(value)
        if type(value) is not wanted:
            return f"{self.name}: expected {wanted.__name__}, found {value!r}"
        if isinstance(value, int | float) and not isinstance(value, bool):
            if not self.low <= value <= self.high:
                limits = f"{self.low:g} to {self.high:g}"
                return f"{self.name}: {value!r} is outside {limits}"
        elif self.choices and value not in self.choices:
            allowed = ", ".join(self.choices)
            return f"{self.name}: {value!r} is none of {allowed}"
        return ""


_TARGETS = frozenset(
    {ScopeKind.TARGET, ScopeKind.MODEL, ScopeKind.FAILURE_DOMAIN}
)
_CALLERS = frozenset({ScopeKind.TEAM, ScopeKind.MODEL, ScopeKind.SERVICE})

_OPTIONS = (
    Option("limits.max_running", 8, "requests a target runs at once", 1),
    Option("limits.max_queued", 64, "requests that wait at one agent", 0),
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
        "requests in flight per team and entry",
        1,
        scopes=frozenset({ScopeKind.TEAM}),
    ),
    Option("deadline_ms.brief", 120_000, "ms to the whole answer", 1),
    Option("deadline_ms.tag_query", 10_000, "ms to the whole answer", 1),
    Option("deadline_ms.order", 60_000, "ms to the whole answer", 1),
    Option("deadline_ms.lookup", 5_000, "ms to the whole answer", 1),
    Option("deadline_ms.check", 10_000, "ms to the whole answer", 1),
    Option("deadline_ms.match", 30_000, "ms to the whole answer", 1),
    Option("priority.brief", 50, "smaller is served first", 0, 100),
    Option("priority.tag_query", 20, "smaller is served first", 0, 100),
    Option("priority.order", 30, "smaller is served first", 0, 100),
    Option("priority.lookup", 20, "smaller is served first", 0, 100),
    Option("priority.check", 10, "smaller is served first", 0, 100),
    Option("priority.match", 15, "smaller is served first", 0, 100),
    Option("retry.budget_ratio", 0.1, "retries per first attempt", 0, 1),
    Option("retry.max_attempts", 4, "attempts per request", 1, 16),
    Option(
        "routing.reuse_weight",
        0.7,
        "0 weighs tail time only, 1 weighs reuse only",
        0,
        1,
        scopes=_CALLERS,
    ),
    Option(
        "routing.candidates",
        6,
        "ranked targets compared per request",
        1,
        32,
        scopes=_CALLERS,
    ),
    Option(
        "routing.policy",
        "affinity",
        "how targets are chosen",
        choices=("affinity", "round_robin", "least_loaded", "prefix_hash"),
        scopes=_CALLERS,
    ),
    Option(
        "routing.ask_ms",
        25,
        "ms to ask ranked targets what they hold; 0 never asks",
        0,
        1_000,
        scopes=_CALLERS,
    ),
    Option("routing.max_width", 4, "targets one hot prefix may use", 1, 64),
    Option(
        "prefix.shared_levels",
        2,
        "outermost prompt levels that teams share",
        0,
        16,
        scopes=frozenset({ScopeKind.TEAM, ScopeKind.MODEL}),
    ),
    Option(
        "weights.version",
        "",
        "weights that a target shall serve; empty leaves them",
        scopes=_TARGETS,
    ),
    Option(
        "adapters.loaded",
        "",
        "adapters that a target shall hold, comma-separated",
        scopes=_TARGETS,
    ),
    Option(
        "target.role",
        "general",
        "what a target is used for",
        choices=("general", "prefill", "decode", "standby"),
        scopes=_TARGETS,
    ),
    Option(
        "target.checks_fencing",
        False,
        "whether a target refuses an old fencing number",
        scopes=frozenset({ScopeKind.TARGET, ScopeKind.SERVICE}),
    ),
    Option(
        "target.drained",
        False,
        "whether a target gets no new work",
        scopes=_TARGETS,
    ),
    Option(
        "calls.repeatable",
        True,
        "whether a plain service's calls may be repeated",
        scopes=frozenset({ScopeKind.SERVICE}),
    ),
    Option("kv.import", True, "whether kept KV cache is imported"),
    Option(
        "kv.leave_export_ms",
        0,
        "ms that a leaving target exports KV cache for; 0 never does",
        0,
        60_000,
    ),
    Option(
        "kv.leave_export_blocks",
        256,
        "blocks that a leaving target exports",
        0,
        100_000,
    ),
    Option(
        "orders.retention_ms",
        24 * MS_PER_HOUR,
        "ms that an order's outcome is kept",
        1_000,
    ),
    Option(
        "orders.ask_back",
        True,
        "whether an order in doubt is asked for at its agent",
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
