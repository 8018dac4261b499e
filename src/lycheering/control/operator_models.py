"""What operators send, validated at the border."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import pydantic

from lycheering.fleet import options
from lycheering.settings import model

Value = pydantic.StrictBool | pydantic.StrictInt | float | pydantic.StrictStr


class Body(pydantic.BaseModel):
    """A request body; members it does not know are findings."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ChangeBody(Body):
    """What every change of the configuration carries.

    Attributes:
        change_id: Unique to the change; equal when it is sent again.
        expected_revision: The config revision that the operator saw.
        operator: Who asks for it.
        reason: Why.
    """

    change_id: str
    expected_revision: int
    operator: str
    reason: str


class DefaultBody(ChangeBody):
    """Sets a default.

    Attributes:
        option: The option's name.
        value: Its value.
    """

    option: str
    value: Value


class ScopeBody(Body):
    """What an exception applies to.

    Attributes:
        kind: The kind of thing.
        name: Its name.
    """

    kind: options.ScopeKind
    name: str


class ExceptionBody(ChangeBody):
    """Adds an exception.

    Attributes:
        scope: What it applies to.
        option: The option's name.
        value: Its value within the scope.
    """

    scope: ScopeBody
    option: str
    value: Value


class TeamBody(ChangeBody):
    """Adds or replaces a team.

    Attributes:
        keys: Bearer keys, of which only the digests are kept.
        key_digests: SHA-256 digests of bearer keys.
    """

    keys: list[Annotated[str, pydantic.Field(min_length=8)]] = []
    key_digests: list[str] = []


class ResolveBody(Body):
    """Settles an unknown order.

    Attributes:
        operator: Who says so.
        reason: How the operator knows.
        resolution: Whether it ran.
    """

    operator: Annotated[str, pydantic.Field(pattern=r"\S")]
    reason: Annotated[str, pydantic.Field(pattern=r"\S")]
    resolution: Literal["not_run", "ran"]


class ReplaceBody(Body):
    """Replaces a member of the group.

    Attributes:
        old: The instance that leaves.
        new: The instance that joins.
        ip: Its IP number.
        port: Its port of the inner protocol.
    """

    old: model.Name
    new: model.Name
    ip: model.IpNumber
    port: model.Port


class CancelChangeBody(Body):
    """Gives up the replacement of a member.

    Attributes:
        joining: The identity of the newcomer, as the members are listed.
    """

    joining: str = pydantic.Field(min_length=1)


__all__ = [
    "Body",
    "CancelChangeBody",
    "ChangeBody",
    "DefaultBody",
    "ExceptionBody",
    "ReplaceBody",
    "ResolveBody",
    "ScopeBody",
    "TeamBody",
    "Value",
]
