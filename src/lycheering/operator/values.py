"""Parses option values from the command line and seed files."""

from __future__ import annotations

from lycheering.fleet import options

_BOOL_BY_TEXT = {
    "true": True,
    "yes": True,
    "on": True,
    "false": False,
    "no": False,
    "off": False,
}


def parse(option: str, text: str) -> options.OptionValue:
    """Parses an option's value.

    Args:
        option: The option's name.
        text: The value as text.

    Returns:
        The value in the option's type.

    Raises:
        ValueError: If the option is unknown or doesn't allow the value.
    """
    definition = options.OPTION_BY_NAME.get(option)
    if definition is None:
        raise ValueError(f"{option}: unknown option")
    value = _convert(definition, text)
    problem = definition.problem(value)
    if problem:
        raise ValueError(problem)
    return value


def _convert(option: options.Option, text: str) -> options.OptionValue:
    value_type = type(option.default)
    try:
        if value_type is bool:
            return _BOOL_BY_TEXT[text.lower()]
        if value_type is int:
            return int(text)
        if value_type is float:
            return float(text)
    except (KeyError, ValueError):
        # the check in parse reports the expected type
        return text
    return text


__all__ = ["parse"]
