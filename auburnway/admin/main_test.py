import dataclasses
import http.server
import json
import threading

import pytest
from returns import result

from auburnway.admin import entry_status
from auburnway.admin import main
from auburnway.admin import operations
from auburnway.admin import outcome as outcome_lib
from auburnway.admin import render
from auburnway.admin import settings as settings_lib
from auburnway.core import clock as clock_lib
from auburnway.core import configuration as configuration_lib
from auburnway.core import errors
from auburnway.core import note as note_lib
from auburnway.core import replicated_state as rs
from auburnway.rpc import control_pb2 as pb

NOTE = """
number = 1
author = "kim"
summary = "first callers"
[[add.caller]]
name = "desk"
share = 2
"""


def error_messages(errors_found):
    return [
        pb.Error(
            code=error.code,
            message=error.detail,
            remedy=error.remedy,
            source=error.source,
        )
        for error in errors_found
    ]


class FakeControl:
    """Control without consensus: applies requests to a replicated state."""

    def __init__(self):
        self.state = rs.EMPTY_STATE
        self.lost_replies = 0
        self.is_up = True
        self.entries = {"e1": 0, "e2": 0}
        # Entries acknowledge the newest number at the InForce call with this
        # index, from 1.
        self.calls_until_acknowledged = 2
        self.lease_left_ms = 900
        self.may_be_lent = False
        self.chain_valid = True

    def connect(self, addresses):
        return self

    def call(self, method, request, timeout_ms):
        if not self.is_up:
            return result.Failure(errors.ControlUnavailable("no leader"))
        reply = getattr(self, method)(request)
        if self.lost_replies and method == "Apply":
            self.lost_replies -= 1
            return result.Failure(errors.ControlUnavailable("no answer"))
        return result.Success(reply)

    def Apply(self, request):  # noqa: N802
        command = rs.AcceptNote(request.text, request.author, 1000)
        index = self.state.index + 1
        self.state, reply = rs.apply(self.state, index, command)
        fields = dataclasses.asdict(reply)
        return pb.ApplyReply(
            **{**fields, "errors": error_messages(reply.errors)}
        )

    def Plan(self, request):  # noqa: N802
        note = note_lib.parse(request.text, "note").unwrap()
        old = self.state.configuration
        problems = rs.check_note(self.state, note)
        changes = note_lib.diff(old, note_lib.apply(old, note))
        return pb.PlanReply(
            errors=error_messages(problems),
            changes=[
                pb.Change(**dataclasses.asdict(change)) for change in changes
            ],
            number_in_force=old.number,
        )

    def Read(self, request):  # noqa: N802
        configuration = self.state.configuration
        return pb.ReadReply(
            number=configuration.number,
            configuration=configuration_lib.encode(configuration),
        )

    def InForce(self, request):  # noqa: N802
        number = self.state.configuration.number
        self.calls_until_acknowledged -= 1
        if self.calls_until_acknowledged <= 0:
            self.entries = dict.fromkeys(self.entries, number)
        rows = [
            pb.EntryState(
                name=name,
                data_center="d1",
                caller_address=f"{name}:80",
                number=acknowledged,
                lease_left_ms=self.lease_left_ms,
            )
            for name, acknowledged in self.entries.items()
        ]
        # Same rule as in control.entries: an entry with an older number blocks
        # `everywhere` while it may serve, under its own lease or one that a
        # peer lent it.
        everywhere = all(
            row.number >= number
            or (row.lease_left_ms < 0 and not self.may_be_lent)
            for row in rows
        )
        return pb.InForceReply(
            number=number, entries=rows, everywhere=everywhere
        )

    def Audit(self, request):  # noqa: N802
        rows = self.state.audit[request.after_revision :][:2]
        return pb.AuditReply(
            rows=[pb.AuditRow(**dataclasses.asdict(row)) for row in rows],
            chain_valid=self.chain_valid,
        )

    def Status(self, request):  # noqa: N802
        return pb.StatusReply(
            name="c1",
            role="leader",
            term=3,
            has_quorum=True,
            voters=[pb.VoterState(name="c1", role="voter")],
        )


def fetch(address, timeout_ms):
    if address == "e2:80":
        return result.Failure(entry_status.EntryUnreachable("refused", address))
    row = {"name": "s1", "application": "a", "started_ms": 5, "in_flight": 1}
    return result.Success({"entry": "e1", "backend_servers": [row]})


@pytest.fixture
def control():
    return FakeControl()


