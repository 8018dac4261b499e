"""A stand-in for a plain service, some of whose calls may not be repeated."""

from __future__ import annotations

import argparse
import collections

import blacksheep
import msgspec
import xxhash

from lycheering import clock
from standins import serving


class ServiceRun(msgspec.Struct):
    """The service's record of one call.

    Attributes:
        request_id: The caller's id of the request.
        key: The idempotency key, if any.
        path: Path of the call.
        body_digest: Hash of the raw body.
        fence: Fencing number sent along, if any.
        outcome: `running`, `finished` or `refused`.
    """

    request_id: str
    key: str
    path: str
    body_digest: str
    fence: int | None
    outcome: str


class ServiceAnswer(msgspec.Struct):
    """What the service answers.

    Attributes:
        service: Name of the service.
        path: Path of the call.
        run_number: How often the key has run; without a key, 1.
        body_digest: Hash of the raw body.
    """

    service: str
    path: str
    run_number: int
    body_digest: str


class Service:
    """One plain service.

    Attributes:
        name: Name of the service.
        delay_ms: Time of one call.
        check_fencing: Whether old fencing numbers are refused.
        runs: Every call since the start.
        count_by_key: How often each idempotency key has run.
        app: The HTTP application.
    """

    def __init__(self, name: str, delay_ms: float, check_fencing: bool) -> None:
        self.name = name
        self.delay_ms = delay_ms
        self.check_fencing = check_fencing
        self.clock = clock.Clock()
        self.runs: list[ServiceRun] = []
        self.count_by_key: collections.Counter[str] = collections.Counter()
        self.highest_fence = 0
        self.running = 0
        self.app = serving.new_application()
        serving.add_route(self.app, "GET", "/admin/record", self.record)
        serving.add_route(self.app, "GET", "/health", self.health)
        serving.add_route(self.app, "GET", "/load", self.load)
        self.app.router.fallback = serving.as_function(self.call)

    async def call(self, request: blacksheep.Request) -> blacksheep.Response:
        """Runs one call of any method and path."""
        raw = await request.read() or b""
        fence = serving.header_text(request, b"x-fence")
        run = ServiceRun(
            request_id=serving.header_text(request, b"x-request-id"),
            key=serving.header_text(request, b"idempotency-key"),
            path=request.path,
            body_digest=xxhash.xxh3_128(raw).hexdigest(),
            fence=int(fence) if fence.isdigit() else None,
            outcome="running",
        )
        self.runs.append(run)
        if self.check_fencing and (run.fence or 0) < self.highest_fence:
            run.outcome = "refused"
            return serving.json_response(
                {"highest_fence": self.highest_fence}, 409
            )
        self.highest_fence = max(self.highest_fence, run.fence or 0)
        self.count_by_key[run.key] += 1
        run_number = self.count_by_key[run.key] if run.key else 1
        self.running += 1
        try:
            await self.clock.sleep(self.delay_ms)
        finally:
            self.running -= 1
        run.outcome = "finished"
        return serving.json_response(
            ServiceAnswer(self.name, run.path, run_number, run.body_digest)
        )

    async def record(self, request: blacksheep.Request) -> blacksheep.Response:
        """Returns every call since the start."""
        return serving.json_response({"runs": self.runs})

    async def health(self, request: blacksheep.Request) -> blacksheep.Response:
        """Tells that the service serves."""
        return serving.json_response({"service": self.name})

    async def load(self, request: blacksheep.Request) -> blacksheep.Response:
        """Reports how many calls are running."""
        return serving.json_response(
            {"service": self.name, "running": self.running, "queued": 0}
        )


def main() -> None:
    """Serves one plain service."""
    parser = argparse.ArgumentParser(prog="python -m standins.service")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="service")
    parser.add_argument("--delay-ms", type=float, default=5)
    parser.add_argument("--check-fencing", action="store_true")
    parsed = parser.parse_args()
    service = Service(parsed.name, parsed.delay_ms, parsed.check_fencing)
    serving.run(service.app, parsed.port)


__all__ = ["Service", "ServiceAnswer", "ServiceRun"]

if __name__ == "__main__":
    main()
