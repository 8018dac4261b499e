"""Stand-ins for workers, the list of workers and callers, for the cases.

They do what PROTOCOL.md says of workers; what it leaves open they do as a sound
worker would.
"""

import asyncio
import dataclasses
import itertools
import json
import time

import web

MODEL = "model-m"
HOST = "chat.example"
ENGINE_SERVICE = "engines"
PLAIN_SERVICE = "orders"
LOAD_S = 0.4
# the list lags behind what it tells by this much
LIST_LAG_S = 0.3
ATTEMPT_IDS = itertools.count(1)


@dataclasses.dataclass
class Part:
    """A part of a prompt in the KV cache of an engine."""

    version: int
    tenant: str
    attempt_id: str


@dataclasses.dataclass
class Run:
    """A request that an engine ran."""

    at_s: float
    engine: str
    attempt_id: str
    tenant: str
    version: int
    # parts that it used: their place in the prompt and the part
    used: list


class Engine:
    """A worker of the service with engines.

    Attributes:
        name: Its id.
        version: The version of its weights.
        runs: The requests that it ran, those of all engines of the site.
        orders: The orders that reached it: time, holder, epoch, status.
    """

    def __init__(self, site, name, version=1):
        self.name = name
        self.version = version
        self.runs = site.runs
        self.orders = []
        self.born_ms = int(time.time() * 1_000)
        self.sequence = 0
        self.highest_fence = 0
        self.busy_until_s = 0.0
        self.prefill_s = 0.02
        self.running = 0
        self.cache = {}
        self.address = ""
        self._site = site

    async def start(self, ip):
        """Starts to serve at an address."""
        server, port = await web.serve(self._handle, ip)
        self._server = server
        self.address = f"{ip}:{port}"
        self._site.engine_by_address[self.address] = self

    @property
    def is_busy(self):
        """Whether it is carrying out an order."""
        return time.monotonic() < self.busy_until_s

    def entry(self):
        """Returns its entry of the list of workers."""
        return {
            "id": self.name,
            "service": ENGINE_SERVICE,
            "address": self.address,
            "failure_domain": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "combined",
            "models": [
                {"name": MODEL, "version": self.version, "adapters": []}
            ],
            "born": self.born_ms,
        }

    async def _handle(self, request, writer):
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            identity = {"X-Instance-Id": self.name}
            writer.write(web.encode(421, identity, b""))
        elif request.path == "/health":
            identity = {
                "X-Instance-Id": self.name,
                "X-Instance-Load": f"{self.running},0,64",
            }
            writer.write(web.encode(200, identity, b""))
        elif request.path == "/v1/report":
            writer.write(web.encode_json(200, self._report()))
        elif request.path == "/v1/order":
            status = self._take_order(json.loads(request.body))
            writer.write(web.encode_json(status, {}))
        elif request.path.startswith("/v1/"):
            writer.write(web.encode_json(404, {}))
        else:
            await self._run(request, writer)

    def _report(self):
        entry = self.entry()
        return {
            "stage": entry["stage"],
            "models": entry["models"],
            "busy": self.is_busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 229_838,
            "handles": 0,
            "born": self.born_ms,
        }

    def _take_order(self, order):
        status = self._check_order(order)
        self.orders.append(
            (self._site.record.now_s(), order.get("holder"), order.get("fence"))
        )
        self._site.record.write(
            f"order at {self.name}: holder {order.get('holder')} epoch"
            f" {order.get('fence')} version {order.get('version')} -> {status}"
        )
        return status

    def _check_order(self, order):
        if not order.get("holder") or not order.get("fence"):
            return 400
        if self._site.checks_fences and order["fence"] < self.highest_fence:
            return 412
        self.highest_fence = max(self.highest_fence, order["fence"])
        if self.is_busy or order.get("precondition", self.sequence) != (
            self.sequence
        ):
            return 409
        if order["version"] == self.version:
            return 200
        if order["version"] > self._site.named_version:
            return 400
        self.sequence += 1
        self.busy_until_s = time.monotonic() + LOAD_S
        self.cache.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_S, self._finish_load, order["version"])
        return 202

    def _finish_load(self, version):
        self.version = version
        self.cache.clear()
        self._site.record.write(f"{self.name} has version {version}")

    async def _run(self, request, writer):
        headers = request.headers
        wanted = headers.get("x-expect-version")
        identity = {"X-Attempt-Id": headers["x-attempt-id"]}
        if wanted and int(wanted) != self.version:
            writer.write(web.encode(421, identity, b""))
            return
        if self.is_busy:
            identity["X-Not-Executed"] = "1"
            writer.write(web.encode(503, identity, b""))
            return
        run = self._begin(headers)
        self.running += 1
        await asyncio.sleep(self.prefill_s)
        self.running -= 1
        stamp = f"{self.name}.{run.attempt_id}"
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {run.attempt_id}",
            f"X-Response-Stamp: {stamp}",
            f"X-Weight-Versions: {run.version}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number, text in enumerate(self._site.answer_text(request), 1):
            data = "".join(f"data: {line}\n" for line in text.split("\n"))
            event = f"id: {number}\n{data}\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(self._site.gap_s)
        writer.write(b"0\r\n\r\n")

    def _begin(self, headers):
        """Reads the prompt with what is cached of it, and caches it."""
        salt = headers.get("x-cache-salt", "")
        model = headers.get("x-model", "")
        ids = [
            item.split(":")[0]
            for item in headers.get("x-prefix-hash", "").split(",")
        ]
        run = Run(
            self._site.record.now_s(),
            self.name,
            headers["x-attempt-id"],
            headers.get("x-tenant", ""),
            self.version,
            [],
        )
        chains = [(salt, model, tuple(ids[: n + 1])) for n in range(len(ids))]
        source = self._site.engine_by_address.get(headers.get("x-kv-fetch"))
        for chain in chains:
            if chain not in self.cache:
                if source is None or chain not in source.cache:
                    break
                self.cache[chain] = source.cache[chain]
            run.used.append((len(chain[2]), self.cache[chain]))
        made = Part(self.version, run.tenant, run.attempt_id)
        for chain in chains:
            self.cache.setdefault(chain, made)
        self.runs.append(run)
        self._site.record.write(
            f"run {run.attempt_id} of {run.tenant or 'nobody'} at {self.name},"
            f" version {run.version}, salt {salt!r},"
            f" expected version {headers.get('x-expect-version', '-')},"
            f" fetch {headers.get('x-kv-fetch', '-')}, used "
            + (
                ",".join(
                    f"{n} of {part.attempt_id} ({part.tenant}, version"
                    f" {part.version})"
                    for n, part in run.used
                )
                or "nothing"
            )
        )
        return run


