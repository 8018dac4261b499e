"""Decides which pieces of a prompt are imported or kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.agent import requests
from lycheering.cache import pieces

if TYPE_CHECKING:
    from lycheering.agent import context as contexts
    from lycheering.targets import api as targets_api
    from lycheering.wire import messages


async def bring(context: contexts.Context, submit: messages.Submit) -> None:
    """Imports kept pieces that a prompt is missing, if that pays.

    The store's entry must be for the present weights and for the same
    scope; the engine checks both again.
    """
    mover = context.mover
    if mover is None or not context.index.synced:
        return
    if not context.holder.fleet.flag("kv.import", context.subject):
        return
    version = context.state.weights_version
    if context.index.weights_version != version:
        return
    prompt = requests.cut_prompt(context, submit)
    links = prompt.links(submit.model, version)
    cached = context.index.matched_count(link.key for link in links)
    missing = list(links[cached:])
    exports = context.holder.fleet.integer(
        "kv.leave_export_ms", context.subject
    )
    if not (exports and context.leavers.recent):
        # pieces of teams are put into the store by targets that leave only
        salt = pieces.shared_salt(submit.model)
        missing = [link for link in missing if link.salt == salt]
    count = await mover.bring(missing, version, context.cost.piece_ms)
    if count:
        context.counters.increment("kept.imported", count)


def keep(
    context: contexts.Context,
    plan: requests.Plan,
    head: targets_api.AnswerHead,
) -> None:
    """Has shared pieces exported that the engine had to compute."""
    if context.mover is not None:
        context.mover.keep(plan.shared[head.cached_pieces :])


__all__ = ["bring", "keep"]
