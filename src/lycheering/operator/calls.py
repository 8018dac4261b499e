"""The calls that the operators' HTTP interface knows."""

from __future__ import annotations

import secrets
import urllib.parse

import msgspec

from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.operator import client

MEMBER_CHANGE_TIMEOUT_MS = 300_000
WAIT_MARGIN_MS = 2_000
CHANGE_ID_BYTES = 8


class Signature(msgspec.Struct, frozen=True):
    """What every configuration change carries.

    Attributes:
        change_id: Unique to the change; a resend carries it again.
        expected_revision: The config revision that the operator looked at.
        operator: Who makes the change.
        reason: Why.
    """

    change_id: str
    expected_revision: int
    operator: str
    reason: str


class DefaultBody(Signature, frozen=True):
    """Sets a default.

    Attributes:
        option: The option's name.
        value: Its value from now on.
    """

    option: str
    value: options.OptionValue


class ScopeBody(msgspec.Struct, frozen=True):
    """What an exception applies to.

    Attributes:
        kind: The kind of thing.
        name: Its name.
    """

    kind: options.ScopeKind
    name: str


class ExceptionBody(Signature, frozen=True):
    """Adds an exception.

    Attributes:
        scope: What it applies to.
        option: The option's name.
        value: The option's value within the scope.
    """

    scope: ScopeBody
    option: str
    value: options.OptionValue


class TeamBody(Signature, frozen=True):
    """Adds or replaces a team.

    Attributes:
        keys: Its bearer keys.
        key_digests: Digests of further bearer keys.
    """

    keys: tuple[str, ...]
    key_digests: tuple[str, ...]


class ResolveBody(msgspec.Struct, frozen=True):
    """Settles an order whose outcome is unknown.

    Attributes:
        operator: Who settles it.
        reason: Why.
        resolution: Whether it ran.
    """

    operator: str
    reason: str
    resolution: str


class ReplaceBody(msgspec.Struct, frozen=True):
    """Replaces a control instance.

    Attributes:
        old: The instance that leaves.
        new: The instance that joins.
        ip: The IP number of the one that joins.
        port: Its port of the inner protocol.
    """

    old: str
    new: str
    ip: str
    port: int


class CancelChangeBody(msgspec.Struct, frozen=True):
    """Gives up the replacement of a control instance.

    Attributes:
        joining: The identity of the one that was to join.
    """

    joining: str


def new_change_id() -> str:
    """Returns an id that no other change has."""
    return secrets.token_hex(CHANGE_ID_BYTES)


def quote(name: str) -> str:
    """Returns a name as one segment of a path."""
    return urllib.parse.quote(name, safe="")


def _write(method: str, path: str, body: Signature) -> client.Call:
    return client.Call(
        method,
        path,
        client.CallKind.IDEMPOTENT_WRITE,
        msgspec.json.encode(body),
    )


def read(path: str) -> client.Call:
    """Returns a call that only reads."""
    return client.Call("GET", path)


def status(wait_revision: int, timeout_ms: int) -> client.Call:
    """Returns the call for the status, at a revision if one is given."""
    if not wait_revision:
        return read("/v1/status")
    query = f"wait_revision={wait_revision}&timeout_ms={timeout_ms}"
    return client.Call(
        "GET",
        f"/v1/status?{query}",
        timeout_ms=timeout_ms + WAIT_MARGIN_MS,
    )


def set_default(
    signature: Signature, option: str, value: options.OptionValue
) -> client.Call:
    """Returns the call that sets a default."""
    body = DefaultBody(
        **msgspec.structs.asdict(signature), option=option, value=value
    )
    return _write("POST", "/v1/defaults", body)


def add_exception(
    signature: Signature,
    scope: records.Scope,
    option: str,
    value: options.OptionValue,
) -> client.Call:
    """Returns the call that adds an exception."""
    body = ExceptionBody(
        **msgspec.structs.asdict(signature),
        scope=ScopeBody(scope.kind, scope.name),
        option=option,
        value=value,
    )
    return _write("POST", "/v1/exceptions", body)


def remove_exception(signature: Signature, exception_id: str) -> client.Call:
    """Returns the call that removes an exception."""
    path = f"/v1/exceptions/{quote(exception_id)}"
    return _write("DELETE", path, signature)


def put_team(
    signature: Signature,
    name: str,
    keys: tuple[str, ...],
    key_digests: tuple[str, ...],
) -> client.Call:
    """Returns the call that adds or replaces a team."""
    body = TeamBody(
        **msgspec.structs.asdict(signature), keys=keys, key_digests=key_digests
    )
    return _write("PUT", f"/v1/teams/{quote(name)}", body)


def remove_team(signature: Signature, name: str) -> client.Call:
    """Returns the call that removes a team."""
    return _write("DELETE", f"/v1/teams/{quote(name)}", signature)


def drain(signature: Signature, target: str, *, drained: bool) -> client.Call:
    """Returns the call that drains a target, or ends that."""
    verb = "drain" if drained else "undrain"
    path = f"/v1/targets/{quote(target)}/{verb}"
    return _write("POST", path, signature)


def resolve_order(order_id: str, body: ResolveBody) -> client.Call:
    """Returns the call that settles an order by hand."""
    return client.Call(
        "POST",
        f"/v1/orders/{quote(order_id)}/resolve",
        client.CallKind.WRITE,
        msgspec.json.encode(body),
    )


def replace_member(body: ReplaceBody) -> client.Call:
    """Returns the call that replaces a control instance."""
    return client.Call(
        "POST",
        "/v1/members/replace",
        client.CallKind.WRITE,
        msgspec.json.encode(body),
        MEMBER_CHANGE_TIMEOUT_MS,
    )


def cancel_member_change(body: CancelChangeBody) -> client.Call:
    """Returns the call that gives up a replacement."""
    return client.Call(
        "POST",
        "/v1/members/cancel",
        client.CallKind.WRITE,
        msgspec.json.encode(body),
    )


__all__ = [
    "CancelChangeBody",
    "DefaultBody",
    "ExceptionBody",
    "ReplaceBody",
    "ResolveBody",
    "ScopeBody",
    "Signature",
    "TeamBody",
    "add_exception",
    "cancel_member_change",
    "drain",
    "new_change_id",
    "put_team",
    "quote",
    "read",
    "remove_exception",
    "remove_team",
    "replace_member",
    "resolve_order",
    "set_default",
    "status",
]
