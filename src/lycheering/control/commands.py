"""The commands that control instances agree on, and their replies."""

from __future__ import annotations

import msgspec

from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.orders import records as order_records
from lycheering.routes import records as route_records
from lycheering.wire import messages

# what an operator changes


class SetDefault(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Sets a default.

    Attributes:
        option: The option's name.
        value: Its value.
    """

    option: str
    value: options.OptionValue


class AddException(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Adds an exception, or replaces the one of equal scope and option.

    Attributes:
        scope: What it applies to.
        option: The option's name.
        value: Its value within the scope.
    """

    scope: records.Scope
    option: str
    value: options.OptionValue


class RemoveException(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Removes an exception.

    Attributes:
        exception_id: Its id.
    """

    exception_id: str


class PutTeam(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Adds or replaces a team.

    Attributes:
        name: The team's name.
        key_digests: SHA-256 digests of its bearer keys.
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
    """Changes the configuration, unless another change came first.

    Attributes:
        change_id: Unique to the change; equal when it is sent again.
        expected_revision: The config revision that the operator saw.
        operator: Who asks for it.
        reason: Why.
        at_ms: Wall-clock time at the proposer.
        edit: What changes.
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
        at_ms: Wall-clock time at the proposer.
    """

    targets: tuple[records.Target, ...]
    at_ms: int


class MarkTarget(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Changes the state of a target.

    Attributes:
        name: The target's name.
        agent_incarnation: The incarnation that the mark is for.
        state: Its state from now on.
        departed: Whether the agent itself said that it leaves.
    """

    name: str
    agent_incarnation: str
    state: records.TargetState
    departed: bool = False


class GrantFence(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Grants the next fencing number."""


class ClaimOrder(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Claims the right to run an order once.

    Attributes:
        claim: What the entry asked for.
        at_ms: Wall-clock time at the leader.
    """

    claim: messages.OrderClaim
    at_ms: int


class FinishOrder(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Commits an order's outcome.

    Attributes:
        order_id: The claim's id.
        outcome: The answer.
        at_ms: Wall-clock time at the leader.
    """

    order_id: str
    outcome: messages.OrderOutcome
    at_ms: int


class ReleaseOrder(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Gives a claim back that was never run and never will be.

    Attributes:
        order_id: The claim's id.
        reason: Why it did not run.
        at_ms: Wall-clock time at the leader.
    """

    order_id: str
    reason: str
    at_ms: int


class MarkOrderUnknown(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Records that nobody can tell whether an order ran.

    Attributes:
        order_id: The claim's id.
        reason: Why nobody can tell.
        at_ms: Wall-clock time at the leader.
    """

    order_id: str
    reason: str
    at_ms: int


class ResolveOrder(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Settles an unknown order by an operator's word.

    Attributes:
        order_id: The claim's id.
        ran: Whether it ran.
        operator: Who says so.
        reason: How the operator knows.
        at_ms: Wall-clock time at the leader.
    """

    order_id: str
    ran: bool
    operator: str
    reason: str
    at_ms: int


class ExpireOrders(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Drops what was kept long enough.

    Attributes:
        at_ms: Wall-clock time at the leader.
    """

    at_ms: int


class PutRouteTable(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """Puts a route table in force, unless one as new is.

    Attributes:
        table: The table.
        source: What its sender sent, kept for those that read it back.
    """

    table: route_records.RouteTable
    source: bytes


class NameWeights(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """Names the weights that are wanted of a model; the highest wins.

    Attributes:
        model: The model.
        version: The weights version.
        wall_ms: Wall-clock time at the proposer.
    """

    model: str
    version: int
    wall_ms: int = 0


class ChangeDirectTargets(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """Puts and removes targets that entries reach by themselves.

    Attributes:
        put: Targets that are new or changed.
        removed: Keys of the runs that are gone.
    """

    put: tuple[records.DirectTarget, ...]
    removed: tuple[str, ...] = ()


class TakeDirectOrders(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """Makes an instance the one that orders targets without an agent.

    Attributes:
        holder: The instance.
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
    """The change that came first.

    Attributes:
        revision: The config revision that it made.
        operator: Who made it.
        change_id: Its id.
    """

    revision: int
    operator: str
    change_id: str


class ChangeOutcome(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What became of a change; kept for those that send it again.

    Attributes:
        change_id: The change.
        accepted: Whether it took place.
        config_revision: The config revision after it.
        view_revision: The view revision after it.
        exception_id: The exception that it added.
        winner: The change that it lost against.
        findings: Everything wrong with it.
        resent: Whether this is the outcome of an earlier sending.
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
    """Answers commands that always take effect or change nothing.

    Attributes:
        changed: Whether anything changed.
    """

    changed: bool


class DirectOrdersTaken(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Answers TakeDirectOrders.

    Attributes:
        fence: The fencing number for the holder's orders.
        previous_holder: Who ordered before; empty for nobody.
    """

    fence: int
    previous_holder: str


class OrderAnswer(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answers the commands on one order.

    Attributes:
        done: Whether the command took effect.
        refusal: Why not.
        granted: Whether a claim was granted.
        same_digest: Whether the key was used with the same request.
        order: The order after the command, if it is known.
    """

    done: bool
    refusal: str = ""
    granted: bool = False
    same_digest: bool = True
    order: order_records.Order | None = None


class Expired(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers ExpireOrders.

    Attributes:
        count: How many orders were dropped.
    """

    count: int


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Answers a command that can't be applied.

    Attributes:
        detail: Why.
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
    """Returns a command's or a reply's bytes."""
    return _ENCODER.encode(message)


def decode_command(data: bytes) -> Command:
    """Reads a command.

    Raises:
        msgspec.DecodeError: If the bytes hold none.
    """
    return _COMMANDS.decode(data)


def decode_reply(data: bytes) -> Reply:
    """Reads a reply.

    Raises:
        msgspec.DecodeError: If the bytes hold none.
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
