"""Changes of the fleet view, each of which creates one view revision."""

from __future__ import annotations

import msgspec

from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.routes import difference as table_difference
from lycheering.routes import records as route_records

MAX_CHANGES_PER_FRAME = 200


class DefaultSet(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The default of an option was set.

    Attributes:
        option: The option's name.
        value: The new default.
    """

    option: str
    value: options.OptionValue


class ExceptionAdded(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An exception was added.

    Attributes:
        record: The exception.
    """

    record: records.ExceptionRecord


class ExceptionRemoved(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An exception was removed.

    Attributes:
        exception_id: The exception's id.
    """

    exception_id: str


class TeamPut(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A team was added or replaced.

    Attributes:
        team: The team.
    """

    team: records.Team


class TeamRemoved(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A team was removed.

    Attributes:
        name: The team's name.
    """

    name: str


class TargetPut(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A target was registered, or its record changed.

    Attributes:
        target: The target.
    """

    target: records.Target


class TargetRemoved(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A target was removed for good.

    Attributes:
        name: The target's name.
    """

    name: str


class RouteTablePut(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A route table took effect.

    Attributes:
        table: The table.
    """

    table: route_records.RouteTable


class RouteTableChanged(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A route table took effect; sent as a difference, to save bytes.

    Attributes:
        difference: The difference from the previous route table.
    """

    difference: table_difference.RouteTableDifference


class DirectTargetPut(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A target without an agent was listed, or its record changed.

    Attributes:
        target: The target.
    """

    target: records.DirectTarget


class DirectTargetRemoved(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A target without an agent was removed.

    Attributes:
        key: The key of that run of the target; see DirectTarget.key.
    """

    key: str


class WeightsNamed(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """A new weights version was requested for all targets of a model.

    Attributes:
        model: The model.
        version: The weights version.
        wall_ms: Wall-clock time of the request, at the instance that received
            it.
    """

    model: str
    version: int
    wall_ms: int = 0


Change = (
    DefaultSet
    | ExceptionAdded
    | ExceptionRemoved
    | TeamPut
    | TeamRemoved
    | TargetPut
    | TargetRemoved
    | RouteTablePut
    | RouteTableChanged
    | DirectTargetPut
    | DirectTargetRemoved
    | WeightsNamed
)

ConfigChange = (
    DefaultSet | ExceptionAdded | ExceptionRemoved | TeamPut | TeamRemoved
)


class NumberedChange(msgspec.Struct, frozen=True, array_like=True):
    """A change and the view revision that it creates.

    Attributes:
        view_revision: The view revision after the change.
        config_revision: The config revision after the change.
        change: The change.
    """

    view_revision: int
    config_revision: int
    change: Change


__all__ = [
    "MAX_CHANGES_PER_FRAME",
    "Change",
    "ConfigChange",
    "DefaultSet",
    "DirectTargetPut",
    "DirectTargetRemoved",
    "ExceptionAdded",
    "ExceptionRemoved",
    "NumberedChange",
    "RouteTableChanged",
    "RouteTablePut",
    "TargetPut",
    "TargetRemoved",
    "TeamPut",
    "TeamRemoved",
    "WeightsNamed",
]
