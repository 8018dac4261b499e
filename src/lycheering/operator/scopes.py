"""Parses and checks the scopes of exceptions.

Scopes are written as `kind:name` on the command line and in seed files.
"""

from __future__ import annotations

from lycheering.fleet import options
from lycheering.fleet import records


def parse(text: str) -> records.Scope:
    """Parses `kind:name`.

    Raises:
        ValueError: If the text has another format or an unknown kind.
    """
    kind, colon, name = text.partition(":")
    kinds = [known.value for known in options.ScopeKind]
    if not colon or not name.strip() or kind.strip() not in kinds:
        allowed = "|".join(kinds)
        raise ValueError(f"expected {allowed}:name, found {text!r}")
    return records.Scope(options.ScopeKind(kind.strip()), name.strip())


def check(scope: records.Scope, option: str) -> None:
    """Checks that an option allows exceptions for a scope.

    Raises:
        ValueError: If it doesn't.
    """
    known = options.OPTION_BY_NAME.get(option)
    if known is not None and scope.kind not in known.scopes:
        allowed = ", ".join(sorted(kind.value for kind in known.scopes))
        raise ValueError(f"{option}: exceptions are allowed for {allowed} only")


__all__ = ["check", "parse"]