class PlainWorker:
    """A worker of a service without engines.

    Attributes:
        name: Its id.
        run_ids: The ids of the requests that it ran, one for each run.
        loses_each: It loses the answer of each so many-th request that it ran;
            0 for none.
    """

    def __init__(self, site, name, loses_each=0):
        self.name = name
        self.run_ids = []
        self.loses_each = loses_each
        self.address = ""
        self._site = site
        self._born_ms = int(time.time() * 1_000)

    async def start(self, ip):
        """Starts to serve at an address."""
        self._server, port = await web.serve(self._handle, ip)
        self.address = f"{ip}:{port}"
        self._site.plain_workers.append(self)

    def entry(self):
        """Returns its entry of the list of workers."""
        return {
            "id": self.name,
            "service": PLAIN_SERVICE,
            "address": self.address,
            "failure_domain": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "models": [],
            "born": self._born_ms,
        }

    async def _handle(self, request, writer):
        identity = {"X-Instance-Id": self.name}
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(web.encode(421, identity, b""))
            return
        if request.path == "/health":
            writer.write(web.encode(200, identity, b""))
            return
        attempt_id = request.headers["x-attempt-id"]
        self.run_ids.append(attempt_id)
        self._site.record.write(f"run {attempt_id} at {self.name}")
        await asyncio.sleep(0.02)
        if self.loses_each and not len(self.run_ids) % self.loses_each:
            self._site.record.write(f"{self.name} loses the answer")
            raise ConnectionResetError
        headers = {
            "X-Attempt-Id": attempt_id,
            "X-Response-Stamp": f"{self.name}.{attempt_id}",
        }
        writer.write(web.encode(200, headers, b"recorded"))


class Site:
    """The workers and their list.

    Attributes:
        record: The record of the case.
        engine_by_address: The engines.
        plain_workers: The workers of the service without engines.
        runs: The requests that engines ran.
        named_version: The newest version of the weights that was named.
        checks_fences: Whether engines refuse lower epoch numbers.
        spoil: Changes an entry of the list, as another writer would.
        answer_text: Returns the text of each event of an answer.
        gap_s: The time between two events.
    """

    def __init__(self, record, *, checks_fences=True):
        self.record = record
        self.engine_by_address = {}
        self.plain_workers = []
        self.runs = []
        self.named_version = 1
        self.checks_fences = checks_fences
        self.spoil = lambda entry: entry
        self.answer_text = lambda _: ["piece 1", "piece 2", "piece 3"]
        self.gap_s = 0.0
        self.list_address = ""

    async def start(self, ip):
        """Starts to serve the list."""
        self._server, port = await web.serve(self._list, ip)
        self.list_address = f"{ip}:{port}"

    async def add_engine(self, name, ip, version=1):
        """Starts an engine and returns it."""
        engine = Engine(self, name, version)
        await engine.start(ip)
        self.record.write(f"{name} starts with version {version}")
        return engine

    async def _list(self, request, writer):
        entries = [
            self.spoil(engine.entry())
            for engine in (
                *self.engine_by_address.values(),
                *self.plain_workers,
            )
        ]
        page = {"instances": entries, "next": None}
        await asyncio.sleep(0)
        writer.write(web.encode_json(200, page))


