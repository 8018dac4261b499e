"""Brings kept KV cache into the engine where that beats recomputing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.agent import requests
    from lycheering.wire import messages


class KeptImporter:
    """Imports kept blocks of a prompt before it is sent."""

    async def bring(self, submit: messages.Submit, plan: requests.Plan) -> int:
        """Returns how many blocks were imported."""
        return 0


__all__ = ["KeptImporter"]
