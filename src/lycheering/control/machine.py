"""The replicated state machine of the control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.control import commands
from lycheering.control import config_rules
from lycheering.control import history
from lycheering.control import target_registry
from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.orders import ledger
from lycheering.orders import records as order_records
from lycheering.routes import api as route_api
from lycheering.routes import cache_sharing
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

_LOG = logs.get("control")


class MachineSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of the whole state.

    Attributes:
        highest_fence: The highest fencing number granted.
        fleet: The fleet view.
        history: The configuration changes and their outcomes.
        targets: The target state that is not part of the fleet view.
        orders: The order ledger.
        route_table_source: The route table, byte for byte as it was submitted.
        direct_orders_holder: The instance that sends orders to targets
            without an agent.
        sharing: Who has shared cache entries; None if nobody has kept it.
    """

    highest_fence: int
    fleet: view.ViewSnapshot
    history: history.HistorySnapshot
    targets: target_registry.TargetRegistrySnapshot
    orders: order_records.LedgerSnapshot
    route_table_source: bytes = b""
    direct_orders_holder: str = ""
    sharing: cache_sharing.SharingHistory | None = None


class ControlMachine:
    """Applies committed commands to the state.

    Applying is deterministic, so that all control instances reach the same
    state. An invalid command is refused and changes nothing.

    Attributes:
        fleet: The fleet view.
        history: The configuration changes and their outcomes.
        targets: The target state that is not part of the fleet view.
        orders: The order ledger.
        highest_fence: The highest fencing number granted.
        route_table_source: The route table, byte for byte as it was submitted.
        direct_orders_holder: The instance that sends orders to targets
            without an agent.
        sharing: Who has shared cache entries; None if nobody has kept it.
    """

    def __init__(self) -> None:
        self.fleet = view.FleetView()
        self.history = history.History()
        self.targets = target_registry.TargetRegistry()
        self.orders = ledger.Ledger()
        self.highest_fence = 0
        self.route_table_source = b""
        self.direct_orders_holder = ""
        self.sharing: cache_sharing.SharingHistory | None = None
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function to call after each change of the fleet view."""
        self._listeners.append(listener)

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns the encoded reply."""
        previous_revision = self.fleet.view_revision
        try:
            decoded = commands.decode_command(command)
        except (msgspec.DecodeError, RecursionError) as error:
            _LOG.error("bad_command", index=index, detail=str(error)[:200])
            return commands.encode(commands.Refused("not a command"))
        reply = self._execute(decoded)
        if self.fleet.view_revision != previous_revision:
            self._notify_listeners()
        return commands.encode(reply)

    def snapshot(self) -> bytes:
        """Returns the whole state, encoded."""
        return msgspec.msgpack.encode(
            MachineSnapshot(
                self.highest_fence,
                self.fleet.snapshot(),
                self.history.snapshot(),
                self.targets.snapshot(),
                self.orders.snapshot(),
                self.route_table_source,
                self.direct_orders_holder,
                self.sharing,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by an encoded snapshot."""
        state = msgspec.msgpack.decode(data, type=MachineSnapshot)
        self.fleet = view.FleetView()
        self.fleet.restore(state.fleet)
        self.history.restore(state.history)
        self.targets.restore(state.targets)
        self.orders.restore(state.orders)
        self.highest_fence = state.highest_fence
        self.route_table_source = state.route_table_source
        self.direct_orders_holder = state.direct_orders_holder
        self.sharing = state.sharing
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _execute(self, command: commands.Command) -> commands.Reply:
        match command:
            case commands.ChangeConfig():
                return self._change_config(command)
            case commands.RegisterTargets(targets, at_ms):
                for target in targets:
                    self.targets.register(self.fleet, target, at_ms)
                return commands.FenceGranted(self.highest_fence)
            case commands.MarkTarget():
                self.targets.mark(
                    self.fleet,
                    command.name,
                    command.agent_incarnation,
                    command.state,
                    has_deregistered=command.has_deregistered,
                )
                return commands.FenceGranted(self.highest_fence)
            case commands.GrantFence():
                self.highest_fence += 1
                return commands.FenceGranted(self.highest_fence)
            case commands.PutRouteTable():
                return self._put_route_table(command)
            case commands.NameWeights():
                return self._name_weights(command)
            case commands.ChangeDirectTargets():
                return self._change_direct_targets(command)
            case commands.TakeDirectOrders(holder):
                return self._take_direct_orders(holder)
        return self._execute_order_command(command)

    def _put_route_table(
        self, command: commands.PutRouteTable
    ) -> commands.Reply:
        findings = route_api.check_table(command.table)
        if findings:
            return commands.Refused("; ".join(findings))
        current = self.fleet.route_table
        if current is not None and command.table.revision <= current.revision:
            return commands.Applied(False)
        self.route_table_source = command.source
        table = self._with_cache_generation(current, command)
        self.fleet.add_change(
            _route_table_change(current, table), by_operator=True
        )
        return commands.Applied(True)

    def _with_cache_generation(
        self,
        current: route_api.RouteTable | None,
        command: commands.PutRouteTable,
    ) -> route_api.RouteTable:
        """Returns the table of a command with its cache generation.

        Commands of releases without generations are applied as these did, so
        that all instances reach the same state.
        """
        generation = current.cache_generation if current is not None else 0
        if command.cache_generation >= 0:
            before = generation
            self.sharing, generation = cache_sharing.update_generation(
                self.sharing, current, command.table
            )
            generation = max(generation, command.cache_generation)
            if generation > before:
                _LOG.event(
                    "cache_generation",
                    generation=generation,
                    table=command.table.revision,
                )
        return msgspec.structs.replace(
            command.table, cache_generation=generation
        )

    def _name_weights(self, command: commands.NameWeights) -> commands.Reply:
        current_version = self.fleet.requested_version_by_model.get(
            command.model, 0
        )
        if command.version <= current_version:
            return commands.Applied(False)
        named = changes.WeightsNamed(
            command.model, command.version, command.wall_ms
        )
        self.fleet.add_change(named, by_operator=True)
        return commands.Applied(True)

    def _change_direct_targets(
        self, command: commands.ChangeDirectTargets
    ) -> commands.Reply:
        target_by_key = self.fleet.direct_target_by_key
        previous_revision = self.fleet.view_revision
        for target in command.put:
            if target_by_key.get(target.key) != target:
                self.fleet.add_change(
                    changes.DirectTargetPut(target), by_operator=False
                )
        for key in command.removed:
            if key in target_by_key:
                self.fleet.add_change(
                    changes.DirectTargetRemoved(key), by_operator=False
                )
        return commands.Applied(self.fleet.view_revision > previous_revision)

    def _take_direct_orders(self, holder: str) -> commands.Reply:
        previous = self.direct_orders_holder
        self.direct_orders_holder = holder
        self.highest_fence += 1
        return commands.DirectOrdersTaken(self.highest_fence, previous)

    def _execute_order_command(
        self, command: commands.Command
    ) -> commands.Reply:
        orders = self.orders
        match command:
            case commands.ClaimOrder(claim, at_ms):
                result = orders.claim(claim, self.highest_fence + 1, at_ms)
                if result.is_granted:
                    self.highest_fence += 1
                return _order_answer(result)
            case commands.FinishOrder(order_id, outcome, at_ms):
                return _order_answer(orders.finish(order_id, outcome, at_ms))
            case commands.ReleaseOrder(order_id, reason, at_ms):
                return _order_answer(orders.release(order_id, reason, at_ms))
            case commands.MarkOrderUnknown(order_id, reason, at_ms):
                return _order_answer(
                    orders.mark_unknown(order_id, reason, at_ms)
                )
            case commands.ResolveOrder():
                reason = f"{command.operator}: {command.reason}"
                return _order_answer(
                    orders.resolve(
                        command.order_id, command.ran, reason, command.at_ms
                    )
                )
            case commands.ExpireOrders(at_ms):
                return commands.Expired(orders.expire(at_ms))
        return commands.Refused(type(command).__name__)

    def _change_config(
        self, command: commands.ChangeConfig
    ) -> commands.ChangeOutcome:
        recorded = self.history.outcome_by_change_id.get(command.change_id)
        if recorded is not None:
            return self._answer_resend(command, recorded)
        findings = config_rules.findings_of(command, self.fleet)
        expected = command.expected_revision
        current = self.fleet.config_revision
        if findings:
            # not recorded, so that the corrected change may reuse its id
            return self._outcome(command, False, findings=tuple(findings))
        if expected != current:
            winner = self.history.winner(expected + 1)
            outcome = self._outcome(command, False, winner=winner)
        else:
            exception_id = self._apply_edit(command)
            outcome = self._outcome(command, True, exception_id=exception_id)
        self.history.record(command, outcome)
        return outcome

    def _answer_resend(
        self, command: commands.ChangeConfig, recorded: history.RecordedOutcome
    ) -> commands.ChangeOutcome:
        is_same = (
            recorded.edit == command.edit
            and recorded.expected_revision == command.expected_revision
        )
        if is_same:
            return msgspec.structs.replace(recorded.outcome, resent=True)
        finding = "change_id: was used for another change"
        return self._outcome(command, False, findings=(finding,))

    def _outcome(
        self,
        command: commands.ChangeConfig,
        accepted: bool,
        *,
        exception_id: str = "",
        winner: commands.Winner | None = None,
        findings: tuple[str, ...] = (),
    ) -> commands.ChangeOutcome:
        return commands.ChangeOutcome(
            command.change_id,
            accepted,
            self.fleet.config_revision,
            self.fleet.view_revision,
            exception_id,
            winner,
            findings,
        )

    def _apply_edit(self, command: commands.ChangeConfig) -> str:
        """Applies an edit; returns the id of the exception if it adds one."""
        revision = self.fleet.config_revision + 1
        change: changes.ConfigChange
        exception_id = ""
        match command.edit:
            case commands.SetDefault(option, value):
                change = changes.DefaultSet(option, value)
            case commands.AddException():
                record = self._exception_record(command, command.edit, revision)
                exception_id = record.exception_id
                change = changes.ExceptionAdded(record)
            case commands.RemoveException(removed_id):
                change = changes.ExceptionRemoved(removed_id)
            case commands.PutTeam(name, key_digests):
                change = changes.TeamPut(records.Team(name, key_digests))
            case commands.RemoveTeam(name):
                change = changes.TeamRemoved(name)
        self.fleet.add_change(change, by_operator=True)
        return exception_id

    def _exception_record(
        self,
        command: commands.ChangeConfig,
        edit: commands.AddException,
        revision: int,
    ) -> records.ExceptionRecord:
        exception_id = f"x{revision}"
        for existing in self.fleet.exception_by_id.values():
            if existing.scope == edit.scope and existing.option == edit.option:
                # a scope has one value per option; it keeps its first id
                exception_id = existing.exception_id
        return records.ExceptionRecord(
            exception_id,
            edit.scope,
            edit.option,
            edit.value,
            command.reason,
            command.operator,
            revision,
        )


def _route_table_change(
    current: route_api.RouteTable | None, table: route_api.RouteTable
) -> changes.RouteTablePut | changes.RouteTableChanged:
    """Returns the smallest change that puts a table in force."""
    if current is not None:
        difference = route_api.diff_tables(current, table)
        if difference is not None:
            return changes.RouteTableChanged(difference)
    return changes.RouteTablePut(table)


def _order_answer(result: ledger.CommandResult) -> commands.OrderAnswer:
    return commands.OrderAnswer(
        result.is_accepted,
        result.refusal_reason,
        result.is_granted,
        result.has_same_digest,
        result.order,
    )


__all__ = ["ControlMachine", "MachineSnapshot"]
