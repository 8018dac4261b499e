"""Builds the calls of the HTTP API for operators."""

from __future__ import annotations

import secrets
import urllib.parse

import msgspec

from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.operator import client

MEMBER_CHANGE_TIMEOUT_MS = 300_000
RESPONSE_MARGIN_MS = 2_000
CHANGE_ID_BYTES = 8


class ChangeMetadata(msgspec.Struct, frozen=True):
    """The common fields of every configuration change.

    Attributes:
        change_id: The unique id of the change; a resend repeats it.
        expected_revision: The config revision that the change is based on;
            the change is rejected if another one is in force.
        operator: The operator who makes the change.
        reason: Why the change is made.
    """

    change_id: str
    expected_revision: int
    operator: str
    reason: str


class DefaultBody(ChangeMetadata, frozen=True):
    """The body of a call that sets a default.

    Attributes:
        option: The option's name.
        value: The new default.
    """

    option: str
    value: options.OptionValue


class ScopeBody(msgspec.Struct, frozen=True):
    """The scope that an exception applies to.

    Attributes:
        kind: The kind of the scope.
        name: The name of the team, model or other thing of that kind.
    """

    kind: options.ScopeKind
    name: str


class ExceptionBody(ChangeMetadata, frozen=True):
    """The body of a call that adds an exception.

    Attributes:
        scope: The scope that the exception applies to.
        option: The option's name.
        value: The option's value within the scope.
    """

    scope: ScopeBody
    option: str
    value: options.OptionValue


class TeamBody(ChangeMetadata, frozen=True):
    """The body of a call that adds or replaces a team.

    Attributes:
        keys: The team's bearer keys.
        key_digests: Digests of further bearer keys.
    """

    keys: tuple[str, ...]
    key_digests: tuple[str, ...]


class ResolveBody(msgspec.Struct, frozen=True):
    """The body of a call that resolves an order of unknown outcome.

    Attributes:
        operator: The operator who resolves the order.
        reason: Why the order is resolved this way.
        resolution: The outcome to record: `ran` or `not_run`.
    """

    operator: str
    reason: str
    resolution: str


class ReplaceBody(msgspec.Struct, frozen=True):
    """The body of a call that replaces a control instance.

    Attributes:
        old: The instance that leaves.
        new: The instance that joins.
        ip: The IP address of the instance that joins.
        port: The port of its internal protocol.
    """

    old: str
    new: str
    ip: str
    port: int


class CancelChangeBody(msgspec.Struct, frozen=True):
    """The body of a call that cancels the replacement of an instance.

    Attributes:
        joining: The id of the member that is joining.
    """

    joining: str


def new_change_id() -> str:
    """Returns a random id for a new change."""
    return secrets.token_hex(CHANGE_ID_BYTES)


def quote_segment(name: str) -> str:
    """Returns a name, percent-encoded as one segment of a path."""
    return urllib.parse.quote(name, safe="")


def _config_write(method: str, path: str, body: ChangeMetadata) -> client.Call:
    return client.Call(
        method,
        path,
        client.CallKind.IDEMPOTENT_WRITE,
        msgspec.json.encode(body),
    )


def read(path: str) -> client.Call:
    """Returns a call that reads a path."""
    return client.Call("GET", path)


def status(wait_revision: int, timeout_ms: int) -> client.Call:
    """Returns the call that reads the status.

    Args:
        wait_revision: The config revision to wait for; 0 to wait for none.
        timeout_ms: How long the control instance waits for it.
    """
    if not wait_revision:
        return read("/v1/status")
    query = f"wait_revision={wait_revision}&timeout_ms={timeout_ms}"
    return client.Call(
        "GET",
        f"/v1/status?{query}",
        timeout_ms=timeout_ms + RESPONSE_MARGIN_MS,
    )


def set_default(
    metadata: ChangeMetadata, option: str, value: options.OptionValue
) -> client.Call:
    """Returns the call that sets a default."""
    body = DefaultBody(
        **msgspec.structs.asdict(metadata), option=option, value=value
    )
    return _config_write("POST", "/v1/defaults", body)


def add_exception(
    metadata: ChangeMetadata,
    scope: records.Scope,
    option: str,
    value: options.OptionValue,
) -> client.Call:
    """Returns the call that adds an exception."""
    body = ExceptionBody(
        **msgspec.structs.asdict(metadata),
        scope=ScopeBody(scope.kind, scope.name),
        option=option,
        value=value,
    )
    return _config_write("POST", "/v1/exceptions", body)


def remove_exception(
    metadata: ChangeMetadata, exception_id: str
) -> client.Call:
    """Returns the call that removes an exception."""
    path = f"/v1/exceptions/{quote_segment(exception_id)}"
    return _config_write("DELETE", path, metadata)


def put_team(
    metadata: ChangeMetadata,
    name: str,
    keys: tuple[str, ...],
    key_digests: tuple[str, ...],
) -> client.Call:
    """Returns the call that adds or replaces a team."""
    body = TeamBody(
        **msgspec.structs.asdict(metadata), keys=keys, key_digests=key_digests
    )
    return _config_write("PUT", f"/v1/teams/{quote_segment(name)}", body)


def remove_team(metadata: ChangeMetadata, name: str) -> client.Call:
    """Returns the call that removes a team."""
    return _config_write("DELETE", f"/v1/teams/{quote_segment(name)}", metadata)


def drain(
    metadata: ChangeMetadata, target: str, *, drained: bool
) -> client.Call:
    """Returns the call that drains or undrains a target."""
    action = "drain" if drained else "undrain"
    path = f"/v1/targets/{quote_segment(target)}/{action}"
    return _config_write("POST", path, metadata)


def resolve_order(order_id: str, body: ResolveBody) -> client.Call:
    """Returns the call that resolves an order of unknown outcome."""
    return client.Call(
        "POST",
        f"/v1/orders/{quote_segment(order_id)}/resolve",
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
    """Returns the call that cancels a replacement."""
    return client.Call(
        "POST",
        "/v1/members/cancel",
        client.CallKind.WRITE,
        msgspec.json.encode(body),
    )


__all__ = [
    "CancelChangeBody",
    "ChangeMetadata",
    "DefaultBody",
    "ExceptionBody",
    "ReplaceBody",
    "ResolveBody",
    "ScopeBody",
    "TeamBody",
    "add_exception",
    "cancel_member_change",
    "drain",
    "new_change_id",
    "put_team",
    "quote_segment",
    "read",
    "remove_exception",
    "remove_team",
    "replace_member",
    "resolve_order",
    "set_default",
    "status",
]
