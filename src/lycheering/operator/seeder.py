"""Applies the changes of a seed file that were not applied before."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.operator import answers
from lycheering.operator import calls
from lycheering.operator import client
from lycheering.operator import errors

if TYPE_CHECKING:
    from lycheering.operator import seed

MAX_ATTEMPTS = 10
HISTORY_LIMIT = 2_000
CONFLICT = "conflict"


@dataclasses.dataclass
class SeedOutcome:
    """The outcome of applying a seed.

    Attributes:
        config_revision: The config revision after the last change.
        made: The changes that were applied.
        known: The changes that were found in the history.
    """

    config_revision: int = 0
    made: list[str] = dataclasses.field(default_factory=list)
    known: list[str] = dataclasses.field(default_factory=list)


class Seeder:
    """Applies the changes of a seed, in order.

    The id of a change consists of its digest and the revision that it is
    based on, so the next run continues a run that was interrupted.
    """

    def __init__(self, operator_client: client.OperatorClient) -> None:
        self._client = operator_client
        self._history_change_ids: tuple[str, ...] = ()
        self._outcome = SeedOutcome()

    async def apply(self, fleet_seed: seed.Seed) -> SeedOutcome:
        """Applies the changes that the history does not contain.

        Raises:
            OperatorError: If a change was refused or its outcome is unknown.
        """
        await self._read_history()
        for change in fleet_seed.changes:
            prefix = fleet_seed.change_id_prefix(change)
            if any(
                change_id.startswith(prefix)
                for change_id in self._history_change_ids
            ):
                self._outcome.known.append(str(change))
                continue
            await self._apply_change(fleet_seed, change)
            self._outcome.made.append(str(change))
        return self._outcome

    async def _read_history(self) -> None:
        call = calls.read(f"/v1/history?limit={HISTORY_LIMIT}")
        answer = await self._client.call_decoded(call, answers.HistoryAnswer)
        self._history_change_ids = tuple(
            item.change_id for item in answer.changes
        )
        self._outcome.config_revision = answer.config_revision

    async def _apply_change(
        self, fleet_seed: seed.Seed, change: seed.SeedChange
    ) -> None:
        for attempt in range(MAX_ATTEMPTS):
            expected_revision = self._outcome.config_revision
            metadata = calls.ChangeMetadata(
                f"{fleet_seed.change_id_prefix(change)}{expected_revision}",
                expected_revision,
                fleet_seed.operator,
                change.reason,
            )
            try:
                content = await self._client.call(change.call(metadata))
            except errors.RefusedError as error:
                is_last_attempt = attempt == MAX_ATTEMPTS - 1
                if error.body.reason != CONFLICT or is_last_attempt:
                    raise
                await self._read_history()
                continue
            answer = client.decode(content, answers.WriteAnswer)
            self._outcome.config_revision = answer.config_revision
            return


__all__ = ["MAX_ATTEMPTS", "SeedOutcome", "Seeder"]