def manifest(version, tenants):
    """Returns a manifest with one route of streams to the engines."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-chat",
                "host": HOST,
                "path_prefix": "/chat/",
                "kind": "stream",
                "timeout_ms": 8_000,
                "objective_ms": 1_000,
                "priority": 0,
                "service": ENGINE_SERVICE,
                "max_sends": 1,
                "is_public": False,
                "sticky": True,
                "is_resumable": False,
                "gap_aim_ms": 800,
            }
        ],
        "services": [
            {
                "name": ENGINE_SERVICE,
                "health_path": "/health",
                "max_connections": 360,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 229_838,
                    "kv_token_bytes": 18_432,
                    "link_mbps": 550_000.0,
                    "max_concurrent": 12,
                    "models": [{"name": MODEL}],
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "teams": [
            {
                "name": name,
                "keys": [f"key-of-{name}"],
                "priority": 1,
                "is_isolated": is_isolated,
            }
            for name, is_isolated in tenants.items()
        ],
    }


class Operator:
    """Sends manifests and versions until they are acknowledged."""

    def __init__(self, fleet, record):
        self._ips = [process.ip for process in fleet.control]
        self._port = fleet.operator_port
        self._record = record

    def prefer(self, ip):
        """Makes a control instance the first one to be called."""
        self._ips.sort(key=lambda item: item != ip)

    async def _send(self, method, path, document, limit_s):
        body = json.dumps(document).encode()
        until_s = time.monotonic() + limit_s
        for ip in itertools.cycle(self._ips):
            answer = await web.call(
                ip, self._port, method, path, {}, body, timeout_s=1.0
            )
            if answer.status == 200 and answer.is_complete:
                return
            if time.monotonic() > until_s:
                raise TimeoutError(f"{path}: {answer.status} {answer.error}")
            await asyncio.sleep(0.1)

    async def put(self, document, limit_s=20.0):
        """Returns once a manifest is acknowledged."""
        await self._send("PUT", "/v1/routes", document, limit_s)
        self._record.write(
            f"manifest {document['version']} acknowledged, isolated: "
            + (
                ",".join(
                    team["name"]
                    for team in document["teams"]
                    if team["is_isolated"]
                )
                or "nobody"
            )
        )

    async def name_weights(self, site, version, limit_s=20.0):
        """Returns once a version of the weights is acknowledged."""
        site.named_version = max(site.named_version, version)
        self._record.write(f"version {version} is sent")
        document = {"model": MODEL, "version": version}
        await self._send("POST", "/v1/weights", document, limit_s)
        self._record.write(f"version {version} acknowledged")


def request_headers(tenant, parts, timeout_ms):
    """Returns the headers of a request with a prompt of these parts."""
    tokens = sum(count for _, count in parts)
    return {
        "Host": HOST,
        "X-Attempt-Id": f"{next(ATTEMPT_IDS):016x}",
        "X-Model": MODEL,
        "X-Token-Usage": f"{tokens},16",
        "X-Prefix-Hash": ",".join(f"{key}:{n}" for key, n in parts),
        "X-Deadline-Ms": str(timeout_ms),
        "Authorization": f"Bearer key-of-{tenant}",
    }


async def ask(fleet, record, tenant, parts, *, entry=0, timeout_ms=8_000):
    """Sends a request with a prompt of these parts and returns the answer."""
    headers = request_headers(tenant, parts, timeout_ms)
    attempt_id = headers["X-Attempt-Id"]
    answer = await web.call(
        fleet.entries[entry].ip,
        fleet.caller_port,
        "POST",
        "/chat/2f",
        headers,
        b"x" * 600,
        timeout_s=timeout_ms / 1_000,
    )
    record.write(
        f"answer to {attempt_id} of {tenant}: {answer.status}"
        f" {'whole' if answer.is_complete else 'not whole'} {answer.error}"
    )
    return answer


async def wait_until_served(fleet, record, tenant, limit_s=20.0):
    """Returns once each entry serves requests of a tenant."""
    until_s = time.monotonic() + limit_s
    for number in range(len(fleet.entries)):
        while True:
            parts = [("aa", 64), (f"{next(ATTEMPT_IDS):x}", 32)]
            answer = await ask(fleet, record, tenant, parts, entry=number)
            if answer.status == 200:
                break
            if time.monotonic() > until_s:
                raise TimeoutError(f"entry {number} does not serve")
            await asyncio.sleep(0.2)
