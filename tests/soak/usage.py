"""Watches that processes stay alive and within their limits."""

from __future__ import annotations

import contextlib
import os
import threading

INTERVAL_S = 0.2
# memory of the machines that the deployments have for each role
MAX_MB_BY_ROLE = {"agent": 232, "control": 256, "entry": 128}
MAX_DESCRIPTORS = 4_096
BYTES_PER_MB = 1_048_576


class UsageWatcher:
    """Samples the product's processes until it is closed.

    Attributes:
        findings: What may not be.
        peak_mb_by_role: The most memory that a process of a role held.
    """

    def __init__(self, group):
        self.findings = []
        self.peak_mb_by_role = dict.fromkeys(MAX_MB_BY_ROLE, 0.0)
        self._group = group
        self._down = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def expect_down(self, name):
        """Lets a process be down until it is expected up again."""
        with self._lock:
            self._down.add(name)

    def expect_up(self, name):
        """Ends what `expect_down` began."""
        with self._lock:
            self._down.discard(name)

    def close(self):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(INTERVAL_S):
            self._sample()

    def _sample(self):
        for name, process in list(self._group.process_by_name.items()):
            with self._lock:
                if name in self._down or process.popen is None:
                    continue
                if not process.running:
                    code = process.popen.returncode
                    self._add(f"{name} ended by itself with {code}")
                    continue
            role = name.partition("-")[0]
            if role not in MAX_MB_BY_ROLE:
                continue
            with contextlib.suppress(OSError, ValueError, IndexError):
                self._check_usage(name, role, process)

    def _check_usage(self, name, role, process):
        used_mb = process.resident_bytes() / BYTES_PER_MB
        peak_mb = max(self.peak_mb_by_role[role], used_mb)
        self.peak_mb_by_role[role] = peak_mb
        if used_mb > MAX_MB_BY_ROLE[role]:
            self._add(f"{name} holds over {MAX_MB_BY_ROLE[role]} MB")
        if len(os.listdir(f"/proc/{process.pid}/fd")) > MAX_DESCRIPTORS:
            self._add(f"{name} holds over {MAX_DESCRIPTORS} descriptors")

    def _add(self, finding):
        if finding not in self.findings:
            self.findings.append(finding)


__all__ = ["UsageWatcher"]
