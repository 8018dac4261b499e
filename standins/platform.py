"""A stand-in for the platform's lagging list of instances."""

from __future__ import annotations

import argparse
import collections
import dataclasses

import blacksheep
import msgspec

from lycheering import clock
from standins import serving

STATES = frozenset({"live", "leaving", "gone"})
KEPT_LISTS = 1_000


class Instance(msgspec.Struct, frozen=True):
    """One entry of the list.

    Attributes:
        instance: Name of the instance.
        ip: Its IP address.
        state: `live` or `leaving`; `gone` takes it off the list.
        failure_domain: The failure domain that it stands in.
    """

    instance: str
    ip: str = "127.0.0.1"
    state: str = "live"
    failure_domain: str = ""


@dataclasses.dataclass(frozen=True)
class Listing:
    """The list as it was from some time on."""

    instances: list[Instance]
    since_ms: float


class Platform:
    """The platform's list.

    Attributes:
        lag_ms: Age of the list that is told.
        app: The HTTP application.
    """

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self.clock = clock.Clock()
        self._by_name: dict[str, Instance] = {}
        self._listings: collections.deque[Listing] = collections.deque(
            [Listing([], 0)], maxlen=KEPT_LISTS
        )
        self.app = serving.new_application()
        serving.add_route(self.app, "GET", "/instances", self.instances)
        serving.add_route(self.app, "POST", "/admin/set", self.set_instance)
        serving.add_route(self.app, "GET", "/health", self.health)

    async def instances(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Returns the list as it was before the lag."""
        latest_ms = self.clock.now_ms() - self.lag_ms
        chosen = self._listings[0]
        for listing in self._listings:
            if listing.since_ms <= latest_ms:
                chosen = listing
        return serving.json_response({"instances": chosen.instances})

    async def set_instance(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Adds, changes or removes one instance."""
        raw = await request.read() or b""
        changed = msgspec.json.decode(raw, type=Instance)
        if changed.state not in STATES:
            return serving.error_response(400, "bad_state", changed.state)
        self._by_name[changed.instance] = changed
        if changed.state == "gone":
            del self._by_name[changed.instance]
        now_ms = self.clock.now_ms()
        self._listings.append(Listing(list(self._by_name.values()), now_ms))
        return serving.json_response(changed)

    async def health(self, request: blacksheep.Request) -> blacksheep.Response:
        """Tells that the platform serves."""
        return serving.json_response({"lag_ms": self.lag_ms})


def main() -> None:
    """Serves one list."""
    parser = argparse.ArgumentParser(prog="python -m standins.platform")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--lag-ms", type=float, default=1_000)
    parsed = parser.parse_args()
    serving.run(Platform(parsed.lag_ms).app, parsed.port)


__all__ = ["Instance", "Listing", "Platform"]

if __name__ == "__main__":
    main()
