"""The request bodies of operators' calls."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import pydantic

from lycheering.fleet import options
from lycheering.settings import model

Value = pydantic.StrictBool | pydantic.StrictInt | float | pydantic.StrictStr


class Body(pydantic.BaseModel):
    """A request body; unknown members are findings."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ChangeBody(Body):
    """The members that all changes of the configuration have.

    Attributes:
        change_id: Unique id of the change; a resend has the same id.
        expected_revision: The config revision that the change is based on.
        operator: The operator who makes the change.
        reason: The operator's reason.
    """

    change_id: str
    expected_revision: int
    operator: str
    reason: str


class DefaultBody(ChangeBody):
    """Sets the default of an option.

    Attributes:
        option: The option's name.
        value: The new default.
    """

    option: str
    value: Value


class ScopeBody(Body):
    """The scope of an exception.

    Attributes:
        kind: The kind of scope.
        name: The name of the team, target or other subject.
    """

    kind: options.ScopeKind
    name: str


class ExceptionBody(ChangeBody):
    """Adds an exception, or replaces the one of equal scope and option.

    Attributes:
        scope: The scope that the exception applies to.
        option: The option's name.
        value: The option's value within the scope.
    """

    scope: ScopeBody
    option: str
    value: Value


class TeamBody(ChangeBody):
    """Adds or replaces a team.

    Attributes:
        keys: Bearer keys; only their digests are stored.
        key_digests: SHA-256 digests of bearer keys.
    """

    keys: list[Annotated[str, pydantic.Field(min_length=8)]] = []
    key_digests: list[str] = []


class ResolveBody(Body):
    """Resolves an unknown order.

    Attributes:
        operator: The operator who decided.
        reason: What the decision is based on.
        resolution: Whether the order ran.
    """

    operator: Annotated[str, pydantic.Field(pattern=r"\S")]
    reason: Annotated[str, pydantic.Field(pattern=r"\S")]
    resolution: Literal["not_run", "ran"]


class ReplaceBody(Body):
    """Replaces a member of the group.

    Attributes:
        old: The instance to remove.
        new: The instance to add.
        ip: The IP address of the new instance.
        port: The port of the new instance's inner protocol.
    """

    old: model.Name
    new: model.Name
    ip: model.IpNumber
    port: model.Port


class CancelChangeBody(Body):
    """Cancels the replacement of a member.

    Attributes:
        joining: The identity of the new member as the member list shows it.
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
