"""Keeps SIGHUP from ending a process that does not handle it yet."""

from __future__ import annotations

import signal

_SIGNALS = frozenset({signal.SIGHUP})


def hold() -> None:
    """Holds SIGHUP back until `release`; by default it ends the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)


def release() -> None:
    """Delivers SIGHUP again, at once if it was sent meanwhile."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _SIGNALS)


__all__ = ["hold", "release"]
