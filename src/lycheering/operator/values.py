"""Option values as typed on the command line and in files."""

from __future__ import annotations

from lycheering.fleet import options

_FLAG_BY_TEXT = {
    "true": True,
    "yes": True,
    "on": True,
    "false": False,
    "no": False,
    "off": False,
}


def parse(option: str, text: str) -> options.OptionValue:
    """Reads an option's value.

    Args:
        option: The option's name.
        text: The value as typed.

    Returns:
        The value in the option's type.

    Raises:
        ValueError: If there is no such option or it can't have this value.
    """
    known = options.OPTION_BY_NAME.get(option)
    if known is None:
        raise ValueError(f"{option}: unknown option")
    value = _convert(known, text)
    problem = known.problem(value)
    if problem:
        raise ValueError(problem)
    return value


def _convert(option: options.Option, text: str) -> options.OptionValue:
    wanted = type(option.default)
    try:
        if wanted is bool:
            return _FLAG_BY_TEXT[text.lower()]
        if wanted is int:
            return int(text)
        if wanted is float:
            return float(text)
    except (KeyError, ValueError):
        # the option names the type it expects
        return text
    return text


__all__ = ["parse"]
