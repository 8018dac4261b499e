"""Makes the changes of a seed file that were not made before."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.operator import answers
from lycheering.operator import calls
from lycheering.operator import client
from lycheering.operator import errors

if TYPE_CHECKING:
    from lycheering.operator import seed

MAX_CONFLICTS = 10
HISTORY_LIMIT = 2_000
CONFLICT = "conflict"


@dataclasses.dataclass
class SeedOutcome:
    """What became of a seed.

    Attributes:
        config_revision: The config revision in the end.
        made: The changes made.
        known: The changes that had been made before.
    """

    config_revision: int = 0
    made: list[str] = dataclasses.field(default_factory=list)
    known: list[str] = dataclasses.field(default_factory=list)


class Seeder:
    """Makes the changes of a seed, in order.

    A change's id is its digest and the revision that it builds on, so a
    run that was cut short is continued by the next one.
    """

    def __init__(self, remote: client.OperatorClient) -> None:
        self._remote = remote
        self._known_ids: tuple[str, ...] = ()
        self._outcome = SeedOutcome()

    async def plant(self, planted: seed.Seed) -> SeedOutcome:
        """Makes the changes that the history does not hold.

        Raises:
            OperatorError: If a change was refused or is in doubt.
        """
        await self._refresh()
        for change in planted.changes:
            prefix = planted.change_id_prefix(change)
            if any(known.startswith(prefix) for known in self._known_ids):
                self._outcome.known.append(str(change))
                continue
            await self._make(planted, change)
            self._outcome.made.append(str(change))
        return self._outcome

    async def _refresh(self) -> None:
        call = calls.read(f"/v1/history?limit={HISTORY_LIMIT}")
        answer = await self._remote.ask(call, answers.HistoryAnswer)
        self._known_ids = tuple(item.change_id for item in answer.changes)
        self._outcome.config_revision = answer.config_revision

    async def _make(self, planted: seed.Seed, change: seed.SeedChange) -> None:
        for attempt in range(MAX_CONFLICTS):
            expected = self._outcome.config_revision
            signature = calls.Signature(
                f"{planted.change_id_prefix(change)}{expected}",
                expected,
                planted.operator,
                change.reason,
            )
            try:
                content = await self._remote.call(change.call(signature))
            except errors.RefusedError as error:
                last = attempt == MAX_CONFLICTS - 1
                if error.body.reason != CONFLICT or last:
                    raise
                await self._refresh()
                continue
            answer = client.decode(content, answers.WriteAnswer)
            self._outcome.config_revision = answer.config_revision
            return


__all__ = ["MAX_CONFLICTS", "SeedOutcome", "Seeder"]
