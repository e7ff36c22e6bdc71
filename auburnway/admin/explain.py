"""One request on one time line, from the logs of all processes.

A line about a request names what decided it; what the process believed then
stands in earlier lines of the same process. `explain` joins both, so that
nobody has to search dozens of files by hand.
"""

from collections import abc
import dataclasses
import datetime
import json
import pathlib
import typing

from auburnway.admin import outcome as outcome_lib
from auburnway.core import errors

# Lines without a request of the same process that are shown before each line
# of the request.
CONTEXT_LINES = 3
# Context that is older than this explains nothing any more.
CONTEXT_S = 10.0


class NoSuchRequest(errors.Error):
    """No log line names the request."""

    code = "no_such_request"
    remedy = (
        "Give the logs of all entries. A request that was answered whole and in"
        " time has no line."
    )
    exit_code = 2


@dataclasses.dataclass(frozen=True)
class Line:
    """One log line.

    Attributes:
      time: ISO instant.
      process: Name of the process.
      message: What happened.
      request: Identity of the request; empty for other lines.
      details: All other fields.
    """

    time: str
    process: str
    message: str
    request: str
    details: tuple[tuple[str, typing.Any], ...]


def parse(text: str) -> tuple[Line, ...]:
    """Returns the JSON lines of a log; whatever precedes a `{` is skipped."""
    return tuple(filter(None, map(_parse_line, text.splitlines())))


def _parse_line(text: str) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(text[start:])
        own = {"time", "process", "message", "request", "level"}
        details = tuple((k, v) for k, v in data.items() if k not in own)
        request = str(data.get("request", ""))
        return Line(
            data["time"], data["process"], data["message"], request, details
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def time_line(
    lines: abc.Iterable[Line], request_id: str
) -> tuple[tuple[Line, ...], tuple[Line, ...]]:
    """Returns the lines of a request, and those with their context, by time.

    Args:
      lines: Lines of all processes, in any order.
      request_id: Identity of the request.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    recent: dict[str, list[Line]] = {}
    found, shown = [], []
    for line in ordered:
        if line.request == request_id:
            context = recent.pop(line.process, [])
            shown += [c for c in context if _seconds(c, line) <= CONTEXT_S]
            shown.append(line)
            found.append(line)
        elif not line.request:
            context = recent.setdefault(line.process, [])
            context.append(line)
            del context[:-CONTEXT_LINES]
    shown.sort(key=lambda line: line.time)
    return tuple(found), tuple(shown)


def _seconds(earlier: Line, later: Line) -> float:
    start, end = (
        datetime.datetime.fromisoformat(line.time) for line in (earlier, later)
    )
    return (end - start).total_seconds()


def explain(request_id: str, folder: pathlib.Path) -> outcome_lib.Outcome:
    """Returns the time line of a request from all files of a folder."""
    lines: list[Line] = []
    for path in sorted(folder.rglob("*")):
        if path.is_file():
            lines += parse(path.read_text("utf-8", errors="replace"))
    found, shown = time_line(lines, request_id)
    if not found:
        return outcome_lib.refused([NoSuchRequest(request_id, str(folder))])
    text = "\n".join(
        _render(line, line.request == request_id) for line in shown
    )
    data = {"lines": [dataclasses.asdict(line) for line in shown]}
    return outcome_lib.Outcome(outcome_lib.DONE, data, text)


def _render(line: Line, is_own: bool) -> str:
    mark = "*" if is_own else " "
    details = " ".join(f"{name}={value}" for name, value in line.details)
    return (
        f"{mark} {line.time} {line.process}: {line.message} {details}".rstrip()
    )
