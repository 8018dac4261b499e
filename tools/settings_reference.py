"""Writes the operators' reference pages from the models."""

from __future__ import annotations

import inspect
import pathlib
import re
import sys
import typing

import annotated_types
import pydantic

from lycheering.commands import options as options_command
from lycheering.settings import model

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS_PAGE = ROOT / "docs" / "operators" / "settings.md"
OPTIONS_PAGE = ROOT / "docs" / "operators" / "options.md"

SETTINGS_HEAD = """\
# Settings reference

Made by `python -m tools.settings_reference` from the settings' models; a test
checks that it is current. A settings file is INI. Every process has one file,
and the section `[entry]`, `[agent]` or `[log_store]` says its role; the last
one is that of a control instance. Unknown sections and options are findings. An
option without a value is not set and has its default.
`lycheering check FILE...` reports all findings at once.
"""

OPTIONS_HEAD = """\
# Fleet options

Made by `python -m tools.settings_reference` from the fleet's options; a test
checks that it is current. Operators set defaults for the whole fleet and
exceptions to them, each with a written reason. Where several exceptions apply,
the narrowest scope wins: target, then team, service, model, failure domain.
"""

_ATTRIBUTE = re.compile(r"^ {4}(\w+): (.+(?:\n {8}.+)*)", re.MULTILINE)


def attribute_help(documented: type) -> dict[str, str]:
    """Returns the help of each attribute, from the class's docstring."""
    text = inspect.getdoc(documented) or ""
    _, _, attributes = text.partition("Attributes:\n")
    return {
        name: " ".join(help_text.split())
        for name, help_text in _ATTRIBUTE.findall(attributes)
    }


def _type_text(field: pydantic.fields.FieldInfo) -> str:
    choices = typing.get_args(field.annotation)
    if typing.get_origin(field.annotation) is typing.Literal:
        return "one of " + ", ".join(f"`{choice}`" for choice in choices)
    if field.annotation is bool:
        return "true or false"
    if field.annotation is int:
        return _number_text(field)
    if field.annotation is str:
        return "text"
    return "list"


def _number_text(field: pydantic.fields.FieldInfo) -> str:
    low = high = ""
    for limit in field.metadata:
        if isinstance(limit, annotated_types.Ge):
            low = f"{limit.ge}"
        elif isinstance(limit, annotated_types.Gt):
            low = f"above {limit.gt}"
        elif isinstance(limit, annotated_types.Le):
            high = f"{limit.le}"
    if low and high:
        return f"number, {low} to {high}"
    return f"number, at least {low}" if low else "number"


def _default_text(field: pydantic.fields.FieldInfo) -> str:
    if field.is_required():
        return "required"
    if field.default == "":
        return "empty"
    if isinstance(field.default, bool):
        return f"`{str(field.default).lower()}`"
    return f"`{field.default}`"


def settings_page() -> str:
    """Returns the settings reference."""
    lines = [SETTINGS_HEAD]
    for name, section in model.SECTION_TYPE_BY_NAME.items():
        summary = (inspect.getdoc(section) or "").partition("\n")[0]
        lines += [f"## [{name}]", "", summary, ""]
        lines += ["| option | type | default | meaning |", "|---|---|---|---|"]
        help_by_name = attribute_help(section)
        for option, field in section.model_fields.items():
            cells = [f"`{option}`", _type_text(field), _default_text(field)]
            cells.append(help_by_name[option])
            lines.append(f"| {' | '.join(cells)} |")
        lines.append("")
    return "\n".join(lines)


def options_page() -> str:
    """Returns the reference of the fleet's options."""
    lines = [OPTIONS_HEAD]
    lines.append(
        "| option | type | default | allowed | exceptions to | meaning |"
    )
    lines.append("|---|---|---|---|---|---|")
    for item in options_command.items():
        default = str(item.default)
        if isinstance(item.default, bool):
            default = default.lower()
        cells = [
            f"`{item.option}`",
            item.type,
            f"`{default}`" if default else "empty",
            item.allowed,
            ", ".join(item.scopes),
            item.help,
        ]
        lines.append(f"| {' | '.join(cells)} |")
    lines.append("")
    return "\n".join(lines)


def main() -> int:
    """Writes both pages."""
    SETTINGS_PAGE.write_text(settings_page(), encoding="utf-8")
    OPTIONS_PAGE.write_text(options_page(), encoding="utf-8")
    return 0


__all__ = [
    "OPTIONS_PAGE",
    "SETTINGS_PAGE",
    "attribute_help",
    "main",
    "options_page",
    "settings_page",
]

if __name__ == "__main__":
    sys.exit(main())
