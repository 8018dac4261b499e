"""What operators can change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.control import commands
from lycheering.control import member_repairs
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
    """Commits operators' changes, through the leader if that is another."""

    def __init__(
        self,
        group: replica.Replica,
        reads: operator_reads.OperatorReads,
        time: clock.Clock,
    ) -> None:
        self._group = group
        self._repairs = member_repairs.MemberRepairs(group)
        self._reads = reads
        self._clock = time

    async def set_default(
        self, body: models.DefaultBody
    ) -> answers.WriteAnswer:
        """Sets a default."""
        edit = commands.SetDefault(body.option, body.value)
        return await self.change(body, edit)

    async def add_exception(
        self, body: models.ExceptionBody
    ) -> answers.WriteAnswer:
        """Adds an exception."""
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
        """Keeps new work from a target."""
        if name not in self._group.machine.fleet.target_by_name:
            raise operator_errors.not_found(f"no target {name!r}")
        scope = records.Scope(options.ScopeKind.TARGET, name)
        edit = commands.AddException(scope, DRAIN_OPTION, True)
        return await self.change(body, edit)

    async def undrain(
        self, name: str, body: models.ChangeBody
    ) -> answers.WriteAnswer:
        """Lets a target have new work again."""
        kept = self._group.machine.history.outcome_by_change_id
        known = kept.get(body.change_id)
        if known is not None:
            # the exception that a first sending removed is there no longer
            return await self.change(body, known.edit)
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
            OperatorError: If it was refused, lost or may not be done.
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
        """Settles an unknown order by an operator's word."""
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
            raise operator_errors.wrong_state(f"order is {reply.refusal}")
        return self._reads.order_answer(reply.order, True)

    async def replace(self, body: models.ReplaceBody) -> answers.ReplaceAnswer:
        """Replaces a member; answers once the repair is over."""
        call = peer_calls.ReplaceCall(
            body.old, body.new, f"{body.ip}:{body.port}"
        )
        try:
            done = await self._repairs.replace_anywhere(call)
        except (errors.ReplicationError, TimeoutError) as error:
            raise operator_errors.of_replication(error) from error
        return answers.ReplaceAnswer(done.joined, done.left, done.synced_index)

    async def cancel_change(
        self, body: models.CancelChangeBody
    ) -> answers.CancelChangeAnswer:
        """Gives up the replacement of a member."""
        call = peer_calls.CancelChangeCall(body.joining)
        try:
            done = await self._repairs.cancel_change_anywhere(call)
        except (errors.ReplicationError, TimeoutError) as error:
            raise operator_errors.of_replication(error) from error
        return answers.CancelChangeAnswer(done.joining)

    async def _propose(self, command: commands.Command) -> commands.Reply:
        try:
            return await self._group.propose_anywhere(command)
        except errors.ReplicationError as error:
            raise operator_errors.of_replication(error) from error


__all__ = ["DRAIN_OPTION", "OperatorWrites"]
