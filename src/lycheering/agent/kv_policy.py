"""Selects the prompt pieces to import from and export to the KV store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.agent import requests
from lycheering.cache import pieces

if TYPE_CHECKING:
    from lycheering.agent import context as contexts
    from lycheering.targets import api as targets_api
    from lycheering.wire import messages


async def import_missing(
    context: contexts.Context, submit: messages.Submit
) -> None:
    """Imports the pieces of a prompt that the engine has not cached.

    The stored pieces must have the present weights version and the same
    scope. The engine checks both again.
    """
    transfer = context.kv_transfer
    if transfer is None or not context.index.synced:
        return
    if not context.holder.fleet.boolean_option("kv.import", context.subject):
        return
    version = context.state.weights_version
    if context.index.weights_version != version:
        return
    prompt = requests.split_prompt(context, submit)
    links = prompt.links(submit.model, version)
    cached_count = context.index.matched_count(link.key for link in links)
    missing = list(links[cached_count:])
    leave_export_ms = context.holder.fleet.integer(
        "kv.leave_export_ms", context.subject
    )
    if not (leave_export_ms and context.peer_departures.has_recent):
        # only targets that leave export pieces of single teams, so a look-up
        # of those is in vain at other times
        salt = pieces.shared_salt(submit.model)
        missing = [link for link in missing if link.salt == salt]
    count = await transfer.import_missing(
        missing, version, context.cost.piece_ms
    )
    if count:
        context.counters.increment("kept.imported", count)


def export_computed(
    context: contexts.Context,
    plan: requests.RequestPlan,
    head: targets_api.AnswerHead,
) -> None:
    """Exports the shared pieces that the engine had to compute."""
    if context.kv_transfer is not None:
        context.kv_transfer.export_computed(
            plan.shared_links[head.cached_pieces :]
        )


__all__ = ["export_computed", "import_missing"]
