"""Definitions of the items of release notes: types, ranges and meaning.

`core.note` checks release notes against these definitions, and
`admin.reference` generates docs/RELEASE-NOTES.md from them, so that the page
always agrees with the checks.
"""

import dataclasses
import re
import reprlib
import typing

from auburnway.core import configuration as configuration_lib

# Names appear in metric addresses and in log lines, so spaces and control
# characters are not allowed.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")


@dataclasses.dataclass(frozen=True)
class Field:
    """One key of an item.

    Attributes:
      name: Name of the key; also the attribute name in the record.
      kind: Type of the value; a float key also accepts an integer.
      meaning: Description for the reference page, with the unit.
      low: Minimum of a number.
      high: Maximum of a number.
      choices: Allowed strings; empty to allow any name.
      refers_to: Item type; the value must be the name of such an item.
      example: Example value on the reference page.
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
        """Readable description of the allowed values."""
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
        """Returns why a value is not allowed; empty when it is allowed."""
        message = f"value {short_repr(value)} is not allowed: {self.allowed}"
        expected = (int, float) if self.kind is float else self.kind
        if not isinstance(value, expected):
            return message
        if isinstance(value, bool) and self.kind is not bool:
            return message
        # This form of the comparison also rejects NaN.
        if self.low is not None and not self.low <= value <= self.high:
            return message
        if self.choices and value not in self.choices:
            return message
        if self.kind is str and not NAME_PATTERN.fullmatch(value):
            return message
        return ""


def short_repr(value: typing.Any) -> str:
    """Returns a short readable form of a value of any size and depth."""
    try:
        return reprlib.repr(value)
    except ValueError:
        # Python does not convert integers of more than 4,300 digits to
        # decimal text. TOML can express them in hexadecimal form.
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
            "Guaranteed share of the slots; the sum over all ranks is at most"
            " 1.",
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
            "Maximum number of waiting requests per entry.",
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
            "Weight relative to the other callers in the same rank.",
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
            "Application whose backend servers run the requests.",
            refers_to="application",
            example="catalogue",
        ),
        Field(
            "rank",
            str,
            "Rank under which the requests are admitted.",
            refers_to="rank",
            example="urgent",
        ),
        Field(
            "repeatable",
            bool,
            "False for requests that must run at most once.",
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
            "Maximum deadline in ms, and the default if the caller sends none.",
            low=1.0,
            high=3_600_000.0,
            example=2000.0,
        ),
        Field(
            "canary",
            str,
            "Whether a fan-out query that has not been seen before runs on one"
            " server first.",
            choices=("unseen", "off"),
            example="unseen",
        ),
    ),
    "application": (
        _name_field("Name that backend servers announce.", "catalogue"),
        Field(
            "slots_per_server",
            int,
            "Requests that a backend server runs concurrently.",
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
            "Typical time to open a new connection in ms.",
            low=0.0,
            high=60_000.0,
            example=6.0,
        ),
    ),
    "policy": (
        _name_field(
            "Name of a decision, such as replica_choice.", "replica_choice"
        ),
        Field(
            "value",
            str,
            "Name of the plug-in that makes the decision.",
            example="two_choices",
        ),
    ),
    "drain": (
        _name_field(
            "Backend server that receives no new requests.", "catalogue-07"
        ),
    ),
}


def required_keys(item: str) -> tuple[str, ...]:
    """Returns the keys that an `add` of this item type must have."""
    return tuple(
        field.name
        for field in dataclasses.fields(configuration_lib.ITEM_TYPES[item])
        if field.default is dataclasses.MISSING
    )
