"""Tests the timeline of a request from the logs of several processes."""

import json

from auburnway.admin import explain
from auburnway.admin import main


def log_line(second, process, message, **details):
    time = f"2026-12-04T10:00:{second:06.3f}+00:00"
    fields = {"time": time, "level": "INFO", "process": process}
    return json.dumps({**fields, "message": message, **details})


ENTRY_LOG = "\n".join(
    (
        log_line(1, "e1", "configuration is in force", revision=7),
        log_line(30, "e1", "lost a control instance", control="c1"),
        log_line(31, "e1", "request was not answered in full", request="r2"),
        "   12.5 e1 " + log_line(32, "e1", "hedge", request="r1", server="s4"),
        log_line(33, "e1", "partial", request="r1", missing=["sa: s4"]),
        '{"not": "a log line"}',
        "Traceback (most recent call last):",
    )
)
CONTROL_LOG = log_line(31.5, "c2", "role changed", role="leader")


def test_lines_of_a_request_are_ordered_and_have_context():
    lines = (*explain.parse(ENTRY_LOG), *explain.parse(CONTROL_LOG))
    request_lines, timeline = explain.build_timeline(lines, "r1")
    assert [line.message for line in request_lines] == ["hedge", "partial"]
    # The configuration line is older than the limit for context, and process
    # c2 has no line about the request.
    assert [line.message for line in timeline] == [
        "lost a control instance",
        "hedge",
        "partial",
    ]


def test_explain_command_prints_the_timeline(tmp_path, capsys):
    (tmp_path / "e1.log").write_text(ENTRY_LOG)
    (tmp_path / "c2.log").write_text(CONTROL_LOG)
    assert main.main(["explain", "r1", "--logs", str(tmp_path)]) == 0
    text = capsys.readouterr().out
    assert "* 2026-12-04T10:00:32.000+00:00 e1: hedge server=s4" in text
    code = main.main(["--json", "explain", "r1", "--logs", str(tmp_path)])
    assert code == 0
    assert len(json.loads(capsys.readouterr().out)["lines"]) == 3


def test_request_without_log_line_prints_the_remedy(tmp_path, capsys):
    (tmp_path / "e1.log").write_text(ENTRY_LOG)
    assert main.main(["explain", "r9", "--logs", str(tmp_path)]) == 2
    assert "logs of all entries" in capsys.readouterr().err
