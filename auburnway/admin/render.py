"""Text forms of what the operator's command shows; pure functions."""

from collections import abc
import dataclasses
import datetime
import json
import typing

from auburnway.core import configuration as configuration_lib

Values = dict[str, typing.Any]


def table(header: abc.Sequence[str], rows: abc.Iterable[abc.Sequence]) -> str:
    """Returns rows as aligned columns under a header."""
    lines = [tuple(header), *(tuple(map(_cell, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(map(str.ljust, line, widths)).rstrip() for line in lines
    )


def instant(wall_ms: int) -> str:
    """Returns milliseconds since the Unix epoch as ISO 8601 in UTC."""
    try:
        moment = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return f"{wall_ms} ms"
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def error(wired: dict[str, str]) -> str:
    """Returns one error as a line that ends with its remedy."""
    place = f"{wired['source']}: " if wired["source"] else ""
    seen = wired["message"].rstrip(".")
    return f"error: {place}{seen}. {wired['remedy']} [{wired['code']}]"


def changes(rows: abc.Sequence[Values]) -> str:
    """Returns changes of the configuration, one line each."""
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
) -> Values:
    """Returns the JSON form of a configuration."""
    return dataclasses.asdict(configuration)


def configuration(data: Values) -> str:
    """Returns the tables of a configuration's JSON form."""
    parts = [f"release note {data['number']} in force ({data['digest']})"]
    for item, field in configuration_lib.FIELD_BY_ITEM_TYPE.items():
        if not data[field]:
            continue
        record = configuration_lib.ITEM_TYPES[item]
        header = [f.name for f in dataclasses.fields(record)]
        rows = [[row[key] for key in header] for row in data[field]]
        parts.append(f"{field}:\n{table(header, rows)}")
    return "\n\n".join(parts)


def entries(rows: abc.Iterable[Values]) -> str:
    """Returns the table of entries."""
    header = ("entry", "data centre", "address", "number", "lease")
    return table(
        header,
        [
            (
                row["name"],
                row["data_center"],
                row["caller_address"],
                row["number"],
                _lease(row),
            )
            for row in rows
        ],
    )


def in_force(number: int, rows: abc.Sequence[Values], everywhere: bool) -> str:
    """Returns on which entries a release note is in force."""
    if everywhere:
        title = f"release note {number} is in force everywhere:"
    else:
        title = f"release note {number} is not yet in force everywhere:"
    return f"{title}\n{entries(rows)}"


def control(rows: abc.Iterable[Values]) -> str:
    """Returns the table of control instances."""
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


def voters(rows: abc.Iterable[Values]) -> str:
    """Returns the table of voters as the leader sees them."""
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


def backend_servers(rows: abc.Iterable[Values]) -> str:
    """Returns the table of backend servers."""
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
    shown = [
        # A drain by operators is no state of the backend server itself.
        {**row, "state": f"{row['state']}, drained"}
        if row.get("drained")
        else row
        for row in rows
    ]
    return table(keys, [[row.get(key, "") for key in keys] for row in shown])


def audit(rows: abc.Iterable[Values]) -> str:
    """Returns the table of audit rows."""
    header = ("revision", "time", "author", "action", "result", "detail")
    lines = []
    for row in rows:
        action = row["action"]
        if row["number"]:
            action = f"{action} {row['number']}"
        detail = note_detail(row["detail"])
        shown = row["detail"] if detail is None else detail["summary"]
        when = instant(row["wall_ms"])
        lines.append(
            (
                row["revision"],
                when,
                row["author"],
                action,
                row["result"],
                shown,
            )
        )
    return table(header, lines)


def note_detail(detail: str) -> Values | None:
    """Returns summary and changes of an accepted note's audit row."""
    try:
        data = json.loads(detail)
    except ValueError:
        return None
    if not isinstance(data, dict) or data.keys() != {"summary", "changes"}:
        return None
    return data


def _lease(row: Values) -> str:
    if row["leaving"]:
        return "leaving"
    if row["lease_left_ms"] < 0:
        return "run out, serves nothing"
    return f"{row['lease_left_ms']} ms left"


def _cell(value: typing.Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.10g}"
    # Details come from files and from the network.
    return "".join(c if c.isprintable() else "?" for c in str(value))
