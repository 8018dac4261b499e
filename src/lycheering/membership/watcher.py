"""Marks targets by the platform's list and agents' sessions, on the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.membership import platform_list
from lycheering.membership import reconcile
from lycheering.telemetry import logs
from lycheering.web import client

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheering import clock
    from lycheering.fleet import records
    from lycheering.membership import api
    from lycheering.settings import model
    from lycheering.telemetry import counters

# time without a session after which an agent counts as silent
SILENCE_THRESHOLD_MS = 5_000

_LOG = logs.get("membership")


class MembershipWatcher(app_api.Part):
    """Marks targets as leaving or gone while this process is the leader."""

    def __init__(
        self,
        membership: api.Membership,
        settings: model.LogStoreSettings,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._membership = membership
        self._settings = settings
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._silent_since_ms_by_target: dict[str, float] = {}

    async def start(self) -> None:
        """Starts the periodic checks."""
        self._tasks.spawn_with_restarts(self._run, "membership:watch")

    async def stop(self) -> None:
        """Stops the periodic checks."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._settings.platform_poll_ms)
            if not self._membership.is_leader():
                self._silent_since_ms_by_target.clear()
                continue
            try:
                await self.check()
            except Exception as error:
                # leadership may be lost at any await; the next leader continues
                self._counters.increment("membership.check_failed")
                _LOG.warning("membership_check_failed", error=repr(error))

    async def check(self) -> None:
        """Checks all targets once and commits changes of their state."""
        listed = None
        if self._settings.platform_url:
            try:
                origin = client.Origin.parse(self._settings.platform_url)
                listing = await platform_list.fetch_list(origin)
            except platform_list.PlatformError as error:
                self._counters.increment("membership.list_failed")
                _LOG.warning("platform_list_failed", detail=str(error))
                return
            listed = listing.state_by_instance()
        targets = self._membership.targets()
        candidates = [
            target
            for target in targets
            if reconcile.depends_on_silence(target, listed)
        ]
        connected_incarnations = await self._membership.connected_incarnations(
            candidates
        )
        observations = reconcile.Observations(
            listed,
            self._find_silent(candidates, connected_incarnations),
            self._membership.reactivated_ms_by_target(),
            self._clock.wall_ms(),
        )
        for change in reconcile.decide_state_changes(targets, observations):
            _LOG.event(
                "target_marked",
                target=change.target,
                agent_incarnation=change.agent_incarnation,
                state=change.state,
            )
            await self._membership.commit_state_change(change)

    def _find_silent(
        self,
        targets: list[records.Target],
        connected_incarnations: Mapping[str, str] | None,
    ) -> set[str]:
        """Returns the targets whose agents are silent.

        Without a majority of control instances that answer, all periods of
        silence start again.
        """
        now_ms = self._clock.now_ms()
        if connected_incarnations is None:
            self._silent_since_ms_by_target.clear()
            return set()
        without_session = {
            target.name
            for target in targets
            if connected_incarnations.get(target.name)
            != target.agent_incarnation
        }
        self._silent_since_ms_by_target = {
            name: self._silent_since_ms_by_target.get(name, now_ms)
            for name in without_session
        }
        return {
            name
            for name, since_ms in self._silent_since_ms_by_target.items()
            if now_ms - since_ms >= SILENCE_THRESHOLD_MS
        }


__all__ = ["SILENCE_THRESHOLD_MS", "MembershipWatcher"]
