import copy
import json
import socket
import threading
import time

import pytest

from auburnway.core import clock as clock_lib
from auburnway.kernel import process
from auburnway.load import arrivals
from auburnway.load import report as report_lib
from auburnway.load import runner
from auburnway.load import scenario as scenario_lib
from auburnway.load import truth as truth_lib
from auburnway.net import http_server
from auburnway.standin import catalogue

SHARDS = 3
CLOTH_RECORDS = catalogue.shared_catalogue("cloth", 1, 200)
STREAM = scenario_lib.Stream(
    "museum", "search", "urgent", 200.0, query={"weave": "*"}
)
BOOKING = scenario_lib.Stream(
    "museum", "book", "urgent", 50.0, query={}, repeatable=False, fan_out=False
)
TRUTH = scenario_lib.Truth(
    ("search",), (scenario_lib.Partition(1, SHARDS),), records=200
)


def make_scenario(entries, streams=(STREAM,), **options):
    return scenario_lib.Scenario(
        "test",
        tuple(entries),
        streams,
        500.0,
        truth=(TRUTH,),
        **options,
    )


def correct_answer(number, data):
    """Returns the correct answer to a request."""
    if data["kind"] == "book":
        records = [{"id": f"receipt-{data['query']['marker']}"}]
    else:
        records = CLOTH_RECORDS.matching_records(data["query"], 1)
    total = CLOTH_RECORDS.manifest(1, SHARDS).total_weight
    return {
        "outcome": "done",
        "request_id": f"e1-{number}",
        "caller": data["caller"],
        "kind": data["kind"],
        "rank": "urgent",
        "configuration_number": 1,
        "snapshot": 1,
        "coverage": {
            "covered_weight": total,
            "total_weight": total,
            "share": 1.0,
            "missing_shards": [],
        },
        "records": records,
    }


class FakeEntry:
    """HTTP server on a thread that answers requests like an entry.

    `answer` gets the number and the body of a request and returns the answer,
    or None to close the connection without an answer.
    """

    def __init__(self, answer=correct_answer, addresses=None):
        self._answer = answer
        self._addresses = addresses
        self._count = 0
        self._loop = process.Loop(clock_lib.SystemClock())
        self._server = http_server.HttpServer(
            self._loop.poller, "127.0.0.1:0", self._on_request
        ).register(self._loop.root)
        self._thread = threading.Thread(target=self._loop.run, daemon=True)

    def __enter__(self):
        self._server.open()
        self._loop.stack.callback(self._server.close)
        self.address = self._server.address
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._loop.timers.after(0.0, self._loop.stop)
        self._loop.poller.resume()
        self._thread.join(5)

    def _on_request(self, request):
        if request.path == "/v1/addresses":
            data = {
                "addresses": self._addresses or [self.address],
                "ttl_ms": 100,
            }
        else:
            self._count += 1
            data = self._answer(self._count, json.loads(request.body))
        if data is None:
            self._server.close_connections()
            return
        status = 200 if data.get("outcome", "done") == "done" else 503
        request.reply(status, json.dumps(data).encode())


def test_correct_answers_are_counted_without_fault():
    with FakeEntry() as entry:
        report = runner.Runner(
            make_scenario([entry.address], (STREAM, BOOKING))
        ).run()
    row = report["ranks"]["urgent"]
    assert row["outcomes"] == {"done": report["requests"]}
    assert report["truth"]["checked"] == report["requests"] > 50
    assert report["truth"]["faults"] == {}
    assert report["backend"]["needed"] > report["requests"]
    assert "urgent" in report_lib.as_text(report)
    # The fake entry calls no stand-in, so no run is recorded for a booking.
    assert report_lib.fault_count(report) == report["runs"]["done_without_run"]


def test_rejections_are_counted_by_code():
    def reject(number, data):
        return {
            "outcome": "not_run",
            "request_id": f"e1-{number}",
            "error": {"code": "overloaded"},
        }

    with FakeEntry(reject) as entry:
        report = runner.Runner(make_scenario([entry.address])).run()
    row = report["ranks"]["urgent"]
    assert row["outcomes"] == {"not_run:overloaded": report["requests"]}
    assert row["latency_ms"] == {}


