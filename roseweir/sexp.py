"""Parsing helpers for the operators' S-expressions: they split a form and validate its values.

Each package parses its own forms with them; `roseweir.operator_config` combines the packages' parsers.
"""

from typing import Any

import sexpdata

from roseweir.bounds import MAX_AMOUNT


class SettingsError(Exception):
    """Settings or arguments are not valid; the message is one line that describes the fault to the operator."""


def read_form(value: Any) -> tuple[str, list[Any]]:
    """Split `(name value ...)` into its name and its values.

    Raises:
        SettingsError: The value is not a list that begins with a symbol.
    """
    if not isinstance(value, list) or not value or not isinstance(value[0], sexpdata.Symbol):
        raise SettingsError(f"expected a form like (name value), found `{sexpdata.dumps(value)}`")
    return value[0].value(), value[1:]


def read_string(name: str, args: list[Any]) -> str:
    """The only value of the form `name`, a string.

    Raises:
        SettingsError: There is not exactly one value, or it is not a string.
    """
    if len(args) != 1 or not isinstance(args[0], str):
        raise SettingsError(f"`{name}` takes one string")
    return args[0]


def read_number(name: str, args: list[Any], must_be_positive: bool = False) -> float:
    """The only value of the form `name`, a number from 0 to `MAX_AMOUNT`, or above 0 if it must be positive.

    Raises:
        SettingsError: There is not exactly one value, or it is not such a number.
    """
    if len(args) != 1 or isinstance(args[0], bool) or not isinstance(args[0], int | float):
        raise SettingsError(f"`{name}` takes one number")
    if args[0] < 0 or (must_be_positive and args[0] == 0):
        raise SettingsError(f"`{name}` must be {'above' if must_be_positive else 'at least'} 0")
    if not args[0] <= MAX_AMOUNT:
        raise SettingsError(f"`{name}` must be at most {MAX_AMOUNT:g}")
    return float(args[0])
