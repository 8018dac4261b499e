"""Converts submitted requests to plans, queue demands and target calls."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from lycheering import json_input
from lycheering.cache import cached_levels
from lycheering.cache import prompt_pieces
from lycheering.fleet import view
from lycheering.limits import api as limits_api
from lycheering.limits import cost_model
from lycheering.targets import api as targets_api
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts

T = TypeVar("T")

DEFAULT_MAX_TOKENS = 16
MAX_PRIORITY = 100
MIN_TEAM_SHARE = 0.001


class _TokenLimit(msgspec.Struct):
    max_tokens: int = DEFAULT_MAX_TOKENS


@dataclasses.dataclass(frozen=True)
class RequestPlan:
    """The prompt pieces and the expected cost of a request.

    Attributes:
        keys: The keys of the prompt's pieces.
        cost: The expected cost at the target.
        piece_keys: The keys of the pieces, with their parents and scopes.
        shared_piece_keys: The leading keys, of pieces that teams share.
        char_counts: The length of each piece, in characters.
        max_tokens: The most tokens that the rest of the answer may have.
        levels: The prompt's nested prefix levels.
    """

    keys: tuple[bytes, ...]
    cost: cost_model.Cost
    piece_keys: tuple[prompt_pieces.PieceKey, ...] = ()
    shared_piece_keys: tuple[prompt_pieces.PieceKey, ...] = ()
    char_counts: tuple[int, ...] = ()
    max_tokens: int = 0
    levels: tuple[cached_levels.PrefixLevel, ...] = ()

    def missing_pieces_after(
        self, cached_pieces: int, piece_chars: int
    ) -> float:
        """Returns the size of the prompt after its cached pieces, in pieces.

        Args:
            cached_pieces: The number of leading pieces that are cached.
            piece_chars: The size of a whole piece, in characters.
        """
        return sum(self.char_counts[cached_pieces:]) / piece_chars


def make_plan(
    context: contexts.Context, submit: messages.Submit
) -> RequestPlan:
    """Returns the plan of a request, for the present state of the cache.

    Raises:
        RefusedError: If the request's body can't be decoded.
    """
    if not context.is_engine:
        return RequestPlan((), context.cost_model.call_cost())
    version = context.state.weights_version
    prompt = split_prompt(context, submit)
    piece_keys = prompt.piece_keys(submit.model, version)
    keys = tuple(piece_key.key for piece_key in piece_keys)
    salt = prompt_pieces.shared_salt(submit.model, submit.shared_generation)
    shared_piece_keys = tuple(
        piece_key for piece_key in piece_keys if piece_key.salt == salt
    )
    cached_pieces = 0
    if context.index.weights_version == version:
        cached_pieces = context.index.count_cached_prefix(keys)
        # counts pieces that the engine computes for requests ahead in the
        # queue, as they are cached before this request starts
        cached_pieces = max(
            cached_pieces,
            context.cached_levels.cached_piece_count(submit.level_keys),
        )
    missing_pieces = prompt.uncached_pieces(
        cached_pieces, context.settings.piece_chars
    )
    max_tokens = _decode(submit.body, _TokenLimit).max_tokens
    remaining_tokens = max(1, max_tokens - submit.continue_from)
    cost = context.cost_model.completion_cost(missing_pieces, remaining_tokens)
    char_counts = tuple(len(piece) for piece in prompt.pieces)
    levels = _prefix_levels(submit.level_ends, char_counts, keys)
    return RequestPlan(
        keys,
        cost,
        piece_keys,
        shared_piece_keys,
        char_counts,
        remaining_tokens,
        levels,
    )


def _prefix_levels(
    level_ends: tuple[int, ...],
    char_counts: tuple[int, ...],
    keys: tuple[bytes, ...],
) -> tuple[cached_levels.PrefixLevel, ...]:
    count_by_end = {
        end: count
        for count, end in enumerate(itertools.accumulate(char_counts), 1)
    }
    levels: list[cached_levels.PrefixLevel] = []
    for end in level_ends:
        # a last piece that is too short to be cached has no key; the level
        # then ends at the piece before
        count = min(count_by_end.get(end, 0), len(keys))
        if not count:
            break
        levels.append(cached_levels.PrefixLevel(count, keys[count - 1]))
    return tuple(levels)


def split_prompt(
    context: contexts.Context, submit: messages.Submit
) -> prompt_pieces.SplitPrompt:
    """Returns a completion's prompt, split into pieces for the cache.

    Raises:
        RefusedError: If the request's body can't be decoded.
    """
    body = _decode(submit.body, prompt_pieces.PromptBody)
    return prompt_pieces.split_prompt(
        body.text(),
        submit.level_ends,
        submit.shared_levels,
        model=submit.model,
        team=submit.team,
        piece_chars=context.settings.piece_chars,
        generation=submit.shared_generation,
    )


def make_properties(
    context: contexts.Context, submit: messages.Submit, cost: cost_model.Cost
) -> limits_api.RequestProperties:
    """Returns the properties by which the queue ranks a request."""
    team = view.Subject(team=submit.team)
    share = context.holder.fleet.number("limits.team_share", team)
    priority = min(max(submit.priority, 0), MAX_PRIORITY)
    return limits_api.RequestProperties(
        submit.team,
        max(MIN_TEAM_SHARE, share),
        priority,
        cost,
        submit.deadline_ms,
        submit.share_use,
    )


def make_target_call(
    context: contexts.Context, submit: messages.Submit
) -> targets_api.TargetCall:
    """Returns the call to send to the target."""
    body = submit.body
    if context.is_engine:
        body = _engine_body(submit, split_prompt(context, submit))
    ticket = submit.ticket
    return targets_api.TargetCall(
        submit.request_id,
        submit.method,
        submit.path,
        body,
        submit.content_type,
        submit.continue_from if context.is_engine else 0,
        ticket.order_id if ticket is not None else "",
        ticket.fence if ticket is not None else 0,
    )


def _engine_body(
    submit: messages.Submit, prompt: prompt_pieces.SplitPrompt
) -> bytes:
    fields = _decode(submit.body, dict[str, msgspec.Raw])
    # a caller must not choose its cache scope, which would give it access to
    # the blocks of other teams
    fields.pop("cache_salt", None)
    agent_fields: dict[str, object] = {
        "model": submit.model,
        "stream": True,
        "pieces": prompt.pieces,
        "cache_salts": prompt.salts,
        "priority": submit.priority,
        "continue_from": submit.continue_from,
    }
    return msgspec.json.encode({**fields, **agent_fields})


def _decode(body: bytes, body_type: type[T]) -> T:
    try:
        return json_input.decode(body, body_type)
    except msgspec.DecodeError as error:
        raise limits_api.RefusedError(
            messages.Reason.BAD_REQUEST, 0.0, str(error)
        ) from error


__all__ = [
    "RequestPlan",
    "split_prompt",
    "make_target_call",
    "make_properties",
    "make_plan",
]
