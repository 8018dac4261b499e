"""Reads a settings file and reports all of its findings at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pydantic

from lycheering.settings import cross_check
from lycheering.settings import findings
from lycheering.settings import ini
from lycheering.settings import model

if TYPE_CHECKING:
    import pathlib

Finding = findings.Finding
SettingsError = findings.SettingsError

_MISSING = "missing"
_VALUE_ERROR_PREFIX = "Value error, "


def load(path: str | pathlib.Path) -> model.Settings:
    """Reads and validates a settings file.

    Args:
        path: The file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: If the file is invalid; contains every finding.
    """
    document = ini.read(path)
    section_by_name = _valid_sections(document)
    cross_check.check(document, section_by_name)
    if document.findings:
        document.findings.sort(key=lambda finding: finding.line)
        raise findings.SettingsError(document.findings)
    return model.Settings.model_validate(section_by_name)


def require_section(settings: model.Settings, name: str, file: str) -> None:
    """Checks that the settings contain the section of a role.

    Args:
        settings: The settings.
        name: The section that only settings of the role have.
        file: The path of the settings file.

    Raises:
        SettingsError: If the section is missing.
    """
    if getattr(settings, name) is None:
        problem = "this role requires the section"
        finding = findings.Finding(file, name, "", 0, problem)
        raise findings.SettingsError([finding])


def _valid_sections(document: ini.Document) -> dict[str, model.Section]:
    """Returns the sections whose options are all valid.

    The problems of the others are added to the document's findings.
    """
    section_by_name: dict[str, model.Section] = {}
    text_by_option_by_section = document.text_by_option_by_section
    for name in text_by_option_by_section:
        section_type = model.SECTION_TYPE_BY_NAME.get(name)
        if section_type is None:
            document.add(name, "", "unknown section")
            continue
        try:
            section_by_name[name] = section_type.model_validate(
                _set_options(section_type, text_by_option_by_section[name])
            )
        except pydantic.ValidationError as error:
            _add_findings(document, name, error)
    for name in model.REQUIRED_SECTIONS:
        if name not in text_by_option_by_section:
            document.add(name, "", _MISSING)
    return section_by_name


def _set_options(
    section_type: type[model.Section], text_by_option: dict[str, str]
) -> dict[str, str]:
    """Returns the options that are set.

    An option without a value is not set, as templates render values that are
    missing as nothing. Options without a default are kept, to be reported.
    """
    fields = section_type.model_fields
    return {
        option: text
        for option, text in text_by_option.items()
        if text or option not in fields or fields[option].is_required()
    }


def _add_findings(
    document: ini.Document, section: str, error: pydantic.ValidationError
) -> None:
    for detail in error.errors():
        option = str(detail["loc"][0]) if detail["loc"] else ""
        problem = detail["msg"].removeprefix(_VALUE_ERROR_PREFIX)
        if detail["type"] == "extra_forbidden":
            problem = "unknown option"
        elif detail["type"] == "missing":
            problem = _MISSING
        document.add(section, option, problem)


__all__ = ["Finding", "SettingsError", "load", "require_section"]
