"""Faults of the control processes."""

from concurrent import futures
import signal
import time

import pytest
from returns import pipeline

from auburnway.demo import fleet as fleet_lib
from auburnway.faults import bookings
from auburnway.faults import chaos
from auburnway.faults import rig as rig_lib
from auburnway.rpc import channels
from auburnway.rpc import control_pb2 as pb
from auburnway.rpc import control_pb2_grpc as pb_grpc

pytestmark = pytest.mark.processes

# Targets of section 1.7 of the design are measured and printed. The bounds
# asserted are wider, because the tests share the machine with others.
ACCEPT_BOUND_MS = 6000.0  # Target 3,000 ms after the loss of a leader.
READY_BOUND_MS = 6000.0  # Target 2,000 ms after 1,000 changes.
# An entry may serve without a lease for as long as statements of its peers
# count.
STATEMENT_MS = 1000.0


def _next_note(rig, name):
    """Has one more note accepted; returns its number and the time taken."""
    number = rig.number() + 1
    note = rig_lib.small_note(number, f"{name}-{number}")
    return number, rig.apply_until_accepted(note)


def test_notes_are_accepted_after_the_leader_is_killed(rig):
    # Guards against a group that does not elect, or loses accepted notes.
    number = rig.number()
    note = rig_lib.small_note(number + 1, f"killed-{number}")
    rig.fleet.kill(rig.leader())
    taken_ms = rig.apply_until_accepted(note)
    print(f"accepted {taken_ms:.0f} ms after the kill; target 3000 ms")
    assert rig.number() == number + 1
    assert taken_ms <= ACCEPT_BOUND_MS


def test_frozen_leader_accepts_and_hands_out_nothing_old(rig):
    # Guards against a leader that trusts its role on waking. The calls are
    # made without the client's search for the leader, so that each answer of
    # the old leader shows.
    old, start = rig.leader(), rig.number()
    stale = rig_lib.small_note(start + 1, f"stale-{start}")
    renew = pb.RenewRequest(entry_name="probe", entry_incarnation="p/1")
    calls, replies = [], []
    with channels.connect(old.address) as channel:
        stub = pb_grpc.ControlStub(channel)

        def ask(method, request):
            call = getattr(stub, method).future(
                request,
                timeout=5.0,
                metadata=channels.metadata(fleet_lib.TOKEN),
            )
            calls.append((method, call))

        def meanwhile():
            taken_ms = rig.apply_until_accepted(
                rig_lib.small_note(start + 1, f"frozen-{start}")
            )
            print(f"accepted {taken_ms:.0f} ms after the freeze")
            assert taken_ms <= ACCEPT_BOUND_MS
            _next_note(rig, "frozen")
            # These wait in the frozen process's sockets when it wakes.
            for _ in range(3):
                ask("Apply", pb.NoteRequest(text=stale, author="x"))
                ask("Read", pb.ReadRequest())
                ask("Renew", renew)
            time.sleep(0.3)

        ask("Read", pb.ReadRequest())
        calls.pop()[1].result()
        chaos.freeze(rig, old, meanwhile)
        for _ in range(20):
            ask("Read", pb.ReadRequest())
            time.sleep(0.05)
        for method, call in calls:
            if call.exception() is None:
                replies.append((method, call.result()))
    newest = rig.number()
    assert newest == start + 2
    print(len(calls), "calls,", len(replies), "answered")
    assert replies
    for method, reply in replies:
        if method == "Apply":
            assert reply.errors, reply
        else:
            assert reply.error.code or reply.number == newest, (method, reply)


@pytest.mark.parametrize("fault", ["freeze", "kill"])
def test_entry_restarts_with_the_newest_number(rig, fault):
    # Guards against an entry that starts with the configuration of a control
    # process that is behind.
    lost, entry = rig.leader(), rig.fleet.entries[1]
    rig.fleet.kill(entry)
    stop = signal.SIGSTOP if fault == "freeze" else signal.SIGKILL
    rig.fleet.signal(lost, stop)
    try:
        number, _ = _next_note(rig, "restart")
        rig.fleet.start(entry)

        def leased():
            status = rig.fleet.status(entry)
            return status if status and status["leased"] else None

        status = rig.fleet.wait_for(leased, "lease of the entry")
        assert status["configuration_number"] >= number
    finally:
        rig.fleet.signal(lost, signal.SIGCONT)


def _search(entry):
    body = {
        "caller": "desk",
        "kind": "search",
        "deadline_ms": 1000.0,
        "query": {"weave": "twill"},
    }
    _, answer = fleet_lib.call(entry.address, "POST", "/v1/requests", body)
    return answer


def test_reads_go_on_without_control_and_bookings_are_refused(rig):
    # Guards against a lost quorum that stops all service, and against
    # dispatch without a claim.
    entries = rig.fleet.entries
    for member in rig.fleet.control[:2]:
        rig.fleet.kill(member)

    def without_lease():
        found = [rig.fleet.status(entry) for entry in entries]
        return all(s and s["leased"] and s["lease_left_ms"] < 0 for s in found)

    rig.fleet.wait_for(without_lease, "service without leases")
    told = [_search(entry) for _ in range(25) for entry in entries]
    refused = [a for a in told if a["outcome"] != "done"]
    keys = []
    for i in range(8):
        key = bookings.Booking(f"{time.time_ns() // 1_000_000}-q{i}")
        bookings.send(key, entries[i % len(entries)].address, 800.0)
        keys.append(key)
    ran = {run["key"] for run in rig.runs()}
    print([key.codes for key in keys], len(told), "searches")
    assert not refused, refused[:2]
    assert all(key.last == "not_run" for key in keys)
    assert not ran.intersection(key.key for key in keys)
    for member in rig.fleet.control[:2]:
        rig.restart(member)
    number, taken_ms = _next_note(rig, "quorum")
    print(f"note accepted {taken_ms:.0f} ms after the quorum was back")
    rig.in_force(number)