@pytest.fixture
def operator(control, tmp_path, capsys):
    """Runs a command line against the fake control."""
    path = tmp_path / "note.toml"
    clock = clock_lib.ManualClock()

    def make_context():
        settings = settings_lib.OperatorSettings(("c1:1",), "token", "kim")
        return operations.Context(
            settings, clock, control.connect, fetch, clock.advance
        )

    def run(*arguments, text=NOTE):
        path.write_text(text)
        arguments = [str(path) if a == "FILE" else a for a in arguments]
        parsed = main.make_parser().parse_args(arguments)
        outcome = main.run(parsed, make_context)
        code = main.print_outcome(outcome, parsed.json)
        return code, *capsys.readouterr()

    return run


def test_apply_lists_the_entries_that_have_the_note_in_force(operator):
    code, out, _ = operator("apply", "FILE")
    assert code == 0
    assert "is in force everywhere" in out and "e1" in out and "e2" in out


def test_apply_with_a_lost_answer_is_accepted_once(operator, control):
    # Guards against a retry that is refused or applied under a second number.
    control.lost_replies = 2
    code, out, _ = operator("apply", "FILE")
    assert code == 0 and "accepted before" in out
    assert operator("apply", "FILE")[0] == 0
    assert len(control.state.audit) == 1


def test_apply_without_control_reports_an_unknown_outcome(operator, control):
    control.is_up = False
    code, _, err = operator("apply", "FILE", "--wait-ms", "500")
    assert code == outcome_lib.UNAVAILABLE
    assert "answer_lost" in err and "Run the same command" in err


@pytest.mark.parametrize(
    "lease_left_ms, may_be_lent, expected",
    [(900, False, 5), (-1, False, 0), (-1, True, 5)],
)
def test_apply_waits_for_entries_that_may_serve(
    operator, control, lease_left_ms, may_be_lent, expected
):
    # An entry whose own lease has expired does not serve, so apply need not
    # wait for it unless a peer may have lent it a lease. Only control can
    # determine that.
    control.calls_until_acknowledged = 1 << 30
    control.lease_left_ms = lease_left_ms
    control.may_be_lent = may_be_lent
    code, _, err = operator("apply", "FILE", "--wait-ms", "500")
    assert code == expected
    assert not expected or "e1, e2" in err


def test_apply_ignores_an_answer_with_an_older_number(operator, control):
    # A control instance that lags behind may list no entry that still has the
    # older number.
    control.InForce = lambda request: pb.InForceReply(everywhere=True)
    code, _, err = operator("apply", "FILE", "--wait-ms", "500")
    assert code == outcome_lib.NOT_YET_IN_FORCE
    assert "not confirmed by control" in err


def test_invalid_text_takes_precedence_over_wrong_number(operator):
    # With code 3, a script that only changes the number and retries would loop
    # for ever.
    bad = NOTE.replace("share = 2", "share = 0").replace("= 1", "= 5", 1)
    code, _, err = operator("plan", "FILE", text=bad)
    assert "wrong_number" in err and "bad_value" in err
    assert code == outcome_lib.INVALID_INPUT


def test_conflicting_note_reports_the_accepted_author(operator):
    assert operator("apply", "FILE")[0] == 0
    other = NOTE.replace("share = 2", "share = 3")
    code, _, err = operator("apply", "FILE", text=other)
    assert code == outcome_lib.NUMBER_TAKEN
    assert "accepted from kim" in err and "diff NUMBER" in err


def test_refusals_name_all_errors_with_their_remedies(operator, control):
    bad = NOTE.replace("share = 2", "share = 0\ncolor = 1")
    for command in ("check", "plan", "apply", "diff"):
        code, _, err = operator(command, "FILE", text=bad)
        assert code == outcome_lib.INVALID_INPUT
        lines = err.splitlines()
        assert len(lines) == 2
        assert all("docs/RELEASE-NOTES.md" in line for line in lines)
    code, _, err = operator("check", "FILE", text="number = ")
    assert code == outcome_lib.INVALID_INPUT and "not TOML" in err
    code, _, err = operator("check", "absent.toml")
    assert code == outcome_lib.INVALID_INPUT and "standard input" in err


def test_plan_and_diff_show_the_change_and_apply_nothing(operator, control):
    for command in ("plan", "diff"):
        code, out, _ = operator(command, "FILE")
        assert code == 0 and "add      caller desk  share=2.0" in out
    assert control.state is rs.EMPTY_STATE
    operator("apply", "FILE")
    code, out, _ = operator("--json", "diff", "1")
    data = json.loads(out)
    assert data["summary"] == "first callers"
    assert data["changes"][0]["after"] == "share=2.0"
    assert operator("diff", "9")[0] == outcome_lib.INVALID_INPUT


