"""Builds the timeline of one request from the logs of all processes.

A log line about a request gives the reason of a decision; the state that the
process based the decision on is in earlier lines of the same process. `explain`
shows both, so that operators need not search dozens of files.
"""

from collections import abc
import dataclasses
import datetime
import json
import pathlib
import typing

from auburnway.admin import outcome as outcome_lib
from auburnway.core import errors

# Context lines are lines of the same process that belong to no request. At most
# this many are shown before each line of the request.
CONTEXT_LINES = 3
# Older context lines are left out, as they no longer explain a decision.
MAX_CONTEXT_AGE_S = 10.0


class NoSuchRequest(errors.Error):
    """No log line contains the request id."""

    code = "no_such_request"
    remedy = (
        "Give the logs of all entries. A request that was answered in full and"
        " in time is not logged."
    )
    exit_code = 2


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One log line.

    Attributes:
      time: Time in ISO 8601 format.
      process: Name of the process.
      message: Text of the log message.
      request: Request id; empty if the line belongs to no request.
      details: All other fields, as pairs of name and value.
    """

    time: str
    process: str
    message: str
    request: str
    details: tuple[tuple[str, typing.Any], ...]


def parse(text: str) -> tuple[LogLine, ...]:
    """Returns the JSON lines of a log.

    Text before the first `{` of a line and lines without JSON are skipped.
    """
    return tuple(filter(None, map(_parse_line, text.splitlines())))


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(text[start:])
        known_fields = {"time", "process", "message", "request", "level"}
        details = tuple(
            (key, value)
            for key, value in data.items()
            if key not in known_fields
        )
        request = str(data.get("request", ""))
        return LogLine(
            data["time"], data["process"], data["message"], request, details
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def build_timeline(
    lines: abc.Iterable[LogLine], request_id: str
) -> tuple[tuple[LogLine, ...], tuple[LogLine, ...]]:
    """Builds the timeline of a request.

    Args:
      lines: Lines of all processes, in any order.
      request_id: Request id.

    Returns:
      The lines of the request, and the same lines with their context lines,
      both ordered by time.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    context_by_process: dict[str, list[LogLine]] = {}
    request_lines, timeline = [], []
    for line in ordered:
        if line.request == request_id:
            context = context_by_process.pop(line.process, [])
            timeline += [
                earlier
                for earlier in context
                if _elapsed_s(earlier, line) <= MAX_CONTEXT_AGE_S
            ]
            timeline.append(line)
            request_lines.append(line)
        elif not line.request:
            context = context_by_process.setdefault(line.process, [])
            context.append(line)
            del context[:-CONTEXT_LINES]
    timeline.sort(key=lambda line: line.time)
    return tuple(request_lines), tuple(timeline)


def _elapsed_s(earlier: LogLine, later: LogLine) -> float:
    start, end = (
        datetime.datetime.fromisoformat(line.time) for line in (earlier, later)
    )
    return (end - start).total_seconds()


def explain(request_id: str, folder: pathlib.Path) -> outcome_lib.Outcome:
    """Returns the timeline of a request from all log files in a folder."""
    lines: list[LogLine] = []
    for path in sorted(folder.rglob("*")):
        if path.is_file():
            lines += parse(path.read_text("utf-8", errors="replace"))
    request_lines, timeline = build_timeline(lines, request_id)
    if not request_lines:
        return outcome_lib.from_errors([NoSuchRequest(request_id, str(folder))])
    text = "\n".join(
        _line_text(line, line.request == request_id) for line in timeline
    )
    data = {"lines": [dataclasses.asdict(line) for line in timeline]}
    return outcome_lib.Outcome(outcome_lib.DONE, data, text)


def _line_text(line: LogLine, is_request_line: bool) -> str:
    marker = "*" if is_request_line else " "
    details = " ".join(f"{name}={value}" for name, value in line.details)
    return (
        f"{marker} {line.time} {line.process}: {line.message}"
        f" {details}".rstrip()
    )