def test_second_address_is_used_after_a_refused_connection():
    # A caller must be served by another entry when its first entry has ended.
    with socket.create_server(("127.0.0.1", 0)) as unused_socket:
        closed_address = f"127.0.0.1:{unused_socket.getsockname()[1]}"
    with FakeEntry() as entry:
        entry._addresses = [closed_address, entry.address]
        report = runner.Runner(
            make_scenario([closed_address, entry.address])
        ).run()
    assert report["ranks"]["urgent"]["outcomes"] == {"done": report["requests"]}
    assert report["attempt_failures"]["refused"] > 0


def test_lost_connection_is_counted_as_cut_off():
    with FakeEntry(lambda *_: None) as entry:
        report = runner.Runner(make_scenario([entry.address])).run()
    assert report["ranks"]["urgent"]["outcomes"] == {
        "cut_off": report["requests"]
    }


def test_latency_counts_from_the_intended_arrival():
    # A tool that waits for answers would send and measure only one request
    # during the stall (coordinated omission).
    def stall_once(number, data):
        if number == 1:
            time.sleep(0.3)
        return correct_answer(number, data)

    with FakeEntry(stall_once) as entry:
        report = runner.Runner(make_scenario([entry.address])).run()
    assert report["ranks"]["urgent"]["latency_ms"]["p50"] > 50.0


def test_arrivals_repeat_with_the_seed():
    first, second = (
        list(arrivals.arrivals(make_scenario([]))) for _ in range(2)
    )
    assert first == second
    assert first == sorted(first, key=lambda arrival: arrival.at_ms)
    other_seed = list(arrivals.arrivals(make_scenario([], seed=2)))
    assert first != other_seed


def _mix_snapshots(body):
    body["records"][0]["snapshot"] = 0


def _change_caller(body):
    body["caller"] = "somebody"


def _remove_record(body):
    del body["records"][0]


def _overstate_coverage(body):
    body["coverage"]["missing_shards"] = [1]


@pytest.mark.parametrize(
    ("falsify", "fault"),
    [
        (_mix_snapshots, "mixed_snapshots"),
        (_change_caller, "other_caller"),
        (_remove_record, "other_records"),
        (_overstate_coverage, "untrue_coverage"),
    ],
)
def test_incorrect_answer_is_detected(falsify, fault):
    # Each kind of incorrect answer must be detected (guarantees P1 to P3).
    query = {"weave": "twill"}
    body = copy.deepcopy(
        correct_answer(
            1, {"kind": "search", "caller": "museum", "query": query}
        )
    )
    falsify(body)
    checker = truth_lib.AnswerChecker((TRUTH,))
    checker.check(arrivals.Arrival(0.0, STREAM, query), "", body)
    assert fault in checker.faults


def test_partial_answer_is_checked_against_its_shards():
    query = {"weave": "twill"}
    body = correct_answer(
        1, {"kind": "search", "caller": "museum", "query": query}
    )
    weights = dict(CLOTH_RECORDS.manifest(1, SHARDS).weights)
    total = sum(weights.values())
    covered = total - weights[1]
    body["coverage"] = {
        "covered_weight": covered,
        "total_weight": total,
        "share": covered / total,
        "missing_shards": [1],
    }
    body["records"] = CLOTH_RECORDS.matching_records(query, 1, SHARDS, (0, 2))
    checker = truth_lib.AnswerChecker((TRUTH,))
    checker.check(arrivals.Arrival(0.0, STREAM, query), "", body)
    assert not checker.faults


def test_recorded_runs_are_compared_with_reported_outcomes():
    # Checks the detection of violations of guarantees P4 and P5.
    record = {
        "runs": [["c1", "k1", "r1"], ["c1", "k1", "r1"], ["c3", "k3", "r3"]],
        "started_ids": ["e-1-7.0.1", "e-1-8.2.4"],
    }
    counts = truth_lib.check_runs(
        {"a": record},
        {"k1": "done", "k2": "done", "k3": "not_run", "k4": "not_run"},
        {"e-1-8", "e-1-9"},
    )
    assert counts == {
        "runs": 3,
        "ran_twice": 1,
        "done_without_run": 1,
        "not_run_but_ran": 2,
    }
