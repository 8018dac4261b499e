"""The commands of the replicated state machine, and their replies."""

from __future__ import annotations

import msgspec

from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.orders import records as order_records
from lycheering.routes import records as route_records
from lycheering.wire import messages

# edits of the configuration


class SetDefault(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Sets the default of an option.

    Attributes:
        option: The option's name.
        value: The new default.
    """

    option: str
    value: options.OptionValue


class AddException(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Adds an exception, or replaces the one of equal scope and option.

    Attributes:
        scope: The scope that the exception applies to.
        option: The option's name.
        value: The option's value within the scope.
    """

    scope: records.Scope
    option: str
    value: options.OptionValue


class RemoveException(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Removes an exception.

    Attributes:
        exception_id: The exception's id.
    """

    exception_id: str


class PutTeam(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Adds or replaces a team.

    Attributes:
        name: The team's name.
        key_digests: The SHA-256 digests of the team's bearer keys.
    """

    name: str
    key_digests: tuple[str, ...]


class RemoveTeam(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Removes a team.

    Attributes:
        name: The team's name.
    """

    name: str


Edit = SetDefault | AddException | RemoveException | PutTeam | RemoveTeam


# commands


class ChangeConfig(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Changes the configuration if it still has the expected revision.

    Attributes:
        change_id: Unique id of the change; a resend has the same id.
        expected_revision: The config revision that the change is based on.
        operator: The operator who makes the change.
        reason: The operator's reason.
        at_ms: Wall-clock time at the proposer in milliseconds.
        edit: The edit.
    """

    change_id: str
    expected_revision: int
    operator: str
    reason: str
    at_ms: int
    edit: Edit


class RegisterTargets(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Puts targets into the fleet view.

    Attributes:
        targets: The targets, with their agents' incarnations.
        at_ms: Wall-clock time at the proposer in milliseconds.
    """

    targets: tuple[records.Target, ...]
    at_ms: int


class MarkTarget(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Changes the state of a target.

    Attributes:
        name: The target's name.
        agent_incarnation: The agent incarnation that the state applies to.
        state: The new state.
        has_deregistered: Whether the agent itself deregistered.
    """

    name: str
    agent_incarnation: str
    state: records.TargetState
    has_deregistered: bool = False


class GrantFence(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Grants the next fencing number."""


class ClaimOrder(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Claims the right to run an order once.

    Attributes:
        claim: The claim as the entry sent it.
        at_ms: Wall-clock time at the leader in milliseconds.
    """

    claim: messages.OrderClaim
    at_ms: int


class FinishOrder(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Commits an order's outcome.

    Attributes:
        order_id: The claim's id.
        outcome: The target's answer.
        at_ms: Wall-clock time at the leader in milliseconds.
    """

    order_id: str
    outcome: messages.OrderOutcome
    at_ms: int


class ReleaseOrder(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Releases a claim whose order did not run and never will.

    Attributes:
        order_id: The claim's id.
        reason: Why the order did not run.
        at_ms: Wall-clock time at the leader in milliseconds.
    """

    order_id: str
    reason: str
    at_ms: int


class MarkOrderUnknown(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Records that it can't be known whether an order ran.

    Attributes:
        order_id: The claim's id.
        reason: Why it can't be known.
        at_ms: Wall-clock time at the leader in milliseconds.
    """

    order_id: str
    reason: str
    at_ms: int


class ResolveOrder(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Resolves an unknown order by an operator's decision.

    Attributes:
        order_id: The claim's id.
        ran: Whether the order ran.
        operator: The operator who decided.
        reason: What the decision is based on.
        at_ms: Wall-clock time at the leader in milliseconds.
    """

    order_id: str
    ran: bool
    operator: str
    reason: str
    at_ms: int


class ExpireOrders(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Drops orders whose retention time is over.

    Attributes:
        at_ms: Wall-clock time at the leader in milliseconds.
    """

    at_ms: int


class PutRouteTable(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """Puts a route table in force if its revision is higher.

    Attributes:
        table: The table.
        source: The table as submitted, stored for callers that read it back.
        cache_generation: The generation that is known to the proposer; -1 in
            commands of releases without generations, which change none.
    """

    table: route_records.RouteTable
    source: bytes
    cache_generation: int = -1


class NameWeights(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """Sets the weights version of a model; the highest version wins.

    Attributes:
        model: The model.
        version: The weights version.
        wall_ms: Wall-clock time at the proposer in milliseconds.
    """

    model: str
    version: int
    wall_ms: int = 0


class ChangeDirectTargets(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """Adds, changes and removes targets that entries connect to directly.

    Attributes:
        put: Targets that are new or changed.
        removed: The keys of targets that no longer run.
    """

    put: tuple[records.DirectTarget, ...]
    removed: tuple[str, ...] = ()


class TakeDirectOrders(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """Makes an instance the only one that sends orders to direct targets.

    Attributes:
        holder: The name of the control instance.
    """

    holder: str


Command = (
    ChangeConfig
    | RegisterTargets
    | MarkTarget
    | GrantFence
    | ClaimOrder
    | FinishOrder
    | ReleaseOrder
    | MarkOrderUnknown
    | ResolveOrder
    | ExpireOrders
    | PutRouteTable
    | NameWeights
    | ChangeDirectTargets
    | TakeDirectOrders
)


# replies


class Winner(msgspec.Struct, frozen=True, array_like=True):
    """The accepted change that a rejected change conflicts with.

    Attributes:
        revision: The config revision that the change produced.
        operator: The operator who made the change.
        change_id: The change's id.
    """

    revision: int
    operator: str
    change_id: str


class ChangeOutcome(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The outcome of a change, recorded to answer resends.

    Attributes:
        change_id: The change's id.
        accepted: Whether the change was applied.
        config_revision: The config revision after the change.
        view_revision: The view revision after the change.
        exception_id: The id of the exception that the change added.
        winner: The accepted change that this one conflicts with.
        findings: Everything that is wrong with the change.
        resent: Whether the change was sent before and this is its recorded
            outcome.
    """

    change_id: str
    accepted: bool
    config_revision: int
    view_revision: int
    exception_id: str = ""
    winner: Winner | None = None
    findings: tuple[str, ...] = ()
    resent: bool = False


class FenceGranted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers RegisterTargets, MarkTarget and GrantFence.

    Attributes:
        highest_fence: The highest fencing number granted so far.
    """

    highest_fence: int


class Applied(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answers PutRouteTable, NameWeights and ChangeDirectTargets.

    Attributes:
        changed: Whether anything changed.
    """

    changed: bool


class DirectOrdersTaken(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Answers TakeDirectOrders.

    Attributes:
        fence: The fencing number for the holder's orders.
        previous_holder: The holder before this one; empty if there was none.
    """

    fence: int
    previous_holder: str


class OrderAnswer(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answers a command on a single order.

    Attributes:
        done: Whether the command took effect.
        refusal: Why the command took no effect.
        granted: Whether a claim was granted.
        same_digest: Whether the request is the one that the key was first
            used with.
        order: The order after the command, if there is one.
    """

    done: bool
    refusal: str = ""
    granted: bool = False
    same_digest: bool = True
    order: order_records.Order | None = None


class Expired(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers ExpireOrders.

    Attributes:
        count: The number of orders that were dropped.
    """

    count: int


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Answers a command that can't be applied.

    Attributes:
        detail: Why it can't be applied.
    """

    detail: str


Reply = (
    ChangeOutcome
    | FenceGranted
    | OrderAnswer
    | Expired
    | Refused
    | Applied
    | DirectOrdersTaken
)

_ENCODER = msgspec.msgpack.Encoder()
_COMMANDS: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_REPLIES: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)


def encode(message: Command | Reply) -> bytes:
    """Encodes a command or a reply."""
    return _ENCODER.encode(message)


def decode_command(data: bytes) -> Command:
    """Decodes a command.

    Raises:
        msgspec.DecodeError: If the bytes are not a command.
    """
    return _COMMANDS.decode(data)


def decode_reply(data: bytes) -> Reply:
    """Decodes a reply.

    Raises:
        msgspec.DecodeError: If the bytes are not a reply.
    """
    return _REPLIES.decode(data)


__all__ = [
    "AddException",
    "Applied",
    "ChangeConfig",
    "ChangeDirectTargets",
    "ChangeOutcome",
    "ClaimOrder",
    "Command",
    "DirectOrdersTaken",
    "Edit",
    "ExpireOrders",
    "Expired",
    "FenceGranted",
    "FinishOrder",
    "GrantFence",
    "MarkOrderUnknown",
    "MarkTarget",
    "NameWeights",
    "OrderAnswer",
    "PutRouteTable",
    "PutTeam",
    "Refused",
    "RegisterTargets",
    "ReleaseOrder",
    "RemoveException",
    "RemoveTeam",
    "Reply",
    "ResolveOrder",
    "SetDefault",
    "TakeDirectOrders",
    "Winner",
    "decode_command",
    "decode_reply",
    "encode",
]
