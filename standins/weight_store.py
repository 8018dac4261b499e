"""A stand-in for the weight store, slower when many load at once."""

from __future__ import annotations

import argparse

import blacksheep

from lycheering import clock
from standins import serving


class WeightStore:
    """A store whose loads share its rate.

    Attributes:
        load_ms: Time of one load.
        knee: Number of loads at once that cost no extra time.
        loading: Number of loads at present.
        most_at_once: The highest number of loads at once so far.
        versions_by_model: The versions asked for so far.
        app: The HTTP application.
    """

    def __init__(self, load_ms: float, knee: int) -> None:
        self.load_ms = load_ms
        self.knee = knee
        self.clock = clock.Clock()
        self.loading = 0
        self.most_at_once = 0
        self.versions_by_model: dict[str, list[str]] = {}
        self.app = serving.new_application()
        serving.add_route(
            self.app, "GET", "/weights/{model}/{version}", self.weights
        )
        serving.add_route(self.app, "GET", "/versions/{model}", self.versions)
        serving.add_route(self.app, "GET", "/health", self.health)
        serving.add_route(self.app, "GET", "/admin/record", self.record)
        serving.add_route(self.app, "POST", "/admin/pace", self.set_pace)

    async def weights(self, request: blacksheep.Request) -> blacksheep.Response:
        """Answers once the load has had its time."""
        model = serving.route_text(request, "model")
        version = serving.route_text(request, "version")
        versions = self.versions_by_model.setdefault(model, [])
        if version not in versions:
            versions.append(version)
        self.loading += 1
        self.most_at_once = max(self.most_at_once, self.loading)
        try:
            crowding = max(1.0, self.loading / self.knee)
            await self.clock.sleep(self.load_ms * crowding)
        finally:
            self.loading -= 1
        return serving.json_response({"model": model, "version": version})

    async def versions(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Lists the versions of a model that were asked for."""
        model = serving.route_text(request, "model")
        versions = self.versions_by_model.get(model, [])
        return serving.json_response({"model": model, "versions": versions})

    async def health(self, request: blacksheep.Request) -> blacksheep.Response:
        """Tells that the store serves."""
        return serving.json_response({"loading": self.loading})

    async def record(self, request: blacksheep.Request) -> blacksheep.Response:
        """Returns how many loads ran at once."""
        return serving.json_response(
            {"loading": self.loading, "most_at_once": self.most_at_once}
        )

    async def set_pace(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Sets how long the loads that begin from now on take."""
        self.load_ms = float((await request.json())["load_ms"])
        return serving.json_response({"load_ms": self.load_ms})


def main() -> None:
    """Serves one store."""
    parser = argparse.ArgumentParser(prog="python -m standins.weight_store")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--load-ms", type=float, default=800)
    parser.add_argument("--knee", type=int, default=2)
    parsed = parser.parse_args()
    serving.run(WeightStore(parsed.load_ms, parsed.knee).app, parsed.port)


__all__ = ["WeightStore"]

if __name__ == "__main__":
    main()
