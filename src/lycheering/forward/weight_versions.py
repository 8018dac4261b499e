"""Tracks when each version of a model's weights was announced."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.fleet import view


class WeightVersions:
    """The announced weights versions, timed by the monotonic clock.

    A newly announced version does not change the age of the previous one. A
    target that lacks both has been outdated since the older one.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._announced_ms_by_version_by_model: dict[str, dict[int, float]] = {}

    def update(self, fleet: view.FleetView, *, is_first: bool) -> None:
        """Adopts the versions of a newer view.

        Args:
            fleet: The view.
            is_first: Whether it is the first view of this process. Its
                versions were announced earlier, at a time that only the wall
                clock tells.
        """
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        for model, announced in fleet.weights_requests_by_model.items():
            known = self._announced_ms_by_version_by_model.get(model, {})
            self._announced_ms_by_version_by_model[model] = {
                version: known.get(
                    version,
                    now_ms - max(0.0, wall_ms - announced_wall_ms) * is_first,
                )
                for version, announced_wall_ms in announced
            }

    def ages(self, model: str) -> tuple[tuple[int, float], ...]:
        """Returns each version of a model and the ms since its announcement.

        Args:
            model: Name of the model.
        """
        now_ms = self._clock.now_ms()
        announced = self._announced_ms_by_version_by_model.get(model, {})
        return tuple(
            (version, now_ms - announced_ms)
            for version, announced_ms in announced.items()
        )


__all__ = ["WeightVersions"]
