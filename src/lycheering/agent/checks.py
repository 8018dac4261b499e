"""Checks of submitted requests and of the heads of targets' answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.limits import api as limits_api
from lycheering.targets import api as targets_api
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts

DOWN_RETRY_AFTER_MS = 1_000
OK_STATUS = 200
MIN_SERVER_ERROR_STATUS = 500


class WrongWeightsError(targets_api.LostStreamError):
    """The target answered with other weights than were requested."""

    reason = messages.Reason.WRONG_WEIGHTS


def check_acceptable(
    context: contexts.Context, submit: messages.Submit
) -> None:
    """Checks that a request may be queued in the target's present state.

    Raises:
        RefusedError: If the request has expired, or the target drains, is
            down, or does not serve the model or the weights.
    """
    state = context.state
    reasons = messages.Reason
    if submit.deadline_ms <= context.clock.now_ms():
        raise limits_api.RefusedError(reasons.EXPIRED)
    if context.admission.is_draining:
        raise limits_api.RefusedError(reasons.DRAINING)
    if not state.is_up:
        raise limits_api.RefusedError(reasons.TARGET_DOWN, DOWN_RETRY_AFTER_MS)
    if not context.is_engine:
        return
    served_models = (state.model, *state.adapters)
    if submit.model not in served_models:
        raise limits_api.RefusedError(
            reasons.WRONG_MODEL, 0.0, f"serves {', '.join(served_models)}"
        )
    check_weights(context, submit)


def check_weights(context: contexts.Context, submit: messages.Submit) -> None:
    """Checks that the target serves the weights that the request names.

    Raises:
        RefusedError: If it serves other weights. The retry time is the
            remaining load time if the target is loading them.
    """
    expected_version = submit.weights_version
    state = context.state
    if not expected_version or (
        expected_version == state.weights_version and not state.loading_version
    ):
        return
    is_loading = expected_version == state.loading_version
    raise limits_api.RefusedError(
        messages.Reason.WRONG_WEIGHTS,
        state.weights_load_left_ms() if is_loading else 0.0,
        f"serves {state.weights_version}",
    )


def check_answer_head(
    context: contexts.Context,
    submit: messages.Submit,
    head: targets_api.AnswerHead,
) -> None:
    """Checks the head of an engine's answer.

    Raises:
        LostStreamError: If the engine failed or answered with other weights,
            so that the answer can't be passed on.
    """
    if not context.is_engine:
        return
    is_continuation = submit.continue_from > 0
    if head.status >= MIN_SERVER_ERROR_STATUS or (
        is_continuation and head.status != OK_STATUS
    ):
        raise targets_api.LostStreamError(f"engine answered {head.status}")
    if is_continuation:
        _check_event_stream(head)
    expected_version = submit.weights_version
    if head.status == OK_STATUS and expected_version not in (
        "",
        head.weights_version,
    ):
        raise WrongWeightsError(f"answered by {head.weights_version}")


def check_resumed_head(
    head: targets_api.AnswerHead,
    incarnation: str,
    started: messages.Started | None,
) -> None:
    """Checks the head of a resumed answer.

    Args:
        head: The head of the resumed answer.
        incarnation: The engine's incarnation when the answer began.
        started: The start of the answer; None if its head was not received.

    Raises:
        LostStreamError: If the engine could not resume the answer, has
            restarted since it began, or resumes it with other weights.
    """
    if head.status != OK_STATUS:
        raise targets_api.LostStreamError(f"resumed: {head.status}")
    if head.incarnation != incarnation:
        raise targets_api.LostStreamError("another incarnation")
    _check_event_stream(head)
    if started is not None and head.weights_version != started.weights_version:
        raise WrongWeightsError(f"resumed by {head.weights_version}")


def _check_event_stream(head: targets_api.AnswerHead) -> None:
    """Checks that an answer can go on with what the head announces."""
    if not head.is_event_stream:
        raise targets_api.LostStreamError(
            f"an event stream is due, came {ascii(head.content_type[:40])}"
        )


__all__ = [
    "DOWN_RETRY_AFTER_MS",
    "OK_STATUS",
    "WrongWeightsError",
    "check_acceptable",
    "check_answer_head",
    "check_resumed_head",
    "check_weights",
]
