"""Changes of the fleet view, each of which makes one view revision."""

from __future__ import annotations

import msgspec

from lycheering.fleet import options
from lycheering.fleet import records

MAX_CHANGES_PER_FRAME = 200


class DefaultSet(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A default was set.

    Attributes:
        option: The option's name.
        value: Its value from now on.
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
    """A target left for good.

    Attributes:
        name: The target's name.
    """

    name: str


Change = (
    DefaultSet
    | ExceptionAdded
    | ExceptionRemoved
    | TeamPut
    | TeamRemoved
    | TargetPut
    | TargetRemoved
)

ConfigChange = (
    DefaultSet | ExceptionAdded | ExceptionRemoved | TeamPut | TeamRemoved
)


class NumberedChange(msgspec.Struct, frozen=True, array_like=True):
    """A change and the view revision that it makes.

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
    "ExceptionAdded",
    "ExceptionRemoved",
    "NumberedChange",
    "TargetPut",
    "TargetRemoved",
    "TeamPut",
    "TeamRemoved",
]
