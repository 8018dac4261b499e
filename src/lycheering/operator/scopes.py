"""Scopes of exceptions as typed on the command line and in files."""

from __future__ import annotations

from lycheering.fleet import options
from lycheering.fleet import records


def parse(text: str) -> records.Scope:
    """Reads `kind:name`.

    Raises:
        ValueError: If the text has another shape.
    """
    kind, colon, name = text.partition(":")
    kinds = [known.value for known in options.ScopeKind]
    if not colon or not name.strip() or kind.strip() not in kinds:
        allowed = "|".join(kinds)
        raise ValueError(f"expected {allowed}:name, found {text!r}")
    return records.Scope(options.ScopeKind(kind.strip()), name.strip())


def check(scope: records.Scope, option: str) -> None:
    """Checks that an option can have an exception of a scope.

    Raises:
        ValueError: If it can't.
    """
    known = options.OPTION_BY_NAME.get(option)
    if known is not None and scope.kind not in known.scopes:
        allowed = ", ".join(sorted(kind.value for kind in known.scopes))
        raise ValueError(f"{option}: exceptions apply to {allowed} only")


__all__ = ["check", "parse"]
