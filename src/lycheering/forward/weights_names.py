"""Since when each version of a model's weights is wanted."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.fleet import view


class WeightsNames:
    """When weights were named, by the steady clock of this process.

    A version that is named anew does not make the one before it any younger:
    a target that lacks both lacks the older one for longer.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._named_ms_by_version_by_model: dict[str, dict[int, float]] = {}

    def update(self, fleet: view.FleetView, *, is_first: bool) -> None:
        """Takes over what a newer view names.

        Args:
            fleet: The view.
            is_first: Whether it was in force before this process saw it, so
                that only the time of day tells when weights were named.
        """
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        for model, named in fleet.named_by_model.items():
            known = self._named_ms_by_version_by_model.get(model, {})
            self._named_ms_by_version_by_model[model] = {
                version: known.get(
                    version,
                    now_ms - max(0.0, wall_ms - named_wall_ms) * is_first,
                )
                for version, named_wall_ms in named
            }

    def ages(self, model: str) -> tuple[tuple[int, float], ...]:
        """Returns each version of a model and how long ago it was named.

        Args:
            model: The model.
        """
        now_ms = self._clock.now_ms()
        named = self._named_ms_by_version_by_model.get(model, {})
        return tuple(
            (version, now_ms - named_ms) for version, named_ms in named.items()
        )


__all__ = ["WeightsNames"]
