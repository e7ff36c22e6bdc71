"""Drain of a backend server, with one instance lost just before."""

import time

import pytest

from auburnway.faults import rig as rig_lib

pytestmark = pytest.mark.processes

# Promise P6: no new work 2 s after the drain is known.
TARGET_S = 2.0
LOOK_S = 2.0


def _server(rig):
    return rig.application("finder")[0]


def _received(rig):
    return rig.record(_server(rig))["received"]


VICTIMS = {
    "none": lambda rig: None,
    # Announcements of the server began at this entry.
    "entry": lambda rig: rig.announced_to(_server(rig)),
    "control": lambda rig: rig.leader(),
}


def _check(rig, drain):
    """Counts work that arrives later than the target after a drain."""
    with rig.load(9000.0, bookings=False):
        rig.fleet.wait_for(lambda: _received(rig) > 5, "work at the server")
        drain()
        time.sleep(TARGET_S)
        before = _received(rig)
        time.sleep(LOOK_S)
        after = _received(rig)
    print(f"received {before} at {TARGET_S} s, {after} at the end")
    assert before == after


@pytest.mark.parametrize("victim", VICTIMS)
def test_server_that_announces_its_drain_gets_no_work(rig, victim):
    # Guards against a drain that only the entries hear that the server
    # announces to. The stand-in stays up while it drains, so that requests
    # sent to it are counted.
    server = _server(rig)
    rig.restart_with(server, drain_min_ms=9000.0)
    rig.in_force(1)

    def drain():
        lost = VICTIMS[victim](rig)
        if lost is not None:
            rig.fleet.kill(lost)
        rig.act(server, "drain")

    try:
        _check(rig, drain)
    finally:
        rig.restart_with(server, drain_min_ms=500.0)


@pytest.mark.parametrize("victim", VICTIMS)
def test_server_drained_by_the_operator_gets_no_work(rig, victim):
    # Guards against an entry that does not take up the drain's note. The
    # server itself would go on serving.
    server, number = _server(rig), rig.number()

    def drain():
        lost = VICTIMS[victim](rig)
        if lost is not None:
            rig.fleet.kill(lost)
        note = rig_lib.note(number + 1, "add", "drain", server.name)
        taken_ms = rig.apply_until_accepted(note)
        print(f"accepted after {taken_ms:.0f} ms with {victim} lost")

    try:
        _check(rig, drain)
    finally:
        rig.repair()
        if rig.number() > number:
            rig.apply_until_accepted(
                rig_lib.note(number + 2, "withdraw", "drain", server.name)
            )
