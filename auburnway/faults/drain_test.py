"""Drain of a backend server just after another process was killed."""

import time

import pytest

from auburnway.faults import rig as rig_lib

pytestmark = pytest.mark.processes

# Guarantee P6: a server gets no new work later than 2 s after its drain is
# known.
DRAIN_TARGET_S = 2.0
OBSERVATION_S = 2.0


def _drained_server(rig):
    return rig.servers_of("finder")[0]


def _received_count(rig):
    return rig.read_record(_drained_server(rig))["received"]


VICTIMS = {
    "none": lambda rig: None,
    # The entry that the server announces to first.
    "entry": lambda rig: rig.first_announced_entry(_drained_server(rig)),
    "control": lambda rig: rig.leader(),
}


def _check_no_late_work(rig, drain):
    """Checks that no work arrives later than `DRAIN_TARGET_S` after a drain."""
    with rig.load(9000.0, bookings=False):
        rig.fleet.wait_for(
            lambda: _received_count(rig) > 5, "work at the server"
        )
        drain()
        time.sleep(DRAIN_TARGET_S)
        received_by_target = _received_count(rig)
        time.sleep(OBSERVATION_S)
        received_at_end = _received_count(rig)
    print(
        f"received {received_by_target} at {DRAIN_TARGET_S} s, "
        f"{received_at_end} at the end"
    )
    assert received_by_target == received_at_end


@pytest.mark.parametrize("victim", VICTIMS)
def test_server_that_announces_its_drain_gets_no_work(rig, victim):
    # Guards against a drain that is known only to the entries that the server
    # announces to. The stand-in keeps running while it drains, so that it
    # counts the requests sent to it.
    server = _drained_server(rig)
    rig.restart_with_settings(server, drain_min_ms=9000.0)
    rig.wait_until_in_force(1)

    def drain():
        killed_member = VICTIMS[victim](rig)
        if killed_member is not None:
            rig.fleet.kill(killed_member)
        rig.start_action(server, "drain")

    try:
        _check_no_late_work(rig, drain)
    finally:
        rig.restart_with_settings(server, drain_min_ms=500.0)


@pytest.mark.parametrize("victim", VICTIMS)
def test_server_drained_by_the_operator_gets_no_work(rig, victim):
    # Guards against an entry that does not apply the note with the drain. The
    # server itself would continue to serve.
    server, number = _drained_server(rig), rig.newest_note_number()

    def drain():
        killed_member = VICTIMS[victim](rig)
        if killed_member is not None:
            rig.fleet.kill(killed_member)
        note = rig_lib.one_change_note(number + 1, "add", "drain", server.name)
        elapsed_ms = rig.apply_until_accepted(note)
        print(f"accepted after {elapsed_ms:.0f} ms with {victim} lost")

    try:
        _check_no_late_work(rig, drain)
    finally:
        rig.repair()
        if rig.newest_note_number() > number:
            rig.apply_until_accepted(
                rig_lib.one_change_note(
                    number + 2, "withdraw", "drain", server.name
                )
            )
