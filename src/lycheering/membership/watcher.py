"""Watches the platform's list and the agents' sessions on the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.membership import platform
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

SILENT_MS = 5_000

_LOG = logs.get("membership")


class MembershipWatcher(app_api.Part):
    """Marks targets as leaving or gone while this process leads."""

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
        self._unheard_since_ms: dict[str, float] = {}

    async def start(self) -> None:
        """Begins to watch."""
        self._tasks.spawn_lasting(self._run, "membership:watch")

    async def stop(self) -> None:
        """Ends watching."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._settings.platform_poll_ms)
            if not self._membership.is_leader():
                self._unheard_since_ms.clear()
                continue
            try:
                await self.check()
            except Exception as error:
                # leadership may be lost at any await; the next one goes on
                self._counters.increment("membership.check_failed")
                _LOG.warning("membership_check_failed", error=repr(error))

    async def check(self) -> None:
        """Compares list, sessions and view once, and commits the marks."""
        listed = None
        if self._settings.platform_url:
            try:
                origin = client.Origin.parse(self._settings.platform_url)
                listing = await platform.fetch(origin)
            except platform.PlatformError as error:
                self._counters.increment("membership.list_failed")
                _LOG.warning("platform_list_failed", detail=str(error))
                return
            listed = listing.state_by_instance()
        targets = self._membership.targets()
        in_question = [
            target
            for target in targets
            if reconcile.depends_on_silence(target, listed)
        ]
        heard = await self._membership.heard_incarnations(in_question)
        seen = reconcile.Sighting(
            listed,
            self._silent(in_question, heard),
            self._membership.revived_ms_by_target(),
            self._clock.wall_ms(),
        )
        for mark in reconcile.decide(targets, seen):
            _LOG.event(
                "target_marked",
                target=mark.target,
                agent_incarnation=mark.agent_incarnation,
                state=mark.state,
            )
            await self._membership.mark(mark)

    def _silent(
        self,
        targets: list[records.Target],
        heard: Mapping[str, str] | None,
    ) -> set[str]:
        now_ms = self._clock.now_ms()
        if heard is None:
            self._unheard_since_ms.clear()
            return set()
        unheard = {
            target.name
            for target in targets
            if heard.get(target.name) != target.agent_incarnation
        }
        self._unheard_since_ms = {
            name: self._unheard_since_ms.get(name, now_ms) for name in unheard
        }
        return {
            name
            for name, since_ms in self._unheard_since_ms.items()
            if now_ms - since_ms >= SILENT_MS
        }


__all__ = ["SILENT_MS", "MembershipWatcher"]
