"""Definitions of the items of release notes: types, ranges and meaning.

`core.note` checks release notes against them and `admin.reference` renders
them as docs/RELEASE-NOTES.md, so that the page cannot differ from the check.
"""

import dataclasses
import re
import reprlib
import typing

from auburnway.core import configuration as configuration_lib

# Names appear in addresses of metrics and in log lines, so that spaces and
# control characters are excluded.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")


@dataclasses.dataclass(frozen=True)
class Field:
    """One key of an item.

    Attributes:
      name: Key, equal to the attribute of the record.
      kind: Type of its value; a float also takes an integer.
      meaning: What it does, with the unit.
      low: Least allowed number.
      high: Greatest allowed number.
      choices: Allowed strings; empty allows any name.
      refers_to: Item type whose name the value must be.
      example: Value shown in the reference page.
    """

    name: str
    kind: type
    meaning: str
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    refers_to: str = ""
    example: typing.Any = None

    @property
    def allowed(self) -> str:
        """Allowed values, for people."""
        if self.kind is bool:
            return "true or false"
        if self.choices:
            return " or ".join(f'"{choice}"' for choice in self.choices)
        if self.refers_to:
            return f"{self.refers_to} in force"
        if self.kind is str:
            return "1 to 128 of A-Z a-z 0-9 . _ : / -, first a letter or digit"
        unit = "integer" if self.kind is int else "number"
        return f"{unit} from {self.low:.10g} to {self.high:.10g}"

    def problem(self, value: typing.Any) -> str:
        """Returns what is wrong with a value; empty when nothing is."""
        message = f"value {short_repr(value)} is not allowed: {self.allowed}"
        expected = (int, float) if self.kind is float else self.kind
        if not isinstance(value, expected):
            return message
        if isinstance(value, bool) and self.kind is not bool:
            return message
        # Written so that NaN fails.
        if self.low is not None and not self.low <= value <= self.high:
            return message
        if self.choices and value not in self.choices:
            return message
        if self.kind is str and not NAME_PATTERN.fullmatch(value):
            return message
        return ""


def short_repr(value: typing.Any) -> str:
    """Returns a short form of a value of any size and depth."""
    try:
        return reprlib.repr(value)
    except ValueError:
        # Python refuses to print integers of more than 4,300 digits, which
        # TOML can hold in hexadecimal form.
        return f"of type {type(value).__name__}"


def _name_field(meaning: str, example: str) -> Field:
    return Field("name", str, meaning, example=example)


ITEMS: dict[str, tuple[Field, ...]] = {
    "rank": (
        _name_field("Unique name of the rank.", "urgent"),
        Field(
            "order",
            int,
            "Urgency; 0 is the most urgent. No two ranks share an order.",
            low=0,
            high=99,
            example=0,
        ),
        Field(
            "floor_share",
            float,
            "Guaranteed part of the slots; at most 1 over all ranks.",
            low=0.0,
            high=1.0,
            example=0.2,
        ),
        Field(
            "latency_target_ms",
            float,
            "Latency in ms that 99 of 100 answers should meet.",
            low=1.0,
            high=3_600_000.0,
            example=300.0,
        ),
        Field(
            "queue_limit",
            int,
            "Greatest number of waiting requests per entry.",
            low=0,
            high=1_000_000,
            example=200,
        ),
    ),
    "caller": (
        _name_field("Name that the caller sends.", "front-desk"),
        Field(
            "share",
            float,
            "Weight against the other callers inside a rank.",
            low=0.001,
            high=1000.0,
            example=1.0,
        ),
    ),
    "kind": (
        _name_field("Name of the request kind that callers send.", "search"),
        Field(
            "application",
            str,
            "Application whose backend servers run it.",
            refers_to="application",
            example="catalogue",
        ),
        Field(
            "rank",
            str,
            "Rank that it is admitted under.",
            refers_to="rank",
            example="urgent",
        ),
        Field(
            "repeatable",
            bool,
            "False for work that must run at most once.",
            example=True,
        ),
        Field(
            "fan_out",
            bool,
            "True to query each shard, false to run on one server.",
            example=True,
        ),
        Field(
            "deadline_ms",
            float,
            "Greatest deadline in ms, also used when the caller sends none.",
            low=1.0,
            high=3_600_000.0,
            example=2000.0,
        ),
        Field(
            "canary",
            str,
            "Whether an unseen fan-out runs on one server first.",
            choices=("unseen", "off"),
            example="unseen",
        ),
    ),
    "application": (
        _name_field("Name that backend servers announce.", "catalogue"),
        Field(
            "slots_per_server",
            int,
            "Requests that a backend server runs at once.",
            low=1,
            high=10_000,
            example=5,
        ),
        Field(
            "connections_per_server",
            int,
            "Connections that a backend server accepts.",
            low=1,
            high=100_000,
            example=40,
        ),
        Field(
            "connect_ms",
            float,
            "Typical cost of a new connection in ms.",
            low=0.0,
            high=60_000.0,
            example=6.0,
        ),
    ),
    "policy": (
        _name_field("Decision, such as replica_choice.", "replica_choice"),
        Field(
            "value",
            str,
            "Name of the plug-in that takes the decision.",
            example="two_choices",
        ),
    ),
    "drain": (
        _name_field(
            "Backend server that receives no new work.", "catalogue-07"
        ),
    ),
}


def required_keys(item: str) -> tuple[str, ...]:
    """Returns the keys that an `add` of this item must have."""
    return tuple(
        field.name
        for field in dataclasses.fields(configuration_lib.ITEM_TYPES[item])
        if field.default is dataclasses.MISSING
    )
