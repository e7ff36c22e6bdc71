"""Concurrent faults under searches and non-repeatable requests."""

import signal
import threading

import pytest

from auburnway.demo import fleet as fleet_lib
from auburnway.faults import bookings
from auburnway.faults import chaos
from auburnway.faults import rig as rig_lib
from auburnway.faults import soak
from auburnway.load import report as report_lib

pytestmark = pytest.mark.processes

KILL, FREEZE = signal.SIGKILL, signal.SIGSTOP
# Victims by name; the leader is determined when the test starts.
VICTIMS = {
    "entry": lambda rig: rig.fleet.entries[0],
    "entry 2": lambda rig: rig.fleet.entries[1],
    "leader": lambda rig: rig.leader(),
    "server": lambda rig: rig.servers_of("ledger")[0],
    "server 2": lambda rig: rig.servers_of("ledger")[1],
}
FAULT_PAIRS = (
    (("entry", KILL), ("leader", KILL)),
    (("entry", FREEZE), ("leader", FREEZE)),
    (("entry", KILL), ("server", FREEZE)),
    (("leader", KILL), ("server", KILL)),
    (("entry", KILL), ("entry 2", FREEZE)),
    (("server", FREEZE), ("server 2", KILL)),
)


@pytest.mark.parametrize(
    "fault_pair",
    FAULT_PAIRS,
    ids=lambda p: "-".join(f"{s.name} {v}" for v, s in p),
)
def test_two_faults_at_once_break_no_promise(rig, fault_pair):
    # Guards against a recovery that works only if there is no other fault.
    victims = [
        (VICTIMS[name](rig), fault_signal) for name, fault_signal in fault_pair
    ]
    faults_due = threading.Event()

    def inject_faults():
        faults_due.wait()
        for member, fault_signal in victims:
            rig.fleet.send_signal(member, fault_signal)
        # Longer than a lease and an election.
        load_ended.wait(2.5)
        for member, fault_signal in victims:
            if fault_signal is KILL:
                member.process.wait()
                rig.start_if_ended(member)
            else:
                rig.fleet.send_signal(member, signal.SIGCONT)

    load_ended = threading.Event()
    thread = threading.Thread(target=inject_faults)
    thread.start()
    try:
        sent_bookings = bookings.resend_many_until_final(
            [m.address for m in rig.fleet.entries],
            120,
            deadline_ms=1000.0,
            on_load_started=faults_due.set,
        )
    finally:
        faults_due.set()
        load_ended.set()
        thread.join()
    counts = bookings.compare_with_runs(sent_bookings, rig.runs())
    print(counts)
    assert soak.count_violations(counts) == 0, counts
    assert counts["done"] > 0
    number = rig.newest_note_number() + 1
    rig.apply_until_accepted(rig_lib.caller_note(number, f"pair-{number}"))
    rig.wait_until_in_force(number)


def test_searches_stay_true_under_kills_and_freezes(rig):
    # Guards against answers that mix snapshots, belong to another request, or
    # report more coverage than they have, while replicas stop and restart.
    injector = chaos.FaultInjector(rig, 4, application="finder")
    thread = threading.Thread(target=injector.run)
    with rig.load(14_000.0, bookings=False) as report:
        thread.start()
    injector.stop()
    thread.join()
    print(injector.injected_faults, report["ranks"]["urgent"]["outcomes"])
    assert report["truth"]["checked"] > 0
    assert report_lib.fault_count(report) == 0, report["truth"]


def test_entry_stops_as_planned_while_the_leader_is_lost(rig):
    # Guards against a stop that cuts requests off, or never ends, if the
    # claims of the entry cannot be settled immediately.
    entry = rig.fleet.entries[3]
    with rig.load(9000.0) as report:
        rig.fleet.kill(rig.leader())
        assert rig.fleet.stop(entry) == 0
    failures = report["attempt_failures"]
    print(failures, report["ranks"]["urgent"]["outcomes"])
    assert not any(
        failures.get(k) for k in ("refused", "cut_off", "no_answer")
    ), failures
    assert report_lib.fault_count(report) == 0, report["truth"]


def test_lost_service_costs_coverage_not_the_answer(rig):
    # Guards against an unseen query that fails because its first sub-request
    # is for the shard without a replica.
    killed_servers, entries = rig.servers_of("finder")[:3], rig.fleet.entries
    for member in killed_servers:
        rig.fleet.kill(member)
    answers = []
    for i in range(40):
        body = {
            "caller": "desk",
            "kind": "search",
            "deadline_ms": 2000.0,
            "query": {"weave": "twill", "number": str(i)},
        }
        _, answer = fleet_lib.call_http(
            entries[i % len(entries)].address, "POST", "/v1/requests", body
        )
        answers.append(answer)
    refused = [answer for answer in answers if answer["outcome"] != "done"]
    assert not refused, refused[:2]
    missing = {tuple(a["coverage"]["missing_shards"]) for a in answers}
    assert missing == {(0,)}
