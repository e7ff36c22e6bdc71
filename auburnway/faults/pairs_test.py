"""Two faults at once, under searches and non-repeatable requests."""

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
# Victims by name; the leader is found when the fault happens.
VICTIMS = {
    "entry": lambda rig: rig.fleet.entries[0],
    "entry 2": lambda rig: rig.fleet.entries[1],
    "leader": lambda rig: rig.leader(),
    "server": lambda rig: rig.application("ledger")[0],
    "server 2": lambda rig: rig.application("ledger")[1],
}
PAIRS = (
    (("entry", KILL), ("leader", KILL)),
    (("entry", FREEZE), ("leader", FREEZE)),
    (("entry", KILL), ("server", FREEZE)),
    (("leader", KILL), ("server", KILL)),
    (("entry", KILL), ("entry 2", FREEZE)),
    (("server", FREEZE), ("server 2", KILL)),
)


@pytest.mark.parametrize(
    "pair", PAIRS, ids=lambda p: "-".join(f"{s.name} {v}" for v, s in p)
)
def test_two_faults_at_once_break_no_promise(rig, pair):
    # Guards against repairs that hold only when nothing else is wrong.
    members = [(VICTIMS[name](rig), number) for name, number in pair]
    begun = threading.Event()

    def strike():
        begun.wait()
        for member, number in members:
            rig.fleet.signal(member, number)
        # Past the lease and the election.
        healed.wait(2.5)
        for member, number in members:
            if number is KILL:
                member.process.wait()
                rig.restart(member)
            else:
                rig.fleet.signal(member, signal.SIGCONT)

    healed = threading.Event()
    thread = threading.Thread(target=strike)
    thread.start()
    try:
        found = bookings.settle_many(
            [m.address for m in rig.fleet.entries],
            120,
            deadline_ms=1000.0,
            on_first=begun.set,
        )
    finally:
        begun.set()
        healed.set()
        thread.join()
    counts = bookings.compare(found, rig.runs())
    print(counts)
    assert soak.broken(counts) == 0, counts
    assert counts["done"] > 0
    number = rig.number() + 1
    rig.apply_until_accepted(rig_lib.small_note(number, f"pair-{number}"))
    rig.in_force(number)


def test_searches_stay_true_under_kills_and_freezes(rig):
    # Guards against answers that are mixed, given to another request, or
    # that claim more coverage than they have, while replicas come and go.
    faults = chaos.Chaos(rig, 4, application="finder")
    thread = threading.Thread(target=faults.run)
    with rig.load(14_000.0, bookings=False) as report:
        thread.start()
    faults.stop()
    thread.join()
    print(faults.done, report["ranks"]["urgent"]["outcomes"])
    assert report["truth"]["checked"] > 0
    assert report_lib.fault_count(report) == 0, report["truth"]


def test_entry_stops_as_planned_while_the_leader_is_lost(rig):
    # Guards against a stop that cuts requests off, or never ends, when its
    # claims cannot be settled at once.
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
    # Guards against a query that nobody sent before and that first asks the
    # shard without a replica.
    lost, entries = rig.application("finder")[:3], rig.fleet.entries
    for member in lost:
        rig.fleet.kill(member)
    told = []
    for i in range(40):
        body = {
            "caller": "desk",
            "kind": "search",
            "deadline_ms": 2000.0,
            "query": {"weave": "twill", "number": str(i)},
        }
        _, answer = fleet_lib.call(
            entries[i % len(entries)].address, "POST", "/v1/requests", body
        )
        told.append(answer)
    refused = [answer for answer in told if answer["outcome"] != "done"]
    assert not refused, refused[:2]
    missing = {tuple(a["coverage"]["missing_shards"]) for a in told}
    assert missing == {(0,)}