def test_drain_undrain_and_withdraw_apply_the_next_note(operator, control):
    operator("apply", "FILE")
    code, out, _ = operator("drain", "s1")
    assert code == 0 and "number = 2" in out and "[[add.drain]]" in out
    assert control.state.configuration.find("drain", "s1")
    # An operator may repeat a drain because the first answer was lost, so the
    # repeated command must not fail.
    code, out, _ = operator("drain", "s1")
    assert code == 0 and "is already in force" in out
    assert operator("undrain", "s1")[0] == 0
    assert operator("withdraw", "caller", "desk")[0] == 0
    assert control.state.configuration.number == 4
    code, _, err = operator("undrain", "s1")
    assert code == outcome_lib.INVALID_INPUT and "not_present" in err
    assert operator("drain", 'a"b\n')[0] == outcome_lib.INVALID_INPUT
    assert control.state.configuration.number == 4


def test_show_prints_the_items_in_force(operator):
    operator("apply", "FILE")
    assert "desk  2" in operator("show")[1]
    data = json.loads(operator("--json", "show", "rank")[1])
    assert data["number"] == 1 and data["callers"] == []


def test_status_shows_reachable_parts_when_others_are_down(operator, control):
    code, out, err = operator("status")
    assert code == outcome_lib.UNAVAILABLE
    assert "leader" in out and "s1" in out and "e2:80" in err
    control.is_up = False
    code, out, err = operator("status")
    assert code == outcome_lib.UNAVAILABLE
    assert "unreachable" in out and "restore a majority" in err


def test_status_counts_the_losses_that_are_survived():
    # Guards against an operator who replaces a machine while the next loss
    # would end control.
    def voter(last_heard_ms, role="voter"):
        return {"role": role, "last_heard_ms": last_heard_ms}

    three = [voter("0"), voter("80"), voter("90")]
    assert operations.survivable_losses(three) == 1
    lost = [*three, voter("60000"), voter("20", "learner")]
    assert operations.survivable_losses(lost) == 0


def test_audit_reads_all_pages_and_finds_a_changed_row(operator, control):
    operator("apply", "FILE")
    for name in ("s1", "s2", "s3"):
        operator("drain", name)
    code, out, _ = operator("audit", "--verify", "--after", "3")
    assert code == 0 and "4 rows verified" in out
    assert "s3" in out and "first callers" not in out
    rows = control.state.audit
    rows[2] = dataclasses.replace(rows[2], author="lee")
    code, _, err = operator("audit", "--verify")
    assert code == outcome_lib.AUDIT_INVALID and "revision 3" in err
    assert operator("audit")[0] == 0
    rows[2] = dataclasses.replace(rows[2], author="kim")
    control.chain_valid = False
    assert operator("audit", "--verify")[0] == outcome_lib.AUDIT_INVALID


def test_merge_adds_requests_and_keeps_the_newest_row():
    rows = [
        {"name": "s", "started_ms": 2, "state": "draining", "in_flight": 1},
        {"name": "s", "started_ms": 1, "state": "serving", "latency_ms": 4.0},
    ]
    expected = {
        "name": "s",
        "started_ms": 2,
        "state": "draining",
        "in_flight": 1,
        "latency_ms": 4.0,
    }
    pages = [{"backend_servers": [row]} for row in rows]
    assert entry_status.merge_backend_servers(pages) == [expected]
    assert entry_status.merge_backend_servers(pages[::-1]) == [expected]


def test_a_drain_in_a_release_note_is_shown():
    # The backend server itself still announces the state `serving`.
    row = {"name": "s", "state": "serving", "drained": True}
    assert "serving, drained" in render.backend_servers([row])


def test_terminal_control_characters_are_not_printed():
    assert "\x1b" not in render.table(["name"], [["\x1b[2J"]])


@pytest.mark.processes
@pytest.mark.parametrize(
    "body, is_page", [(b'{"a": 1}', 1), (b"[]", 0), (b"", 0)]
)
def test_fetch_returns_a_page_or_an_error(body, is_page):
    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            self.send_response(200)
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_):
            pass

    with http.server.HTTPServer(("127.0.0.1", 0), Handler) as server:
        thread = threading.Thread(target=server.handle_request)
        thread.start()
        address = f"127.0.0.1:{server.server_port}"
        page = entry_status.fetch(address, 2000)
        thread.join()
    assert isinstance(page, result.Success) == bool(is_page)
    # The server is closed by now, so the connection is refused.
    assert isinstance(entry_status.fetch(address, 2000), result.Failure)
