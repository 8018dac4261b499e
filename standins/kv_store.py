"""A stand-in for the store of kept KV cache."""

from __future__ import annotations

import argparse
import collections
import dataclasses

import blacksheep

from standins import serving

BODY_TYPE = b"application/octet-stream"


@dataclasses.dataclass(frozen=True)
class KeptBlock:
    """One kept block with what it may be used for."""

    body: bytes
    weights_version: bytes
    scope: bytes


class KvStore:
    """A bounded store that drops the least recently used block.

    Attributes:
        capacity_blocks: Number of blocks kept at most.
        block_by_key: The blocks, the next one to be dropped first.
        app: The HTTP application.
    """

    def __init__(self, capacity_blocks: int) -> None:
        self.capacity_blocks = capacity_blocks
        self.block_by_key: collections.OrderedDict[str, KeptBlock] = (
            collections.OrderedDict()
        )
        self.app = serving.new_application()
        serving.add_route(self.app, "PUT", "/kv/{block}", self.put)
        serving.add_route(self.app, "GET", "/kv/{block}", self.get)
        serving.add_route(self.app, "HEAD", "/kv/{block}", self.get)
        serving.add_route(self.app, "DELETE", "/kv/{block}", self.delete)
        serving.add_route(self.app, "GET", "/health", self.health)

    async def put(self, request: blacksheep.Request) -> blacksheep.Response:
        """Keeps a block."""
        key = serving.route_text(request, "block")
        self.block_by_key[key] = KeptBlock(
            await request.read() or b"",
            request.get_first_header(b"x-weights-version") or b"",
            request.get_first_header(b"x-scope") or b"",
        )
        self.block_by_key.move_to_end(key)
        while len(self.block_by_key) > self.capacity_blocks:
            self.block_by_key.popitem(last=False)
        return blacksheep.Response(204)

    async def get(self, request: blacksheep.Request) -> blacksheep.Response:
        """Returns a block with the headers that it was kept with."""
        key = serving.route_text(request, "block")
        block = self.block_by_key.get(key)
        if block is None:
            return serving.error_response(404, "unknown_block", key)
        self.block_by_key.move_to_end(key)
        headers = [
            (b"X-Weights-Version", block.weights_version),
            (b"X-Scope", block.scope),
        ]
        content = blacksheep.Content(BODY_TYPE, block.body)
        return blacksheep.Response(200, headers, content)

    async def delete(self, request: blacksheep.Request) -> blacksheep.Response:
        """Drops a block."""
        key = serving.route_text(request, "block")
        found = self.block_by_key.pop(key, None)
        return blacksheep.Response(404 if found is None else 204)

    async def health(self, request: blacksheep.Request) -> blacksheep.Response:
        """Tells that the store serves."""
        return serving.json_response({"blocks": len(self.block_by_key)})


def main() -> None:
    """Serves one store."""
    parser = argparse.ArgumentParser(prog="python -m standins.kv_store")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--capacity-blocks", type=int, default=2_000)
    parsed = parser.parse_args()
    serving.run(KvStore(parsed.capacity_blocks).app, parsed.port)


__all__ = ["KeptBlock", "KvStore"]

if __name__ == "__main__":
    main()
