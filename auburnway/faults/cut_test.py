"""Entries cut off from control, and instances that are slow."""

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

CUTS = {
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
    _, answer = fleet_lib.call(entry.address, "POST", "/v1/requests", SEARCH)
    return answer


def _cut_entry(rig, stack, entry, directions=CUTS["two-way"]):
    """Cuts an entry off from control; returns the relays between them.

    The stack ends the cut and gives the entry its settings back.
    """
    # The leader is asked first; a redirection from another instance would
    # name its own address and go round the relay.
    leader = rig.leader().address
    others = [a for a in rig.control_addresses if a != leader]
    relays = [
        stack.enter_context(relay_lib.Relay(address))
        for address in (leader, *others)
    ]
    stack.callback(
        rig.restart_with, entry, control_addresses=rig.control_addresses
    )
    rig.restart_with(entry, control_addresses=[r.address for r in relays])
    rig.in_force(rig.number())
    for relay in relays:
        for direction in directions:
            setattr(relay, direction, True)
    rig.fleet.wait_for(
        lambda: rig.fleet.status(entry)["lease_left_ms"] < 0,
        "end of the lease",
    )
    return relays


@pytest.mark.parametrize("cut", CUTS)
def test_entry_cut_off_from_control_serves_nothing_old(rig, cut):
    # Guards against an entry that goes on with an old note when only its
    # way to or from control is lost; its peers still reach it. With lost
    # replies, control hears from an entry that never gets its lease.
    entry = rig.fleet.entries[3]
    with contextlib.ExitStack() as stack:
        relays = _cut_entry(rig, stack, entry, CUTS[cut])
        start = rig.number()
        told, codes = [], []
        for number in range(start + 1, start + 4):
            rig.apply_until_accepted(
                rig_lib.small_note(number, f"cut-{number}")
            )
            rig.everywhere(number)
            answer = _search(entry)
            told.append((number, answer.get("configuration_number")))
            codes.append(answer.get("error", {}).get("code"))
            booking = bookings.Booking(f"{time.time_ns() // 10**6}-c{number}")
            bookings.send(booking, entry.address, 800.0)
            codes.append((booking.last, booking.codes))
            ran = [r for r in rig.runs() if r["key"] == booking.key]
            assert booking.last == "done" or not ran
        print(cut, told, codes)
        old = [t for t in told if t[1] is not None and t[1] < t[0]]
        assert not old
        for relay in relays:
            relay.drops_requests = relay.drops_replies = False
        rig.in_force(start + 3)


SLOW = {
    "leader": lambda rig: rig.leader(),
    "entry": lambda rig: rig.fleet.entries[1],
    "server": lambda rig: rig.application("ledger")[1],
}


@pytest.mark.parametrize("victim", SLOW)
def test_slow_instance_breaks_no_promise(rig, victim):
    # Guards against rules that hold for a dead instance but not for one
    # that answers now and then.
    stopped = threading.Event()
    thread = threading.Thread(
        target=chaos.slow_down, args=(rig, SLOW[victim](rig), stopped)
    )
    thread.start()
    try:
        found = bookings.settle_many(
            [m.address for m in rig.fleet.entries], 120, deadline_ms=1000.0
        )
        number = rig.number() + 1
        note = rig_lib.small_note(number, f"slow-{number}")
        accept_ms = rig.apply_until_accepted(note)
        spread_ms = rig.everywhere(number)
    finally:
        stopped.set()
        thread.join()
    counts = bookings.compare(found, rig.runs())
    print(f"{victim}: accepted {accept_ms:.0f}, everywhere {spread_ms:.0f} ms")
    print(counts)
    assert soak.broken(counts) == 0, counts
    assert counts["done"] > 0


def test_lent_lease_ends_before_a_note_is_in_force_everywhere(rig):
    # Guards against an entry that is cut off from control and serves the old
    # note under a peer's lease after control said that the new one is in
    # force everywhere. It is frozen, so that the peers' datagrams come late.
    entry = rig.fleet.entries[3]
    host, port = entry.address.split(":")
    with contextlib.ExitStack() as stack:
        relays = _cut_entry(rig, stack, entry)
        told = []
        for number in range(rig.number() + 1, rig.number() + 6):
            rig.fleet.wait_for(
                lambda: rig.fleet.status(entry)["leased"], "lent lease"
            )
            connections = [
                http.client.HTTPConnection(host, int(port), timeout=5.0)
                for _ in range(4)
            ]
            for connection in connections:
                stack.callback(connection.close)
                connection.request("GET", "/v1/addresses")
                connection.getresponse().read()

            def meanwhile(connections=connections, number=number):
                for connection in connections:
                    connection.request(
                        "POST", "/v1/requests", json.dumps(SEARCH), JSON
                    )
                note = rig_lib.small_note(number, f"lent-{number}")
                rig.apply_until_accepted(note)
                rig.everywhere(number)

            chaos.freeze(rig, entry, meanwhile)
            for connection in connections:
                answer = json.loads(connection.getresponse().read())
                told.append((number, answer.get("configuration_number")))
        for relay in relays:
            relay.drops_requests = relay.drops_replies = False
    print(told)
    old = [t for t in told if t[1] is not None and t[1] < t[0]]
    assert not old
