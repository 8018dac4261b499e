"""Lets requests pass within the allowances of their teams."""

from __future__ import annotations

import asyncio
import collections
import random
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.app import api as app_api
from lycheering.entry import control_client
from lycheering.forward import refusals
from lycheering.limits import allowance_reporter
from lycheering.limits import allowance_terms
from lycheering.routes import api as route_api
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.forward import pending_request
    from lycheering.limits import team_allowance
    from lycheering.telemetry import counters
    from lycheering.wire import api as wire_api

INTERVAL_MS = 100.0
# limits for the whole fleet, so that the leader keeps up: of regular
# exchanges, and of those for requests that wait
MAX_EXCHANGES_PER_S = 700.0
MAX_EARLY_EXCHANGES_PER_S = 2_800.0
MIN_INTERVAL_MS = 10.0
EXCHANGE_TIMEOUT_MS = 200.0
# while requests wait, so that a lost exchange is repeated in time
EARLY_EXCHANGE_TIMEOUT_MS = 150.0
# A request waits for the leader's reply at most this long, and this fraction
# of its latency objective.
MAX_WAIT_MS = 250.0
MAX_WAIT_FRACTION = 0.5
# the same after the leader has replied that it has not enough yet
MAX_SHORTAGE_FRACTION = 0.125
# without a reply from the leader for this long, requests don't wait for it
LEADER_TIMEOUT_MS = 600.0
MIN_RETRY_MS = 200.0
MAX_RETRY_MS = 10_000.0
NO_LEADER_RETRY_MS = 1_000.0
MAX_JITTER = 1.5
# a team without a refusal for this long is within its allowance again
QUIET_MS = 3_000.0
QUIET_CHECK_INTERVAL_MS = 500.0

_LOG = logs.get("allowances")


class _Waiter:
    """A request that waits for its part of an allowance.

    Attributes:
        amount: What it counts as.
        shortage_until_ms: Time until which it waits if the leader has not
            enough.
        is_asked_for: Whether an exchange has asked the leader for it.
        charge: Its charge; None if it is refused.
    """

    def __init__(self, amount: int, shortage_until_ms: float) -> None:
        self.amount = amount
        self.shortage_until_ms = shortage_until_ms
        self.is_asked_for = False
        self.charge: asyncio.Future[team_allowance.Charge | None] = (
            asyncio.get_running_loop().create_future()
        )


