"""The operators' write calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.control import commands
from lycheering.control import member_replacements
from lycheering.control import operator_errors
from lycheering.control import peer_calls
from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.operator import answers
from lycheering.replication import errors

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import operator_models as models
    from lycheering.control import operator_reads
    from lycheering.control import replica

DRAIN_OPTION = "target.drained"


class OperatorWrites:
    """Commits operators' changes, forwarding them if another instance leads."""

    def __init__(
        self,
        group: replica.Replica,
        reads: operator_reads.OperatorReads,
        time: clock.Clock,
    ) -> None:
        self._group = group
        self._replacements = member_replacements.MemberReplacements(group)
        self._reads = reads
        self._clock = time

    async def set_default(
        self, body: models.DefaultBody
    ) -> answers.WriteAnswer:
        """Sets the default of an option."""
        edit = commands.SetDefault(body.option, body.value)
        return await self.change(body, edit)

    async def add_exception(
        self, body: models.ExceptionBody
    ) -> answers.WriteAnswer:
        """Adds an exception, or replaces the one of equal scope and option."""
        scope = records.Scope(body.scope.kind, body.scope.name)
        edit = commands.AddException(scope, body.option, body.value)
        return await self.change(body, edit)

    async def put_team(
        self, name: str, body: models.TeamBody
    ) -> answers.WriteAnswer:
        """Adds or replaces a team."""
        digests = [view.key_digest(key) for key in body.keys]
        digests += body.key_digests
        edit = commands.PutTeam(name, tuple(dict.fromkeys(digests)))
        return await self.change(body, edit)

    async def drain(
        self, name: str, body: models.ChangeBody
    ) -> answers.WriteAnswer:
        """Drains a target: routes no new requests to it."""
        if name not in self._group.machine.fleet.target_by_name:
            raise operator_errors.not_found(f"no target {name!r}")
        scope = records.Scope(options.ScopeKind.TARGET, name)
        edit = commands.AddException(scope, DRAIN_OPTION, True)
        return await self.change(body, edit)

    async def undrain(
        self, name: str, body: models.ChangeBody
    ) -> answers.WriteAnswer:
        """Ends the drain of a target."""
        recorded_by_id = self._group.machine.history.outcome_by_change_id
        recorded = recorded_by_id.get(body.change_id)
        if recorded is not None:
            # a resend: the first call already removed the exception
            return await self.change(body, recorded.edit)
        scope = records.Scope(options.ScopeKind.TARGET, name)
        for record in self._group.machine.fleet.exception_by_id.values():
            if record.scope == scope and record.option == DRAIN_OPTION:
                edit = commands.RemoveException(record.exception_id)
                return await self.change(body, edit)
        raise operator_errors.not_found(f"target {name!r} is not drained")

    async def change(
        self, body: models.ChangeBody, edit: commands.Edit
    ) -> answers.WriteAnswer:
        """Commits a change of the configuration.

        Raises:
            OperatorError: If the change was refused, conflicts with another
                change or has an unknown outcome.
        """
        command = commands.ChangeConfig(
            body.change_id,
            body.expected_revision,
            body.operator,
            body.reason,
            self._clock.wall_ms(),
            edit,
        )
        outcome = await self._propose(command)
        if not isinstance(outcome, commands.ChangeOutcome):
            raise operator_errors.bad_request([str(outcome)])
        if outcome.findings:
            raise operator_errors.bad_request(list(outcome.findings))
        if not outcome.accepted:
            raise operator_errors.OperatorError(
                409,
                "conflict",
                f"expected revision {body.expected_revision},"
                f" found {outcome.config_revision}",
                winner=outcome.winner,
            )
        return answers.WriteAnswer(
            outcome.change_id,
            outcome.config_revision,
            outcome.view_revision,
            outcome.resent,
            outcome.exception_id,
        )

    async def resolve(
        self, order_id: str, body: models.ResolveBody
    ) -> answers.OrderAnswer:
        """Resolves an unknown order by the operator's decision."""
        command = commands.ResolveOrder(
            order_id,
            body.resolution == "ran",
            body.operator,
            body.reason,
            self._clock.wall_ms(),
        )
        reply = await self._propose(command)
        if not isinstance(reply, commands.OrderAnswer) or reply.order is None:
            raise operator_errors.not_found(f"no order {order_id!r}")
        if not reply.done:
            raise operator_errors.wrong_state(f"the order is {reply.refusal}")
        return self._reads.order_answer(reply.order, True)

    async def replace(self, body: models.ReplaceBody) -> answers.ReplaceAnswer:
        """Replaces a member; returns once the replacement is complete."""
        call = peer_calls.ReplaceCall(
            body.old, body.new, f"{body.ip}:{body.port}"
        )
        try:
            replaced = await self._replacements.replace_via_leader(call)
        except (errors.ReplicationError, TimeoutError) as error:
            raise operator_errors.replication_error(error) from error
        return answers.ReplaceAnswer(
            replaced.joined, replaced.left, replaced.synced_index
        )

    async def cancel_change(
        self, body: models.CancelChangeBody
    ) -> answers.CancelChangeAnswer:
        """Cancels the replacement of a member."""
        call = peer_calls.CancelChangeCall(body.joining)
        try:
            cancelled = await self._replacements.cancel_change_via_leader(call)
        except (errors.ReplicationError, TimeoutError) as error:
            raise operator_errors.replication_error(error) from error
        return answers.CancelChangeAnswer(cancelled.joining)

    async def _propose(self, command: commands.Command) -> commands.Reply:
        try:
            return await self._group.propose_via_leader(command)
        except errors.ReplicationError as error:
            raise operator_errors.replication_error(error) from error


__all__ = ["DRAIN_OPTION", "OperatorWrites"]
