"""Formats the text output of the operator's command; pure functions."""

from collections import abc
import dataclasses
import datetime
import json
import typing

from auburnway.core import configuration as configuration_lib

JsonObject = dict[str, typing.Any]


def table(header: abc.Sequence[str], rows: abc.Iterable[abc.Sequence]) -> str:
    """Formats rows as aligned columns under a header."""
    lines = [tuple(header), *(tuple(map(_cell_text, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(map(str.ljust, line, widths)).rstrip() for line in lines
    )


def utc_time(wall_ms: int) -> str:
    """Formats milliseconds since the Unix epoch as ISO 8601 in UTC."""
    try:
        moment = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return f"{wall_ms} ms"
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def error(error_dict: dict[str, str]) -> str:
    """Formats an error with its remedy and code as one line."""
    prefix = f"{error_dict['source']}: " if error_dict["source"] else ""
    message = error_dict["message"].rstrip(".")
    return (
        f"error: {prefix}{message}. {error_dict['remedy']}"
        f" [{error_dict['code']}]"
    )


def changes(rows: abc.Sequence[JsonObject]) -> str:
    """Formats changes of the configuration, one line for each."""
    if not rows:
        return "no change"
    lines = []
    for row in rows:
        if row["action"] == "change":
            effect = f"{row['before']} -> {row['after']}"
        else:
            effect = row["after"] or row["before"]
        line = f"{row['action']:8} {row['item']} {row['name']}  {effect}"
        lines.append(line.rstrip())
    return "\n".join(lines)


def configuration_data(
    configuration: configuration_lib.Configuration,
) -> JsonObject:
    """Returns the JSON form of a configuration."""
    return dataclasses.asdict(configuration)


def configuration(data: JsonObject) -> str:
    """Formats the JSON form of a configuration as one table per item type."""
    sections = [f"release note {data['number']} in force ({data['digest']})"]
    for item, field in configuration_lib.FIELD_BY_ITEM_TYPE.items():
        if not data[field]:
            continue
        item_class = configuration_lib.ITEM_TYPES[item]
        header = [column.name for column in dataclasses.fields(item_class)]
        rows = [[row[key] for key in header] for row in data[field]]
        sections.append(f"{field}:\n{table(header, rows)}")
    return "\n\n".join(sections)


def entries(rows: abc.Iterable[JsonObject]) -> str:
    """Formats the table of entries."""
    header = ("entry", "data centre", "address", "number", "lease")
    return table(
        header,
        [
            (
                row["name"],
                row["data_center"],
                row["caller_address"],
                row["number"],
                _lease_text(row),
            )
            for row in rows
        ],
    )


def in_force(
    number: int, rows: abc.Sequence[JsonObject], everywhere: bool
) -> str:
    """Formats the number and lease of each entry for one release note.

    Args:
      number: Number of the release note.
      rows: Entries.
      everywhere: Whether the release note is in force on all entries.
    """
    if everywhere:
        title = f"release note {number} is in force everywhere:"
    else:
        title = f"release note {number} is not yet in force everywhere:"
    return f"{title}\n{entries(rows)}"


def control(rows: abc.Iterable[JsonObject]) -> str:
    """Formats the table of control instances."""
    header = ("control", "name", "role", "term", "committed", "quorum", "note")
    return table(
        header,
        [
            (
                row["address"],
                row.get("name", ""),
                row.get("role", "unreachable"),
                row.get("term", ""),
                row.get("commit_index", ""),
                row.get("has_quorum", ""),
                row["error"]["message"] if "error" in row else "",
            )
            for row in rows
        ],
    )


def voters(rows: abc.Iterable[JsonObject]) -> str:
    """Formats the table of voters with the leader's state of each."""
    header = ("voter", "incarnation", "address", "role", "matched", "heard ms")
    keys = (
        "name",
        "incarnation",
        "address",
        "role",
        "match_index",
        "last_heard_ms",
    )
    return table(header, [[row[key] for key in keys] for row in rows])


def backend_servers(rows: abc.Iterable[JsonObject]) -> str:
    """Formats the table of backend servers."""
    keys = (
        "name",
        "application",
        "data_center",
        "address",
        "state",
        "slots",
        "in_flight",
        "latency_ms",
    )
    shown_rows = [
        # A drain in a release note does not change the state that the backend
        # server announces.
        {**row, "state": f"{row['state']}, drained"}
        if row.get("drained")
        else row
        for row in rows
    ]
    return table(
        keys, [[row.get(key, "") for key in keys] for row in shown_rows]
    )


def audit(rows: abc.Iterable[JsonObject]) -> str:
    """Formats the table of audit rows."""
    header = ("revision", "time", "author", "action", "result", "detail")
    lines = []
    for row in rows:
        action = row["action"]
        if row["number"]:
            action = f"{action} {row['number']}"
        detail = note_detail(row["detail"])
        detail_text = row["detail"] if detail is None else detail["summary"]
        time = utc_time(row["wall_ms"])
        lines.append(
            (
                row["revision"],
                time,
                row["author"],
                action,
                row["result"],
                detail_text,
            )
        )
    return table(header, lines)


def note_detail(detail: str) -> JsonObject | None:
    """Parses the detail of the audit row of an accepted release note.

    Returns:
      A dict of summary and changes, or None if the detail is plain text.
    """
    try:
        data = json.loads(detail)
    except ValueError:
        return None
    if not isinstance(data, dict) or data.keys() != {"summary", "changes"}:
        return None
    return data


def _lease_text(row: JsonObject) -> str:
    if row["leaving"]:
        return "leaving"
    if row["lease_left_ms"] < 0:
        return "expired, serves no requests"
    return f"{row['lease_left_ms']} ms left"


def _cell_text(value: typing.Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.10g}"
    # Text from files and from the network may hold terminal control characters.
    return "".join(
        character if character.isprintable() else "?"
        for character in str(value)
    )
