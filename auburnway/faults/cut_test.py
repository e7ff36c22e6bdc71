"""Faults of entries that are cut off from control, and of slow instances."""

import contextlib
import http.client
import json
import threading
import time

import pytest

from auburnway.demo import fleet as fleet_lib
from auburnway.faults import bookings
from auburnway.faults import chaos
from auburnway.faults import relay as relay_lib
from auburnway.faults import rig as rig_lib
from auburnway.faults import soak

pytestmark = pytest.mark.processes

DROPS_BY_CUT = {
    "two-way": ("drops_requests", "drops_replies"),
    "requests lost": ("drops_requests",),
    "replies lost": ("drops_replies",),
}


SEARCH = {
    "caller": "desk",
    "kind": "search",
    "deadline_ms": 1000.0,
    "query": {"weave": "twill"},
}
JSON = {"Content-Type": "application/json"}


def _search(entry):
    _, answer = fleet_lib.call_http(
        entry.address, "POST", "/v1/requests", SEARCH
    )
    return answer


def _cut_entry(rig, stack, entry, directions=DROPS_BY_CUT["two-way"]):
    """Cuts an entry off from control; returns the relays between them.

    When the stack exits, the cut ends and the entry restarts with its original
    settings.
    """
    # The relay of the leader is the first control address, because another
    # instance would redirect the entry to the leader's own address and thus
    # past the relay.
    leader = rig.leader().address
    others = [a for a in rig.control_addresses if a != leader]
    relays = [
        stack.enter_context(relay_lib.Relay(address))
        for address in (leader, *others)
    ]
    stack.callback(
        rig.restart_with_settings,
        entry,
        control_addresses=rig.control_addresses,
    )
    rig.restart_with_settings(
        entry, control_addresses=[r.address for r in relays]
    )
    rig.wait_until_in_force(rig.newest_note_number())
    for relay in relays:
        for direction in directions:
            setattr(relay, direction, True)
    rig.fleet.wait_for(
        lambda: rig.fleet.status(entry)["lease_left_ms"] < 0,
        "end of the lease",
    )
    return relays


@pytest.mark.parametrize("cut", DROPS_BY_CUT)
def test_entry_cut_off_from_control_serves_nothing_old(rig, cut):
    # Guards against an entry that still serves an old note when only its
    # requests to control, or the replies, are lost, while its peers are still
    # reachable. With lost replies, control receives renewals from an entry
    # that never receives its lease.
    entry = rig.fleet.entries[3]
    with contextlib.ExitStack() as stack:
        relays = _cut_entry(rig, stack, entry, DROPS_BY_CUT[cut])
        start = rig.newest_note_number()
        served_numbers, codes = [], []
        for number in range(start + 1, start + 4):
            rig.apply_until_accepted(
                rig_lib.caller_note(number, f"cut-{number}")
            )
            rig.wait_until_in_force_everywhere(number)
            answer = _search(entry)
            served_numbers.append((number, answer.get("configuration_number")))
            codes.append(answer.get("error", {}).get("code"))
            booking = bookings.Booking(f"{time.time_ns() // 10**6}-c{number}")
            bookings.send_attempt(booking, entry.address, 800.0)
            codes.append((booking.last_outcome, booking.codes))
            booking_runs = [r for r in rig.runs() if r["key"] == booking.key]
            assert booking.last_outcome == "done" or not booking_runs
        print(cut, served_numbers, codes)
        stale_answers = [
            t for t in served_numbers if t[1] is not None and t[1] < t[0]
        ]
        assert not stale_answers
        for relay in relays:
            relay.drops_requests = relay.drops_replies = False
        rig.wait_until_in_force(start + 3)


SLOW_MEMBERS = {
    "leader": lambda rig: rig.leader(),
    "entry": lambda rig: rig.fleet.entries[1],
    "server": lambda rig: rig.servers_of("ledger")[1],
}


@pytest.mark.parametrize("victim", SLOW_MEMBERS)
def test_slow_instance_breaks_no_promise(rig, victim):
    # Guards against rules that hold for a dead instance but not for one
    # that replies slowly and irregularly.
    stopped = threading.Event()
    thread = threading.Thread(
        target=chaos.slow_down, args=(rig, SLOW_MEMBERS[victim](rig), stopped)
    )
    thread.start()
    try:
        sent_bookings = bookings.resend_many_until_final(
            [m.address for m in rig.fleet.entries], 120, deadline_ms=1000.0
        )
        number = rig.newest_note_number() + 1
        note = rig_lib.caller_note(number, f"slow-{number}")
        accept_ms = rig.apply_until_accepted(note)
        in_force_ms = rig.wait_until_in_force_everywhere(number)
    finally:
        stopped.set()
        thread.join()
    counts = bookings.compare_with_runs(sent_bookings, rig.runs())
    print(
        f"{victim}: accepted {accept_ms:.0f}, everywhere {in_force_ms:.0f} ms"
    )
    print(counts)
    assert soak.count_violations(counts) == 0, counts
    assert counts["done"] > 0


def test_lent_lease_ends_before_a_note_is_in_force_everywhere(rig):
    # Guards against an entry that is cut off from control and serves the old
    # note under a peer's lease after control reported that the new note is in
    # force everywhere. The entry is frozen, so that it receives the peers'
    # datagrams late.
    entry = rig.fleet.entries[3]
    host, port = entry.address.split(":")
    with contextlib.ExitStack() as stack:
        relays = _cut_entry(rig, stack, entry)
        served_numbers = []
        for number in range(
            rig.newest_note_number() + 1, rig.newest_note_number() + 6
        ):
            rig.fleet.wait_for(
                lambda: rig.fleet.status(entry)["leased"],
                "lent lease",
            )
            connections = [
                http.client.HTTPConnection(host, int(port), timeout=5.0)
                for _ in range(4)
            ]
            for connection in connections:
                stack.callback(connection.close)
                connection.request("GET", "/v1/addresses")
                connection.getresponse().read()

            def while_frozen(connections=connections, number=number):
                for connection in connections:
                    connection.request(
                        "POST", "/v1/requests", json.dumps(SEARCH), JSON
                    )
                note = rig_lib.caller_note(number, f"lent-{number}")
                rig.apply_until_accepted(note)
                rig.wait_until_in_force_everywhere(number)

            chaos.freeze(rig, entry, while_frozen)
            for connection in connections:
                answer = json.loads(connection.getresponse().read())
                served_numbers.append(
                    (number, answer.get("configuration_number"))
                )
        for relay in relays:
            relay.drops_requests = relay.drops_replies = False
    print(served_numbers)
    stale_answers = [
        t for t in served_numbers if t[1] is not None and t[1] < t[0]
    ]
    assert not stale_answers
