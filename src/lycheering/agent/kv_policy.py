"""Selects the prompt pieces to import from and export to the KV store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.agent import requests
from lycheering.cache import prompt_pieces

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
    if transfer is None or not context.index.is_synced:
        return
    if not context.holder.fleet.boolean_option("kv.import", context.subject):
        return
    version = context.state.weights_version
    if context.index.weights_version != version:
        return
    prompt = requests.split_prompt(context, submit)
    piece_keys = prompt.piece_keys(submit.model, version)
    cached_count = context.index.count_cached_prefix(
        piece_key.key for piece_key in piece_keys
    )
    missing = list(piece_keys[cached_count:])
    leave_export_ms = context.holder.fleet.integer(
        "kv.leave_export_ms", context.subject
    )
    if not (leave_export_ms and context.peer_departures.has_recent):
        # only targets that leave export pieces of single teams, so a look-up
        # of those is in vain at other times
        salt = prompt_pieces.shared_salt(submit.model, submit.shared_generation)
        missing = [piece_key for piece_key in missing if piece_key.salt == salt]
    count = await transfer.import_missing(
        missing, version, context.cost_model.piece_ms
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
            plan.shared_piece_keys[head.cached_pieces :]
        )


__all__ = ["export_computed", "import_missing"]
