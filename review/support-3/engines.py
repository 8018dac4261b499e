"""Model workers that answer, report and take orders as PROTOCOL.md says."""

import asyncio
import itertools
import json
import time

import harness

MODEL = "model-a"
SERVICE = "engines"
LOAD_S = 0.8
EVENTS = 3
EVENT_PAUSE_S = 0.2


class Engine:
    """A model worker.

    Attributes:
        name: Its id, which it keeps when it starts again.
        version: The version of its weights.
        sequence: Number of orders that it has accepted since its start.
        runs: For each run the time, the id of the request and the version.
    """

    def __init__(self, fleet, number, version=1):
        self.name = f"i-{number:08x}"
        self.ip = f"{fleet.network}.{100 + number}"
        self.version = version
        self.sequence = 0
        self.fence = 0
        self.is_busy = False
        self.runs = []
        self.on_order = None
        self._record = fleet.record
        self._zone = harness.ZONES[number % 3]
        self._born = int(time.time() * 1000)
        self._connections = set()
        self._server = None
        self._numbers = itertools.count()
        self._boot = 0

    def entry(self):
        """Returns its entry on the list of instances."""
        return {
            "id": self.name,
            "service": SERVICE,
            "address": f"{self.ip}:{harness.WORKER_PORT}",
            "failure_domain": self._zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "combined",
            "models": self._models(),
            "born": self._born,
        }

    def _models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def start(self):
        """Starts it; its counts start anew, its weights stay."""
        self._boot += 1
        self._born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.is_busy = False
        self._server = await harness.serve(
            self.ip, harness.WORKER_PORT, self._answer, self._connections
        )
        self._record.write(f"{self.name} starts with weights {self.version}")

    async def crash(self):
        """Ends it at once."""
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        self._record.write(f"{self.name} crashes")

    async def _answer(self, request, reply):
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.name:
            await self._refuse(request, reply)
        elif request.path == "/v1/report":
            await reply.send(200, [], json.dumps(self._report()).encode())
        elif request.path == "/v1/order":
            await self._order(request, reply)
        else:
            await self._run(request, reply)

    async def _refuse(self, request, reply):
        """Says that the request was meant for another worker."""
        headers = [("X-Not-Executed", "1")]
        if request_id := request.headers.get("x-attempt-id"):
            headers.append(("X-Attempt-Id", request_id))
        await reply.send(421, headers, b"")

    def _report(self):
        return {
            "stage": "combined",
            "models": self._models(),
            "busy": self.is_busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 268186,
            "handles": 0,
            "born": self._born,
        }

    async def _order(self, request, reply):
        order = json.loads(request.body)
        if self.on_order is not None and await self.on_order(self, order):
            # no answer; what becomes of the order is the caller's matter
            await asyncio.sleep(60)
            return
        await reply.send(self.accept(order), [], b"")

    def accept(self, order):
        """Carries an order out, or refuses it; returns the status."""
        status = 202
        if order["fence"] < self.fence:
            status = 412
        elif self.is_busy or order.get("precondition") not in (
            None,
            self.sequence,
        ):
            status = 409
        elif order["version"] == self.version:
            status = 200
        if status in (200, 202):
            self.fence = order["fence"]
        if status == 202:
            self.sequence += 1
            self.is_busy = True
            asyncio.get_running_loop().create_task(
                self._load(order["version"], self._boot)
            )
        self._record.write(
            f"{self.name} gets an order: weights {order['version']},"
            f" precondition {order.get('precondition')}: {status}"
        )
        return status

    async def _load(self, version, boot):
        await asyncio.sleep(LOAD_S)
        if boot == self._boot:
            self.version = version
            self.is_busy = False
            self._record.write(f"{self.name} has weights {version}")

    async def _run(self, request, reply):
        wanted = request.headers.get("x-expect-version")
        if wanted and wanted != str(self.version):
            await self._refuse(request, reply)
            return
        request_id = request.headers.get("x-attempt-id", "")
        version = self.version
        self.runs.append((self._record.now(), request_id, version))
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Attempt-Id", request_id),
            ("X-Response-Stamp", f"{self.name}.{next(self._numbers)}"),
            ("X-Weight-Versions", str(version)),
            ("X-Instance-Load", "1,0,64"),
            ("Keep-Alive", "timeout=5"),
        ]
        first = int(request.headers.get("last-event-id", "0")) + 1
        pieces = [
            b"id: %d\ndata: token %d\n\n" % (number, number)
            for number in range(first, EVENTS + 1)
        ]
        await reply.stream(headers, pieces, EVENT_PAUSE_S)


def table(version, **services):
    """Returns a manifest with two kinds of streams."""
    kinds = (("long", 15000, 1000, 1, False), ("short", 3000, 600, 2, True))
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{name}",
                "host": harness.HOST,
                "path_prefix": f"/{name}/",
                "kind": "stream",
                "timeout_ms": timeout_ms,
                "objective_ms": objective_ms,
                "priority": 1,
                "service": SERVICE,
                "max_sends": max_sends,
                "is_public": False,
                "sticky": True,
                "is_resumable": is_resumable,
                "gap_aim_ms": 600,
            }
            for name, timeout_ms, objective_ms, max_sends, is_resumable in kinds
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 370,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 268186,
                    "kv_token_bytes": 18432,
                    "models": [{"name": MODEL}],
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "teams": [
            {"name": harness.TENANT, "keys": [harness.KEY], "priority": 1}
        ],
    }


async def ask(fleet, number, path):
    """Sends a request to an entry; returns its answer, None for none."""
    entry = fleet.entries[number % len(fleet.entries)]
    headers = [
        ("X-Attempt-Id", f"a{number:015x}"),
        ("X-Model", MODEL),
        ("X-Token-Usage", "900,3"),
        ("X-Prefix-Hash", f"{number // 6:08x}:600,f{number:07x}:300"),
        ("X-Deadline-Ms", "3000"),
        ("Authorization", f"Bearer {harness.KEY}"),
    ]
    try:
        return await harness.call(
            entry.ip,
            harness.FRONT_PORT,
            "POST",
            f"/{path}/{number}",
            headers,
            b"prompt",
            timeout=4,
            host=harness.HOST,
        )
    except (OSError, TimeoutError, ValueError):
        return None
