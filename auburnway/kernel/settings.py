"""Checked settings in TOML.

A settings class is a frozen dataclass whose fields are defined by `setting`, so
that type, default, allowed range and meaning are defined in one place. `load`
checks a file against the class and reports all errors together, before any port
is opened. The type of a field may be another settings class (a TOML table) or a
tuple of a settings class (an array of tables).
"""

import dataclasses
import pathlib
import tomllib
import types
import typing

from returns import result

from auburnway.core import errors

_MISSING = dataclasses.MISSING


class SettingsError(errors.Error):
    """A settings file is absent, unreadable or invalid."""

    code = "bad_settings"
    remedy = "Correct the settings file; docs/SETTINGS.md lists all keys."
    exit_code = 2


def setting(
    help_text: str,
    default: typing.Any = _MISSING,
    low: float | None = None,
    high: float | None = None,
    choices: tuple[str, ...] | None = None,
) -> typing.Any:
    """Returns a dataclass field of a settings class.

    Args:
      help_text: Meaning of the setting, with its unit.
      default: Value when the key is absent; without a default, the key is
        required.
      low: Least allowed number.
      high: Greatest allowed number.
      choices: Allowed strings.
    """
    metadata = {
        "help": help_text,
        "low": low,
        "high": high,
        "choices": choices,
    }
    return dataclasses.field(default=default, metadata=metadata)


def load(
    cls: type, path: str | pathlib.Path
) -> result.Result[typing.Any, tuple[errors.Error, ...]]:
    """Reads and checks a settings file.

    Args:
      cls: Settings class.
      path: TOML file.

    Returns:
      The settings, or all errors found, each with file, key, value, allowed
      range and remedy.
    """
    try:
        data = tomllib.loads(pathlib.Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return result.Failure((SettingsError(str(error), str(path)),))
    value, found = check(cls, data, str(path))
    return result.Failure(found) if found else result.Success(value)


def check(
    cls: type, data: dict[str, typing.Any], source: str
) -> tuple[typing.Any, tuple[errors.Error, ...]]:
    """Checks parsed TOML against a settings class.

    Returns:
      The settings, or None if there are errors, and the errors.
    """
    found: list[errors.Error] = []
    values = {}
    hints = typing.get_type_hints(cls)
    fields = {field.name: field for field in dataclasses.fields(cls)}
    for key in data.keys() - fields.keys():
        known = ", ".join(fields)
        detail = f"unknown key with value {data[key]!r}; known: {known}"
        found.append(SettingsError(detail, f"{source}:{key}"))
    for name, field in fields.items():
        place = f"{source}:{name}"
        if name not in data:
            if field.default is _MISSING:
                found.append(SettingsError("required key is absent", place))
            continue
        value, problems = _check_value(hints[name], field, data[name], place)
        values[name] = value
        found.extend(problems)
    if found:
        return None, tuple(found)
    return cls(**values), ()


def _check_value(hint, field, value, place):
    if dataclasses.is_dataclass(hint):
        if not isinstance(value, dict):
            return None, (SettingsError(f"{value!r} is not a table", place),)
        return check(hint, value, place)
    if typing.get_origin(hint) is tuple:
        return _check_tuple(typing.get_args(hint)[0], field, value, place)
    detail = _scalar_problem(hint, field.metadata, value)
    if detail:
        return None, (SettingsError(detail, place),)
    return (float(value) if hint is float else value), ()


def _check_tuple(hint, field, value, place):
    if not isinstance(value, list):
        return None, (SettingsError(f"{value!r} is not a list", place),)
    values, found = [], []
    for i, element in enumerate(value):
        one, problems = _check_value(hint, field, element, f"{place}[{i}]")
        values.append(one)
        found.extend(problems)
    return tuple(values), tuple(found)


def _scalar_problem(hint, metadata, value) -> str:
    """Returns a description of the error of a scalar; empty if valid."""
    if isinstance(hint, types.UnionType):
        hint = typing.get_args(hint)[0]
    expected = (int, float) if hint is float else hint
    wrong_bool = isinstance(value, bool) and hint is not bool
    if not isinstance(value, expected) or wrong_bool:
        return f"value {value!r} is not of type {hint.__name__}"
    low, high = metadata.get("low"), metadata.get("high")
    choices = metadata.get("choices")
    if low is not None and value < low or high is not None and value > high:
        least = "-inf" if low is None else low
        most = "inf" if high is None else high
        return f"value {value!r} is outside the allowed {least} to {most}"
    if choices and value not in choices:
        return f"value {value!r} is none of {', '.join(choices)}"
    return ""
