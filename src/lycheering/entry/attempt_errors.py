"""Errors of attempts that don't complete their answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.entry import target_access
from lycheering.wire import channels
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.entry import job as jobs
    from lycheering.entry import sinks


class BrokenError(Exception):
    """The request may have run, but this attempt can't complete its answer.

    Attributes:
        reason: Why the attempt failed.
    """

    def __init__(self, reason: messages.Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


class OverdueError(Exception):
    """The deadline passed while the request may have been running."""


def is_pinned_to_target(job: jobs.Job, sink: sinks.Sink) -> bool:
    """Returns whether only the target that began an answer can continue it."""
    if not sink.is_visible_to_caller or sink.next_seq == 0:
        return False
    return not (job.deterministic and sink.is_event_stream)


def error_from_event(
    event: channels.ChannelEvent, *, is_received: bool
) -> BrokenError | target_access.NotRunError:
    """Returns the error for an event that ends an attempt.

    Args:
        event: The event.
        is_received: Whether the agent has surely received the request.
    """
    match event:
        case messages.NotRun(reason=messages.Reason.NOT_FOUND):
            return target_access.LostFrameError(event.detail)
        case messages.NotRun():
            return target_access.NotRunError(
                event.reason, event.detail, event.retry_after_ms
            )
        case messages.Failure(reason=messages.Reason.EXPIRED) if is_received:
            return BrokenError(
                event.reason, "expired after the agent received it"
            )
        case messages.Failure(reason=messages.Reason.EXPIRED):
            return target_access.NotRunError(
                event.reason, "expired on its way to the agent"
            )
        case messages.Broken() | messages.Failure():
            return BrokenError(event.reason, event.detail)
        case channels.ConnectionLost():
            return BrokenError(
                messages.Reason.UNREACHABLE, "the connection was closed"
            )
    event_type = type(event).__name__
    return BrokenError(
        messages.Reason.INTERNAL, f"unexpected event {event_type}"
    )


__all__ = [
    "BrokenError",
    "OverdueError",
    "error_from_event",
    "is_pinned_to_target",
]
