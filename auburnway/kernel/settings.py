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
    value, setting_errors = check(cls, data, str(path))
    return (
        result.Failure(setting_errors)
        if setting_errors
        else result.Success(value)
    )


def check(
    cls: type, data: dict[str, typing.Any], source: str
) -> tuple[typing.Any, tuple[errors.Error, ...]]:
    """Checks parsed TOML against a settings class.

    Returns:
      The settings, or None if there are errors, and the errors.
    """
    setting_errors: list[errors.Error] = []
    values = {}
    type_hints = typing.get_type_hints(cls)
    fields = {field.name: field for field in dataclasses.fields(cls)}
    for key in data.keys() - fields.keys():
        known = ", ".join(fields)
        detail = f"unknown key with value {data[key]!r}; known: {known}"
        setting_errors.append(SettingsError(detail, f"{source}:{key}"))
    for name, field in fields.items():
        location = f"{source}:{name}"
        if name not in data:
            if field.default is _MISSING:
                setting_errors.append(
                    SettingsError("required key is absent", location)
                )
            continue
        value, value_errors = _check_value(
            type_hints[name], field, data[name], location
        )
        values[name] = value
        setting_errors.extend(value_errors)
    if setting_errors:
        return None, tuple(setting_errors)
    return cls(**values), ()


def _check_value(type_hint, field, value, location):
    if dataclasses.is_dataclass(type_hint):
        if not isinstance(value, dict):
            return None, (SettingsError(f"{value!r} is not a table", location),)
        return check(type_hint, value, location)
    if typing.get_origin(type_hint) is tuple:
        return _check_tuple(
            typing.get_args(type_hint)[0], field, value, location
        )
    detail = _scalar_error_detail(type_hint, field.metadata, value)
    if detail:
        return None, (SettingsError(detail, location),)
    return (float(value) if type_hint is float else value), ()


def _check_tuple(type_hint, field, value, location):
    if not isinstance(value, list):
        return None, (SettingsError(f"{value!r} is not a list", location),)
    values, setting_errors = [], []
    for i, element in enumerate(value):
        element_value, value_errors = _check_value(
            type_hint, field, element, f"{location}[{i}]"
        )
        values.append(element_value)
        setting_errors.extend(value_errors)
    return tuple(values), tuple(setting_errors)


def _scalar_error_detail(type_hint, metadata, value) -> str:
    """Returns a description of the error of a scalar; empty if valid."""
    if isinstance(type_hint, types.UnionType):
        type_hint = typing.get_args(type_hint)[0]
    expected = (int, float) if type_hint is float else type_hint
    is_unexpected_bool = isinstance(value, bool) and type_hint is not bool
    if not isinstance(value, expected) or is_unexpected_bool:
        return f"value {value!r} is not of type {type_hint.__name__}"
    low, high = metadata.get("low"), metadata.get("high")
    choices = metadata.get("choices")
    if low is not None and value < low or high is not None and value > high:
        minimum = "-inf" if low is None else low
        maximum = "inf" if high is None else high
        return f"value {value!r} is outside the allowed {minimum} to {maximum}"
    if choices and value not in choices:
        return f"value {value!r} is none of {', '.join(choices)}"
    return ""
