"""The deterministic answers of the engine stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

TOKEN_HEX_DIGITS = 8


class Answer:
    """The endless token sequence that follows one prompt.

    Attributes:
        hasher: The hash state after the prompt.
    """

    def __init__(self, prompt_text: str) -> None:
        self.hasher = xxhash.xxh3_64(prompt_text.encode())

    def token(self, index: int) -> str:
        """Returns the token at a position, counted from 0."""
        hasher = self.hasher.copy()
        hasher.update(b"#%d" % index)
        return " " + hasher.hexdigest()[:TOKEN_HEX_DIGITS]


def chat_prompt(messages: Iterable[tuple[str, str]]) -> str:
    """Returns the prompt text of a chat.

    Args:
        messages: Pairs of role and content.

    Returns:
        The text that the engine continues and whose pieces it caches.
    """
    return "".join(f"{role}\n{content}\n" for role, content in messages)


def expected_answer(
    prompt_text: str, max_tokens: int, continue_from: int = 0
) -> str:
    """Returns the whole answer text to a prompt.

    Args:
        prompt_text: The text of the prompt.
        max_tokens: Number of tokens in the whole answer.
        continue_from: Number of leading tokens to leave out.

    Returns:
        The tokens from `continue_from` to `max_tokens`, joined.
    """
    answer = Answer(prompt_text)
    return "".join(answer.token(i) for i in range(continue_from, max_tokens))


__all__ = ["Answer", "chat_prompt", "expected_answer"]
