"""Checks that a request and its answer's start have to pass."""

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
    """Other weights answered than were promised."""

    reason = messages.Reason.WRONG_WEIGHTS


def check_acceptable(
    context: contexts.Context, submit: messages.Submit
) -> None:
    """Checks that a request may be queued for the target as it is now.

    Raises:
        RefusedError: If not.
    """
    state = context.state
    reasons = messages.Reason
    if submit.deadline_ms <= context.clock.now_ms():
        raise limits_api.RefusedError(reasons.EXPIRED)
    if context.admission.draining:
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
    """Checks that the target serves the weights that were promised.

    Raises:
        RefusedError: If it does not.
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
    """Checks the start of an engine's answer.

    Raises:
        LostStreamError: If the answer can't be passed on.
    """
    if not context.is_engine:
        return
    is_continuation = submit.continue_from > 0
    if head.status >= MIN_SERVER_ERROR_STATUS or (
        is_continuation and head.status != OK_STATUS
    ):
        raise targets_api.LostStreamError(f"engine answered {head.status}")
    expected_version = submit.weights_version
    if head.status == OK_STATUS and expected_version not in (
        "",
        head.weights_version,
    ):
        raise WrongWeightsError(f"answered by {head.weights_version}")


def check_resumed_head(head: targets_api.AnswerHead, incarnation: str) -> None:
    """Checks the start of an answer that is picked up again.

    Args:
        head: The start.
        incarnation: The engine's incarnation when the answer began.

    Raises:
        LostStreamError: If it is not the same answer.
    """
    if head.status != OK_STATUS:
        raise targets_api.LostStreamError(f"resumed: {head.status}")
    if head.incarnation != incarnation:
        raise targets_api.LostStreamError("another incarnation")


__all__ = [
    "DOWN_RETRY_AFTER_MS",
    "OK_STATUS",
    "WrongWeightsError",
    "check_acceptable",
    "check_answer_head",
    "check_resumed_head",
    "check_weights",
]
