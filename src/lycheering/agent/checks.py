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
FIRST_SERVER_ERROR = 500


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
    if not state.up:
        raise limits_api.RefusedError(reasons.TARGET_DOWN, DOWN_RETRY_AFTER_MS)
    if not context.is_engine:
        return
    known = (state.model, *state.adapters)
    if submit.model not in known:
        raise limits_api.RefusedError(
            reasons.WRONG_MODEL, 0.0, f"serves {', '.join(known)}"
        )
    check_weights(context, submit)


def check_weights(context: contexts.Context, submit: messages.Submit) -> None:
    """Checks that the target serves the weights that were promised.

    Raises:
        RefusedError: If it does not.
    """
    wanted = submit.weights_version
    state = context.state
    if not wanted or (
        wanted == state.weights_version and not state.loading_version
    ):
        return
    coming = wanted == state.loading_version
    raise limits_api.RefusedError(
        messages.Reason.WRONG_WEIGHTS,
        state.load_left_ms() if coming else 0.0,
        f"serves {state.weights_version}",
    )


def check_first(
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
    began = submit.continue_from > 0
    if head.status >= FIRST_SERVER_ERROR or (
        began and head.status != OK_STATUS
    ):
        raise targets_api.LostStreamError(f"engine answered {head.status}")
    wanted = submit.weights_version
    if head.status == OK_STATUS and wanted not in ("", head.weights_version):
        raise WrongWeightsError(f"answered by {head.weights_version}")


def check_renewed(head: targets_api.AnswerHead, incarnation: str) -> None:
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
    "check_first",
    "check_renewed",
    "check_weights",
]
