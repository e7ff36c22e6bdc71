"""A request's time line from the logs of several processes."""

import json

from auburnway.admin import explain
from auburnway.admin import main


def line(second, process, message, **details):
    time = f"2026-12-04T10:00:{second:06.3f}+00:00"
    fields = {"time": time, "level": "INFO", "process": process}
    return json.dumps({**fields, "message": message, **details})


ENTRY = "\n".join(
    (
        line(1, "e1", "configuration is in force", revision=7),
        line(30, "e1", "lost a control instance", control="c1"),
        line(31, "e1", "request was not answered in full", request="r2"),
        "   12.5 e1 " + line(32, "e1", "hedge", request="r1", server="s4"),
        line(33, "e1", "partial", request="r1", missing=["sa: s4"]),
        '{"not": "a log line"}',
        "Traceback (most recent call last):",
    )
)
CONTROL = line(31.5, "c2", "role changed", role="leader")


def test_lines_of_a_request_in_order_with_what_came_before():
    lines = (*explain.parse(ENTRY), *explain.parse(CONTROL))
    found, shown = explain.time_line(lines, "r1")
    assert [one.message for one in found] == ["hedge", "partial"]
    # The configuration of half a minute before explains nothing, and neither
    # does a process that had no part in the request.
    assert [one.message for one in shown] == [
        "lost a control instance",
        "hedge",
        "partial",
    ]


def test_command(tmp_path, capsys):
    (tmp_path / "e1.log").write_text(ENTRY)
    (tmp_path / "c2.log").write_text(CONTROL)
    assert main.main(["explain", "r1", "--logs", str(tmp_path)]) == 0
    text = capsys.readouterr().out
    assert "* 2026-12-04T10:00:32.000+00:00 e1: hedge server=s4" in text
    code = main.main(["--json", "explain", "r1", "--logs", str(tmp_path)])
    assert code == 0
    assert len(json.loads(capsys.readouterr().out)["lines"]) == 3


def test_request_without_a_line_names_the_remedy(tmp_path, capsys):
    (tmp_path / "e1.log").write_text(ENTRY)
    assert main.main(["explain", "r9", "--logs", str(tmp_path)]) == 2
    assert "logs of all entries" in capsys.readouterr().err