class AllowanceGate(app_api.Part):
    """Charges requests to the allowances of their teams.

    A request passes at once if this entry holds enough of its team's
    allowance. Otherwise it waits, for a short time, until the leader has
    granted more, in the order of arrival whatever its size.
    """

    def __init__(
        self,
        control: control_client.ControlClient,
        identity: wire_api.Identity,
        rule: allowance_terms.AllowanceRule,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        """Creates a gate that holds nothing.

        Args:
            control: Client of the control instances.
            identity: Identity of this entry.
            rule: How much teams may exceed their allowances.
            time: The clock.
            counts: The counters of the process.
        """
        self._control = control
        self._clock = time
        self._counters = counts
        self._rng = random.Random()
        self._reporter = allowance_reporter.AllowanceReporter(
            identity.name, identity.incarnation, rule
        )
        self._entry_count = 1
        self._waiters_by_team: dict[str, collections.deque[_Waiter]] = {}
        self._wake = asyncio.Event()
        self._failing_since_ms: float | None = None
        self._checked_ms = 0.0
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Starts to exchange with the leader."""
        self._tasks.spawn_with_restarts(self._run, "allowances")

    async def stop(self) -> None:
        """Stops exchanging."""
        await self._tasks.cancel_all()

    def set_entry_count(self, entry_count: int) -> None:
        """Sets the number of entries, as the leader counts them."""
        self._entry_count = max(1, entry_count)
        self._reporter.set_entry_count(entry_count, self._clock.now_ms())

    async def admit(self, request: pending_request.PendingRequest) -> None:
        """Charges a request to its team's allowance before it is sent.

        Raises:
            RefusalError: If the team's allowance is used up.
        """
        team = request.team
        if team is None or not team.has_allowance:
            return
        amount = _amount(request, team)
        now_ms = self._clock.now_ms()
        allowance = self._reporter.find(team, now_ms)
        allowance.count_demand(amount, now_ms)
        charge = None
        # those that wait already come first
        if team.name not in self._waiters_by_team:
            charge = self._try_use(allowance, amount)
        if charge is None:
            charge = await self._wait(request, allowance, amount)
            request.allowance_wait_ms = self._clock.now_ms() - now_ms
        if charge is None:
            self._refuse(allowance, amount)
        request.allowance_charge = charge
        self._counters.increment("allowance.passed")

    def admit_repeat(self, request: pending_request.PendingRequest) -> bool:
        """Charges another run of a request; returns whether it may run."""
        team = request.team
        if team is None or not team.has_allowance:
            return True
        allowance = self._reporter.find(team, self._clock.now_ms())
        charge = self._try_use(allowance, _amount(request, team))
        if charge is None:
            self._counters.increment("allowance.repeat_refused")
            return False
        request.allowance_charge = charge
        return True

    def refund(self, request: pending_request.PendingRequest) -> None:
        """Gives back what a request was charged that certainly did not run."""
        charge = request.allowance_charge
        if charge is None or request.team is None:
            return
        request.allowance_charge = None
        allowance = self._reporter.by_team.get(request.team.name)
        if allowance is not None:
            allowance.refund(charge, self._clock.now_ms())
            self._reporter.mark_changed(request.team.name)
            self._counters.increment("allowance.refunded")

    def _try_use(
        self, allowance: team_allowance.TeamAllowance, amount: int
    ) -> team_allowance.Charge | None:
        now_ms = self._clock.now_ms()
        charge = allowance.try_use(
            amount, now_ms, is_connected=self._reporter.is_connected(now_ms)
        )
        if charge is not None and charge.granted:
            self._reporter.mark_changed(allowance.name)
        return charge

    async def _wait(
        self,
        request: pending_request.PendingRequest,
        allowance: team_allowance.TeamAllowance,
        amount: int,
    ) -> team_allowance.Charge | None:
        """Waits for a part of the allowance; returns None if it gets none."""
        objective_ms = request.route.objective_ms or request.route.timeout_ms
        wait_ms = min(MAX_WAIT_MS, MAX_WAIT_FRACTION * objective_ms)
        now_ms = self._clock.now_ms()
        if allowance.exhausted_until_ms > now_ms or self._is_cut_off(now_ms):
            return None
        shortage_ms = min(MAX_WAIT_MS, MAX_SHORTAGE_FRACTION * objective_ms)
        waiter = _Waiter(amount, now_ms + shortage_ms)
        waiters = self._waiters_by_team.setdefault(
            allowance.name, collections.deque()
        )
        waiters.append(waiter)
        self._wake.set()
        self._counters.increment("allowance.waited")
        try:
            async with asyncio.timeout(wait_ms / clock.MS_PER_S):
                return await waiter.charge
        except TimeoutError:
            if waiter.charge.cancelled():
                return None
            # it was charged as the time ran out
            return waiter.charge.result()
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
            if not waiters:
                self._waiters_by_team.pop(allowance.name, None)

    def _is_cut_off(self, now_ms: float) -> bool:
        since_ms = self._failing_since_ms
        return since_ms is not None and now_ms - since_ms > LEADER_TIMEOUT_MS

    def _refuse(
        self, allowance: team_allowance.TeamAllowance, amount: int
    ) -> None:
        """Raises the refusal of a request beyond its team's allowance.

        Raises:
            RefusalError: Always.
        """
        now_ms = self._clock.now_ms()
        if allowance.refused_ms is None:
            self._log("allowance_exceeded", allowance, amount)
        allowance.refused_ms = now_ms
        allowance.refused_count += 1
        allowance.unreported += amount
        self._reporter.mark_changed(allowance.name)
        self._counters.increment("allowance.refused")
        terms = allowance.terms
        raise refusals.RefusalError(
            refusals.Reason.OVER_ALLOWANCE,
            f"team {allowance.name} has an allowance of {terms.per_s:.0f} a"
            f" second; the request counts as {amount}",
            self._retry_after_ms(allowance, amount, now_ms),
        )

    def _retry_after_ms(
        self,
        allowance: team_allowance.TeamAllowance,
        amount: int,
        now_ms: float,
    ) -> float:
        """Returns a random delay until the allowance should suffice."""
        terms = allowance.terms
        if amount > terms.capacity + terms.overshoot:
            return 0.0  # it never does
        retry_ms = max(MIN_RETRY_MS, allowance.retry_at_ms - now_ms)
        if self._is_cut_off(now_ms):
            retry_ms = NO_LEADER_RETRY_MS
            base_ms = allowance.base_wait_ms(amount, now_ms)
            if base_ms is not None:
                retry_ms = max(MIN_RETRY_MS, min(MAX_RETRY_MS, base_ms))
        return retry_ms * self._rng.uniform(1.0, MAX_JITTER)

    def _log(
        self, event: str, allowance: team_allowance.TeamAllowance, amount: int
    ) -> None:
        now_ms = self._clock.now_ms()
        is_connected = self._reporter.is_connected(now_ms)
        _LOG.event(
            event,
            team=allowance.name,
            per_s=allowance.terms.per_s,
            burst=allowance.terms.burst,
            asked=amount,
            available=allowance.available(now_ms, is_connected=is_connected),
            exhausted_ms=round(max(0.0, allowance.exhausted_until_ms - now_ms)),
            refused=allowance.refused_count,
            leader="connected" if is_connected else "none",
            entries=self._entry_count,
        )

    async def _run(self) -> None:
        while True:
            await self._wait_for_cause()
            self._wake.clear()
            await self._exchange()
            self._end_exceedances()
            spacing_ms = (
                self._entry_count / MAX_EARLY_EXCHANGES_PER_S * clock.MS_PER_S
            )
            await self._clock.sleep(max(MIN_INTERVAL_MS, spacing_ms))

    async def _wait_for_cause(self) -> None:
        """Waits for the next regular exchange, or for a waiting request."""
        interval_ms = max(
            INTERVAL_MS,
            self._entry_count / MAX_EXCHANGES_PER_S * clock.MS_PER_S,
        )
        if self._waiters_by_team:
            # what came while an exchange was under way is not granted yet
            granted_in_ms = self._reporter.next_grant_ms(
                self._waiters_by_team, self._clock.now_ms()
            )
            interval_ms = min(interval_ms, granted_in_ms)
        # without any limited team there is nothing to exchange
        timeout_s = (
            interval_ms / clock.MS_PER_S if self._reporter.by_team else None
        )
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _exchange(self) -> None:
        waiting_by_team = {
            name: [waiter.amount for waiter in waiters]
            for name, waiters in self._waiters_by_team.items()
        }
        for name, waiters in self._waiters_by_team.items():
            self._reporter.mark_changed(name)
            for waiter in waiters:
                waiter.is_asked_for = True
        exchange = self._reporter.next_exchange(
            waiting_by_team, self._clock.now_ms()
        )
        if exchange is None:
            return
        timeout_ms = EXCHANGE_TIMEOUT_MS
        if waiting_by_team:
            timeout_ms = EARLY_EXCHANGE_TIMEOUT_MS
        try:
            reply = await self._control.call(exchange, timeout_ms)
        except (
            control_client.ControlUnavailableError,
            errors.WireError,
        ) as error:
            _LOG.debug("exchange_failed", error=error)
            self._record_failure()
            return
        if not isinstance(reply, messages.AllowanceReply):
            self._record_failure()
            return
        if self._failing_since_ms is not None:
            _LOG.event("allowances_shared")
        self._failing_since_ms = None
        now_ms = self._clock.now_ms()
        if reply.epoch != exchange.epoch:
            self._wake.set()
        for name in self._reporter.apply_reply(reply, now_ms):
            self._serve_waiters(name, now_ms)

    def _record_failure(self) -> None:
        self._reporter.record_failure()
        if self._failing_since_ms is None:
            self._failing_since_ms = self._clock.now_ms()
            _LOG.event("allowances_not_shared")

    def _serve_waiters(self, name: str, now_ms: float) -> None:
        """Lets waiting requests of a team pass, the first one first."""
        waiters = self._waiters_by_team.get(name)
        allowance = self._reporter.by_team.get(name)
        if not waiters or allowance is None:
            return
        while waiters:
            charge = self._try_use(allowance, waiters[0].amount)
            if charge is None:
                break
            self._end_wait(waiters.popleft(), charge)
        enough_at_ms = max(now_ms, allowance.first_at_ms)
        while (
            waiters
            and waiters[0].is_asked_for
            and waiters[0].shortage_until_ms <= enough_at_ms
        ):
            self._end_wait(waiters.popleft(), None)
            # what is said of the first one does not hold for the others
            enough_at_ms = max(now_ms, allowance.exhausted_until_ms)

    def _end_wait(
        self, waiter: _Waiter, charge: team_allowance.Charge | None
    ) -> None:
        if not waiter.charge.done():
            waiter.charge.set_result(charge)

    def _end_exceedances(self) -> None:
        """Notes the teams that are within their allowances again."""
        now_ms = self._clock.now_ms()
        if now_ms - self._checked_ms < QUIET_CHECK_INTERVAL_MS:
            return
        self._checked_ms = now_ms
        for allowance in self._reporter.by_team.values():
            refused_ms = allowance.refused_ms
            if refused_ms is not None and now_ms - refused_ms >= QUIET_MS:
                self._log("allowance_kept", allowance, 0)
                allowance.refused_ms = None
                allowance.refused_count = 0


def _amount(
    request: pending_request.PendingRequest, team: route_api.RouteTableTeam
) -> int:
    """Returns what a request counts as, in the unit of the allowance."""
    if team.unit is route_api.AllowanceUnit.REQUESTS:
        return 1
    metadata = request.metadata
    tokens = metadata.prompt_tokens + metadata.output_tokens
    return tokens or team.plain_tokens


__all__ = ["AllowanceGate"]
