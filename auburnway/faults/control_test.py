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

# The tests measure and print the times that section 1.7 of the design sets
# targets for. The asserted bounds are wider than these targets, because other
# processes use the machine at the same time.
ACCEPT_BOUND_MS = 6000.0  # Target 3,000 ms after the loss of a leader.
READY_BOUND_MS = 6000.0  # Target 2,000 ms after 1,000 changes.
# How long a statement of a peer stays valid, and thus how long an entry may
# serve without a lease of its own.
PEER_STATEMENT_VALID_MS = 1000.0


def _apply_next_note(rig, name):
    """Submits a note until accepted; returns its number and the time in ms."""
    number = rig.newest_note_number() + 1
    note = rig_lib.caller_note(number, f"{name}-{number}")
    return number, rig.apply_until_accepted(note)


def test_notes_are_accepted_after_the_leader_is_killed(rig):
    # Guards against a group that elects no new leader, or loses accepted notes.
    number = rig.newest_note_number()
    note = rig_lib.caller_note(number + 1, f"killed-{number}")
    rig.fleet.kill(rig.leader())
    elapsed_ms = rig.apply_until_accepted(note)
    print(f"accepted {elapsed_ms:.0f} ms after the kill; target 3000 ms")
    assert rig.newest_note_number() == number + 1
    assert elapsed_ms <= ACCEPT_BOUND_MS


def test_frozen_leader_accepts_and_hands_out_nothing_old(rig):
    # Guards against a leader that still acts as leader after it was frozen.
    # The calls bypass the client's search for the leader, so that each answer
    # of the old leader is checked.
    old_leader, start = rig.leader(), rig.newest_note_number()
    stale_note = rig_lib.caller_note(start + 1, f"stale-{start}")
    renew_request = pb.RenewRequest(entry_name="probe", entry_incarnation="p/1")
    calls, replies = [], []
    with channels.connect(old_leader.address) as channel:
        stub = pb_grpc.ControlStub(channel)

        def start_call(method, request):
            call = getattr(stub, method).future(
                request,
                timeout=5.0,
                metadata=channels.metadata(fleet_lib.TOKEN),
            )
            calls.append((method, call))

        def while_frozen():
            elapsed_ms = rig.apply_until_accepted(
                rig_lib.caller_note(start + 1, f"frozen-{start}")
            )
            print(f"accepted {elapsed_ms:.0f} ms after the freeze")
            assert elapsed_ms <= ACCEPT_BOUND_MS
            _apply_next_note(rig, "frozen")
            # These calls are queued in the sockets of the frozen process and
            # are served when it resumes.
            for _ in range(3):
                start_call("Apply", pb.NoteRequest(text=stale_note, author="x"))
                start_call("Read", pb.ReadRequest())
                start_call("Renew", renew_request)
            time.sleep(0.3)

        start_call("Read", pb.ReadRequest())
        calls.pop()[1].result()
        chaos.freeze(rig, old_leader, while_frozen)
        for _ in range(20):
            start_call("Read", pb.ReadRequest())
            time.sleep(0.05)
        for method, call in calls:
            if call.exception() is None:
                replies.append((method, call.result()))
    newest = rig.newest_note_number()
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
    # Guards against an entry that starts with the outdated configuration of a
    # control process that lags behind.
    lost_member, entry = rig.leader(), rig.fleet.entries[1]
    rig.fleet.kill(entry)
    stop_signal = signal.SIGSTOP if fault == "freeze" else signal.SIGKILL
    rig.fleet.send_signal(lost_member, stop_signal)
    try:
        number, _ = _apply_next_note(rig, "restart")
        rig.fleet.start(entry)

        def read_leased_status():
            status = rig.fleet.status(entry)
            return status if status and status["leased"] else None

        status = rig.fleet.wait_for(read_leased_status, "lease of the entry")
        assert status["configuration_number"] >= number
    finally:
        rig.fleet.send_signal(lost_member, signal.SIGCONT)


def _search(entry):
    body = {
        "caller": "desk",
        "kind": "search",
        "deadline_ms": 1000.0,
        "query": {"weave": "twill"},
    }
    _, answer = fleet_lib.call_http(entry.address, "POST", "/v1/requests", body)
    return answer


def test_reads_go_on_without_control_and_bookings_are_refused(rig):
    # Guards against a lost quorum that stops repeatable requests too, and
    # against the dispatch of a non-repeatable request without a claim.
    entries = rig.fleet.entries
    for member in rig.fleet.control[:2]:
        rig.fleet.kill(member)

    def serves_without_lease():
        statuses = [rig.fleet.status(entry) for entry in entries]
        return all(
            s and s["leased"] and s["lease_left_ms"] < 0 for s in statuses
        )

    rig.fleet.wait_for(serves_without_lease, "service without leases")
    answers = [_search(entry) for _ in range(25) for entry in entries]
    refused = [a for a in answers if a["outcome"] != "done"]
    unclaimed = []
    for i in range(8):
        booking = bookings.Booking(f"{time.time_ns() // 1_000_000}-q{i}")
        bookings.send_attempt(booking, entries[i % len(entries)].address, 800.0)
        unclaimed.append(booking)
    run_keys = {run["key"] for run in rig.runs()}
    print([b.codes for b in unclaimed], len(answers), "searches")
    assert not refused, refused[:2]
    assert all(b.last_outcome == "not_run" for b in unclaimed)
    assert not run_keys.intersection(b.key for b in unclaimed)
    for member in rig.fleet.control[:2]:
        rig.start_if_ended(member)
    number, elapsed_ms = _apply_next_note(rig, "quorum")
    print(f"note accepted {elapsed_ms:.0f} ms after the quorum was back")
    rig.wait_until_in_force(number)