def test_entry_stops_as_planned_without_control(rig):
    # Guards against a planned stop that waits for control for good.
    entry = rig.fleet.entries[2]
    for member in rig.fleet.control[1:]:
        rig.fleet.kill(member)
    for i in range(6):
        booking = bookings.Booking(f"{time.time_ns() // 1_000_000}-s{i}")
        bookings.send(booking, entry.address, 500.0)
    begin_s = time.monotonic()
    code = rig.fleet.stop(entry)
    print(f"ended with {code} after {time.monotonic() - begin_s:.1f} s")
    assert code == 0


def test_entry_without_control_and_peers_stops_serving(rig):
    # Guards against an old note in force in an entry that is cut off. The
    # verdict is by the entry's own clock.
    entry, *others = rig.fleet.entries
    members = [*others, *rig.fleet.control]
    for member in members:
        rig.fleet.signal(member, signal.SIGSTOP)
    try:
        seen = []

        def fenced():
            status = rig.fleet.status(entry)
            seen.append((status["lease_left_ms"], status["leased"]))
            return not status["leased"]

        rig.fleet.wait_for(fenced, "end of service")
        print(f"last state served: {seen[-2:]}")
        late = [s for s in seen if s[1] and s[0] < -STATEMENT_MS]
        assert not late
        assert _search(entry)["error"]["code"] == "isolated"
    finally:
        for member in members:
            rig.fleet.signal(member, signal.SIGCONT)


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_lost_disk_is_repaired_and_a_second_loss_survived(rig, role):
    # Guards against a voter that forgot its votes, and a repair that is
    # reported before the new voter holds every accepted note.
    leader = rig.leader()
    followers = [m for m in rig.fleet.control if m is not leader]
    lost = leader if role == "leader" else followers[0]
    before = rig.control_status(lost).incarnation
    number, _ = _next_note(rig, "disk")
    rig.lose_disk(lost)
    rig.fleet.start(lost)
    _wait_for_repair(rig, lost, before)
    others = (rig.leader(), *rig.fleet.control)
    second = next(m for m in others if m is not lost)
    before = rig.control_status(second).incarnation
    rig.lose_disk(second)
    after, taken_ms = _next_note(rig, "second")
    print(f"accepted {taken_ms:.0f} ms after the second loss")
    assert after == number + 1
    rig.fleet.start(second)
    _wait_for_repair(rig, second, before)
    assert rig.number() == after


def _wait_for_repair(rig, member, old_incarnation):
    """Waits until the group has three voters, one a new incarnation."""

    def repaired():
        status = rig.control_status(rig.leader())
        if status is None:
            return False
        voters = {
            v.name: v.incarnation for v in status.voters if v.role == "voter"
        }
        new = voters.get(member.name, old_incarnation) != old_incarnation
        return new and len(status.voters) == len(voters) == 3

    rig.fleet.wait_for(repaired, "repair of the voter", rig_lib.LIMIT_MS)


def test_control_process_is_ready_soon_after_a_thousand_changes(rig):
    # Guards against a restart that replays the whole history.
    leader = rig.leader()
    with rig.client() as client:
        _claim_many(client, 1000)
    victim = next(m for m in rig.fleet.control if m is not leader)
    target = rig.control_status(leader).commit_index
    rig.fleet.kill(victim)
    begin_s = time.monotonic()
    rig.fleet.start(victim)

    def ready():
        status = rig.control_status(victim)
        return status and status.applied_index >= target

    rig.fleet.wait_for(ready, "control process caught up")
    taken_ms = (time.monotonic() - begin_s) * 1000.0
    print(f"ready {taken_ms:.0f} ms after the start; target 2000 ms")
    assert taken_ms <= READY_BOUND_MS


def _call(client, method, request):
    """Repeats a call until it is answered.

    A leader that gets no processor time for an election timeout steps down,
    and its calls end without an answer.
    """
    for _ in range(20):
        outcome = client.call(method, request, 10_000.0)
        if pipeline.is_successful(outcome):
            return outcome.unwrap()
    return pytest.fail(f"{method} was not answered: {outcome}")


def _claim_many(client, count):
    """Claims and settles keys; each is at least two log entries."""
    reply = client.call("InForce", pb.ReadRequest(), 2000.0).unwrap()
    owner = reply.entries[0]

    def claim(i):
        request = pb.ClaimRequest(
            caller="desk",
            key=f"{time.time_ns() // 1_000_000}-claim{i}",
            digest="d",
            entry_name=owner.name,
            entry_incarnation=owner.incarnation,
        )
        claim = _call(client, "Claim", request)
        # An attempt without an answer may have been granted.
        assert claim.state in ("granted", "open"), claim
        settled = pb.SettleRequest(
            claim_id=claim.claim_id,
            attempt=claim.attempt,
            entry_incarnation=owner.incarnation,
            outcome="not_run",
        )
        assert not _call(client, "Settle", settled).error.code

    with futures.ThreadPoolExecutor(16) as pool:
        list(pool.map(claim, range(count)))
