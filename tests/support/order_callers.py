"""Callers that send orders to a proxied fleet, and what judges them."""

from __future__ import annotations

import collections
import concurrent.futures
import dataclasses
import http.client
import itertools
import json
import threading
import time
import urllib.parse

import xxhash

from bench import checker
from bench import json_calls
from tests.support import processes

TEAM = "team-1"
CALL_TIMEOUT_S = 12.0
SETTLE_S = 40.0
PAUSE_S = 0.1
PADDING = "p" * 1_500  # makes an order's frames larger than any heartbeat


@dataclasses.dataclass
class Reply:
    """What one attempt at an order came to; no status if it was cut."""

    attempt_id: str
    status: int = 0
    body: bytes = b""

    @property
    def answered(self):
        return self.status == 200

    @property
    def error(self):
        if self.answered or not self.status:
            return {}
        return json.loads(self.body)["error"]

    @property
    def unknown(self):
        return self.error.get("reason") == "unknown_outcome"


class Callers:
    """Sends orders, resends them and remembers every reply."""

    def __init__(self, running):
        self.fleet = running
        self.replies_by_key = collections.defaultdict(list)
        self.lies = []
        self.kept_runs = []
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._threads = concurrent.futures.ThreadPoolExecutor(8)

    def close(self):
        self._threads.shutdown(cancel_futures=True)

    def begin(self, entry, service, key):
        """Returns the reply to come of an order sent now."""
        return self._threads.submit(self.send, entry, service, key)

    def send(self, entry, service, key):
        """Sends an order once and returns the reply."""
        attempt_id = f"{key}-{next(self._numbers)}"
        reply = Reply(attempt_id)
        parts = urllib.parse.urlsplit(self.fleet.entry_urls[entry])
        connection = http.client.HTTPConnection(
            parts.hostname, parts.port, timeout=CALL_TIMEOUT_S
        )
        headers = {
            "Authorization": f"Bearer {self.fleet.key_by_team[TEAM]}",
            "Idempotency-Key": key,
            "X-Request-Id": attempt_id,
        }
        try:
            path = f"/v1/services/{service}/pay/{PADDING}"
            connection.request("POST", path, f"pay {key}".encode(), headers)
            answer = connection.getresponse()
            reply = Reply(attempt_id, answer.status, answer.read())
        except (OSError, http.client.HTTPException):
            pass  # the caller can't tell what became of it
        finally:
            connection.close()
        self._note(key, reply)
        return reply

    def _note(self, key, reply):
        with self._lock:
            self.replies_by_key[key].append(reply)
            if reply.error.get("not_run") and self.runs_of(reply.attempt_id):
                self.lies.append(reply)

    def settle(self, entry, service, key):
        """Sends an order again until it is answered or unknown."""
        end_s = time.monotonic() + SETTLE_S
        while time.monotonic() < end_s:
            reply = self.send(entry, service, key)
            assert reply.status != 400, reply
            if reply.answered or reply.unknown:
                return reply
            time.sleep(PAUSE_S)
        process = self.fleet.group.process_by_name[f"entry-{entry}"]
        log = process.log_text()[-2_000:]
        raise AssertionError(
            f"{key} is not settled by entry {entry}, running:"
            f" {process.running}; last: {reply}\n{log}"
        )

    def keep_runs(self, target):
        """Copies the record of a target that is about to be killed."""
        url = self.fleet.url_by_target[target]
        self.kept_runs += checker.fetch_runs([url])

    def runs(self):
        """Returns every run recorded, once all targets that run listen."""
        urls = [
            url
            for name, url in self.fleet.url_by_target.items()
            if self.fleet.group.process_by_name[name].running
        ]
        (found,) = processes.wait_for(
            lambda: (checker.fetch_runs(urls),), "the targets' records"
        )
        return self.kept_runs + found

    def runs_of(self, attempt_id):
        """Returns the runs that an attempt caused."""
        return [
            run
            for run in self.runs()
            if checker.base_id(run.request_id) == attempt_id and run.has_run
        ]

    def runs_under(self, key):
        """Returns the runs of an order; a claim has a key of its own."""
        digest = body_digest(key)
        return [
            run
            for run in self.runs()
            if run.body_digest == digest and run.has_run
        ]

    def row(self, key):
        """Returns where an order stands, from whoever is current."""
        for url in self.fleet.operator_urls:
            try:
                found = json_calls.call_json(
                    f"{url}/v1/orders/{TEAM}/{key}", timeout_s=2
                )
            except (OSError, json_calls.OperatorError):
                continue
            if found["current"]:
                return found["order"]
        return None

    def wait_state(self, key, state):
        """Waits until an order is in a state and returns its row."""

        def found():
            row = self.row(key)
            return row if row is not None and row["state"] == state else None

        return processes.wait_for(found, f"{key} to be {state}")

    def judge(self, key):
        """Checks all that was seen of an order."""
        replies = self.replies_by_key[key]
        answers = {reply.body for reply in replies if reply.answered}
        runs = self.runs_under(key)
        assert len(runs) <= 1, f"{key} ran more than once: {runs}"
        assert not self.lies, f"refused as not run, but ran: {self.lies}"
        assert len(answers) <= 1, f"{key} was answered with {answers}"
        if answers:
            assert len(runs) == 1, f"{key} was answered but never ran"
            answer = json.loads(answers.pop())
            assert answer["body_digest"] == body_digest(key), answer
        else:
            assert replies[-1].unknown, f"{key} came to {replies[-1]}"
            assert self.row(key)["state"] == "unknown"


def body_digest(key):
    """Returns the digest of an order's body, as the service tells it."""
    return xxhash.xxh3_128(f"pay {key}".encode()).hexdigest()


__all__ = ["PADDING", "TEAM", "Callers", "Reply"]