def test_entry_stops_as_planned_without_control(rig):
    # Guards against a planned stop that waits for control forever.
    entry = rig.fleet.entries[2]
    for member in rig.fleet.control[1:]:
        rig.fleet.kill(member)
    for i in range(6):
        booking = bookings.Booking(f"{time.time_ns() // 1_000_000}-s{i}")
        bookings.send_attempt(booking, entry.address, 500.0)
    begin_s = time.monotonic()
    code = rig.fleet.stop(entry)
    print(f"ended with {code} after {time.monotonic() - begin_s:.1f} s")
    assert code == 0


def test_entry_without_control_and_peers_stops_serving(rig):
    # Guards against an isolated entry that still serves an old note. The
    # times compared are the entry's own, from its status.
    entry, *others = rig.fleet.entries
    members = [*others, *rig.fleet.control]
    # Without a lease of its own the entry serves by the others' statements, and
    # the time since the end of its lease says nothing about this test.
    rig.wait_until_leased(entry)
    for member in members:
        rig.fleet.send_signal(member, signal.SIGSTOP)
    try:
        lease_states = []

        def has_stopped_serving():
            status = rig.fleet.status(entry)
            lease_states.append((status["lease_left_ms"], status["leased"]))
            return not status["leased"]

        rig.fleet.wait_for(has_stopped_serving, "end of service")
        print(f"last state served: {lease_states[-2:]}")
        too_late = [
            s for s in lease_states if s[1] and s[0] < -PEER_STATEMENT_VALID_MS
        ]
        assert not too_late
        assert _search(entry)["error"]["code"] == "isolated"
    finally:
        for member in members:
            rig.fleet.send_signal(member, signal.SIGCONT)


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_lost_disk_is_repaired_and_a_second_loss_survived(rig, role):
    # Guards against a voter that votes again after it lost its stored votes,
    # and a repair that is reported before the new voter holds every accepted
    # note.
    leader = rig.leader()
    followers = [m for m in rig.fleet.control if m is not leader]
    lost_member = leader if role == "leader" else followers[0]
    old_incarnation = rig.control_status(lost_member).incarnation
    number, _ = _apply_next_note(rig, "disk")
    rig.lose_disk(lost_member)
    rig.fleet.start(lost_member)
    _wait_for_repair(rig, lost_member, old_incarnation)
    others = (rig.leader(), *rig.fleet.control)
    second_lost = next(m for m in others if m is not lost_member)
    old_incarnation = rig.control_status(second_lost).incarnation
    rig.lose_disk(second_lost)
    newest, elapsed_ms = _apply_next_note(rig, "second")
    print(f"accepted {elapsed_ms:.0f} ms after the second loss")
    assert newest == number + 1
    rig.fleet.start(second_lost)
    _wait_for_repair(rig, second_lost, old_incarnation)
    assert rig.newest_note_number() == newest


def _wait_for_repair(rig, member, old_incarnation):
    """Waits until the group has three voters and `member` is a new one."""

    def is_repaired():
        status = rig.control_status(rig.leader())
        if status is None:
            return False
        voters = {
            v.name: v.incarnation for v in status.voters if v.role == "voter"
        }
        is_replaced = (
            voters.get(member.name, old_incarnation) != old_incarnation
        )
        return is_replaced and len(status.voters) == len(voters) == 3

    rig.fleet.wait_for(
        is_repaired, "repair of the voter", rig_lib.WAIT_TIMEOUT_MS
    )


def test_control_process_is_ready_soon_after_a_thousand_changes(rig):
    # Guards against a restart that replays the whole log.
    leader = rig.leader()
    with rig.client() as client:
        _claim_and_settle_many(client, 1000)
    victim = next(m for m in rig.fleet.control if m is not leader)
    target = rig.control_status(leader).commit_index
    rig.fleet.kill(victim)
    begin_s = time.monotonic()
    rig.fleet.start(victim)

    def has_caught_up():
        status = rig.control_status(victim)
        return status and status.applied_index >= target

    rig.fleet.wait_for(has_caught_up, "control process caught up")
    elapsed_ms = (time.monotonic() - begin_s) * 1000.0
    print(f"ready {elapsed_ms:.0f} ms after the start; target 2000 ms")
    assert elapsed_ms <= READY_BOUND_MS


def _call_until_answered(client, method, request):
    """Repeats a call until the control group replies.

    A leader that gets no processor time for an election timeout steps down,
    and pending calls fail without a reply.
    """
    for _ in range(20):
        outcome = client.call(method, request, 10_000.0)
        if pipeline.is_successful(outcome):
            return outcome.unwrap()
    return pytest.fail(f"{method} was not answered: {outcome}")


def _claim_and_settle_many(client, count):
    """Claims and settles keys; each key adds at least two log entries."""
    reply = client.call("InForce", pb.ReadRequest(), 2000.0).unwrap()
    owner = reply.entries[0]

    def claim_and_settle(i):
        request = pb.ClaimRequest(
            caller="desk",
            key=f"{time.time_ns() // 1_000_000}-claim{i}",
            digest="d",
            entry_name=owner.name,
            entry_incarnation=owner.incarnation,
        )
        claim_reply = _call_until_answered(client, "Claim", request)
        # A repeated call finds the claim open if the control group granted
        # an earlier call whose reply was lost.
        assert claim_reply.state in ("granted", "open"), claim_reply
        settle_request = pb.SettleRequest(
            claim_id=claim_reply.claim_id,
            attempt=claim_reply.attempt,
            entry_incarnation=owner.incarnation,
            outcome="not_run",
        )
        assert not _call_until_answered(
            client, "Settle", settle_request
        ).error.code

    with futures.ThreadPoolExecutor(16) as pool:
        list(pool.map(claim_and_settle, range(count)))
