"""How an attempt ends that does not complete its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.entry import target_access
from lycheering.wire import channels
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.entry import job as jobs
    from lycheering.entry import sinks


class BrokenError(Exception):
    """The request may have run, and this attempt can't complete it.

    Attributes:
        reason: Why.
    """

    def __init__(self, reason: messages.Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


class OverdueError(Exception):
    """The deadline passed while the request may have been running."""


def is_bound(job: jobs.Job, sink: sinks.Sink) -> bool:
    """Returns whether only the target that began an answer can go on."""
    if not sink.passed_on or sink.next_seq == 0:
        return False
    return not (job.deterministic and sink.is_event_stream)


def error_of(
    event: channels.Event, *, arrived: bool
) -> BrokenError | target_access.NotRunError:
    """Returns what an event that ends an attempt means for the request.

    Args:
        event: The event.
        arrived: Whether the agent is known to have had the request.
    """
    match event:
        case messages.NotRun(reason=messages.Reason.NOT_FOUND):
            return target_access.LostFrameError(event.detail)
        case messages.NotRun():
            return target_access.NotRunError(
                event.reason, event.detail, event.retry_after_ms
            )
        case messages.Failure(reason=messages.Reason.EXPIRED) if arrived:
            return BrokenError(event.reason, "expired after accepting")
        case messages.Failure(reason=messages.Reason.EXPIRED):
            return target_access.NotRunError(event.reason, "expired on its way")
        case messages.Broken() | messages.Failure():
            return BrokenError(event.reason, event.detail)
        case channels.Lost():
            return BrokenError(messages.Reason.UNREACHABLE, "closed")
    kind = type(event).__name__
    return BrokenError(messages.Reason.INTERNAL, f"unexpected {kind}")


__all__ = ["BrokenError", "OverdueError", "error_of", "is_bound"]
