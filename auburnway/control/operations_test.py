"""Tests of control calls on one in-process instance with a manual clock."""

import pytest

from auburnway.control import entries as entries_lib
from auburnway.control import node as node_lib
from auburnway.control import operations as operations_lib
from auburnway.control import state_machine
from auburnway.control import store as store_lib
from auburnway.core import clock as clock_lib
from auburnway.core import raft_records as records
from auburnway.kernel import process
from auburnway.rpc import control_pb2 as pb
from auburnway.storage import disk as disk_lib

ADDRESS = "127.0.0.1:1"


class Control:
    """Single-member control group, so that the instance is always leader."""

    def __init__(self, disk=None):
        self.disk = disk or disk_lib.FakeDisk()
        self.clock = clock_lib.ManualClock(0.0, 1_000_000_000_000)
        identity = store_lib.Identity("c", "c.first")
        if disk is None:
            member = records.Member("c", "c.first", ADDRESS)
            store_lib.create(self.disk, identity, (member,))
        self.loop = process.Loop(self.clock)
        self.node = node_lib.Node(
            identity,
            ADDRESS,
            store_lib.Store(self.disk),
            self.loop,
            lambda address, post: None,
            state_machine.ControlStateMachine(),
            lambda: None,
        )
        self.entries = entries_lib.EntryRegistry(
            self.node, self.clock, self.loop.timers, 600_000.0
        )
        self.operations = operations_lib.Operations(
            self.node,
            self.entries,
            self.clock,
            self.loop.timers,
            86_400_000,
            {"hedging": ("none", "quantile")},
        )
        self.held_lease_ids = {}
        self.run(1200.0)

    def run(self, duration_ms):
        for _ in range(int(duration_ms / 25)):
            self.clock.advance(25.0)
            self.loop.timers.run_due()

    def call(self, name, request, meanwhile=None):
        """Makes a call and waits for its reply.

        `meanwhile` runs 50 ms after the start of the call, before the wait.
        """
        replies = []
        self.node.post(
            lambda: getattr(self.operations, name)(request, replies.append)
        )
        self.node._on_wake(None)
        if meanwhile is not None:
            self.run(50.0)
            meanwhile()
        for _ in range(100):
            if replies or self.node.exit_code:
                break
            self.run(25.0)
        return replies[0] if replies else None

    def renew(self, name, incarnation="1", is_received=True, **fields):
        reply = self.call(
            "renew",
            pb.RenewRequest(
                entry_name=name,
                entry_incarnation=incarnation,
                held_lease_id=self.held_lease_ids.get(name, 0),
                **fields,
            ),
        )
        if is_received and reply.lease_id:
            self.held_lease_ids[name] = reply.lease_id
        return reply

    def add_entries(self, *names):
        for name in names:
            self.renew(name)
            for other in self.held_lease_ids:
                for _ in range(2):
                    self.renew(other)

    def accept(self, number, author="o", extra="", acknowledged_by=()):
        text = f'number = {number}\nauthor = "{author}"\nsummary = "s"\n{extra}'
        text += f'[[add.caller]]\nname = "caller{number}"\n'

        def acknowledge():
            for name in acknowledged_by:
                self.renew(name, number=number)

        request = pb.NoteRequest(text=text, author=author)
        return self.call("apply", request, acknowledge)


@pytest.fixture
def control():
    return Control()


def _codes(reply):
    return [error.code for error in reply.errors]


def test_note_needs_leases_of_a_majority(control):
    # Guards against accepting a note that entries without leases never
    # receive.
    assert not _codes(control.accept(1))
    control.add_entries("e1", "e2", "e3")
    acknowledging = ("e1", "e2")
    assert not _codes(control.accept(2, acknowledged_by=acknowledging))
    control.run(1600.0)
    assert _codes(control.accept(3)) == ["no_entry_majority"]
    # A resent note that was accepted gets its receipt without a majority.
    assert control.accept(2).repeated_submission
    for _ in range(3):
        control.renew("e1", number=2)
    assert _codes(control.accept(3)) == ["no_entry_majority"]
    for _ in range(3):
        control.renew("e2", number=2)
        control.renew("e1", number=2)
    assert not _codes(control.accept(3, acknowledged_by=acknowledging))


def test_receipt_waits_until_a_majority_of_entries_has_the_note(control):
    # Guards against a receipt for a note that no entry has received: all
    # entries could lose their leases and serve the old number as a majority.
    control.add_entries("e1", "e2", "e3")
    unacknowledged = control.accept(1, acknowledged_by=("e1",))
    assert _codes(unacknowledged) == ["outcome_uncertain"]
    for name in ("e1", "e2", "e3"):
        for _ in range(3):
            control.renew(name)
    resubmission = control.accept(1, acknowledged_by=("e1", "e2"))
    assert not _codes(resubmission)
    assert resubmission.repeated_submission


def test_lost_replies_do_not_count_as_leases(control):
    # Guards against counting leases during a one-way network fault, in which
    # requests arrive but replies are lost.
    control.add_entries("e1")
    assert not _codes(control.accept(1, acknowledged_by=("e1",)))
    for _ in range(6):
        control.run(300.0)
        control.renew("e1", is_received=False)
    assert _codes(control.accept(2)) == ["no_entry_majority"]


def test_in_force_needs_acknowledgement_or_the_end_of_the_lease(control):
    control.run(1600.0)
    control.add_entries("e1", "e2", "e3")
    assert not _codes(control.accept(1, acknowledged_by=("e1", "e2")))

    def everywhere():
        return control.call("in_force", pb.ReadRequest()).everywhere

    # Entry e3 may serve the old number until its lease expires.
    assert not everywhere()
    control.run(1600.0)
    assert everywhere()


def test_in_force_waits_for_leases_that_peers_have_lent(control):
    # Guards against reporting "in force everywhere" while an entry without a
    # lease of its own serves the old number under a lease lent by a peer.
    control.run(1600.0)
    control.add_entries("e1", "e2", "e3")
    for _ in range(6):
        control.run(300.0)
        for name in ("e1", "e2"):
            control.renew(name)
    assert not _codes(control.accept(1, acknowledged_by=("e1", "e2")))
    assert not control.call("in_force", pb.ReadRequest()).everywhere
    for _ in range(6):
        control.run(300.0)
        for name in ("e1", "e2"):
            control.renew(name, number=1)
    assert control.call("in_force", pb.ReadRequest()).everywhere


def test_entry_names_are_sent_only_when_they_change(control):
    # Guards against renewal replies that always hold all entry names and so
    # grow with the number of entries.
    control.add_entries("e1", "e2")
    first = control.renew("e1")
    assert list(first.entry_names) == ["e1", "e2"]
    known_set = {"entry_set_revision": first.entry_set_revision}
    assert not control.renew("e1", **known_set).entry_names
    control.add_entries("e3")
    second = control.renew("e1", **known_set)
    assert list(second.entry_names) == ["e1", "e2", "e3"]


def test_poll_is_answered_by_a_new_number(control):
    # Guards against entries that receive a note only with their next renewal.
    control.add_entries("e1")
    replies = []
    request = pb.RenewRequest(
        entry_name="e1",
        entry_incarnation="1",
        wait_ms=400,
        held_lease_id=control.held_lease_ids["e1"],
    )
    control.node.post(lambda: control.operations.renew(request, replies.append))
    control.node._on_wake(None)
    control.run(150.0)
    assert not replies
    control.accept(1)
    assert replies[0].number == 1
    assert replies[0].configuration


def test_leaving_entry_is_removed_and_late_requests_do_not_return_it(control):
    control.add_entries("e1", "e2")
    control.renew("e2", incarnation="2")
    assert control.renew("e2").error.code == "superseded"
    control.held_lease_ids["e2"] = 0
    for _ in range(3):
        control.renew("e1")
        control.renew("e2", incarnation="2")
    control.renew("e2", incarnation="2", leaving=True)
    control.run(1100.0)
    reply = control.call("read", pb.ReadRequest())
    assert list(reply.entry_names) == ["e1"]


def test_refused_note_shows_all_errors_and_is_in_the_audit_trail(control):
    extra = '[[add.policy]]\nname = "hedging"\nvalue = "x"\n'
    reply = control.accept(7, extra=extra)
    assert sorted(_codes(reply)) == ["unknown_policy", "wrong_number"]
    audit = control.call("audit", pb.AuditRequest())
    assert audit.chain_valid
    assert [row.result for row in audit.rows] == ["refused"]


def test_racing_notes_of_one_number_give_one_winner(control):
    assert not _codes(control.accept(1, "first"))
    reply = control.accept(1, "second")
    assert _codes(reply) == ["note_conflict"]
    assert "first" in reply.errors[0].message


def test_nothing_is_acknowledged_after_a_disk_fault(control):
    # Guards against a receipt for a note that is lost by a restart.
    control.accept(1)
    control.disk.syncs_before_failure = 0
    assert control.accept(2) is None
    assert control.node.exit_code == 5
    assert control.accept(3) is None
    control.disk.crash()
    restarted = Control(control.disk)
    assert restarted.call("read", pb.ReadRequest()).number == 1


@pytest.mark.parametrize("torn_bytes", [0, 7, 40])
def test_full_disk_acknowledges_nothing_and_ends_no_process(
    control, torn_bytes
):
    # Guards against a process that ends because its disk is full, against a
    # receipt for a note that is not stored, and against a record that was cut.
    control.accept(1)
    used_bytes = sum(len(control.disk.read(n)) for n in control.disk.list())
    control.disk.capacity_bytes = used_bytes + torn_bytes
    for number in (2, 3):
        reply = control.accept(number)
        assert reply is None or _codes(reply)
    control.run(3_000.0)
    assert control.node.exit_code == 0
    assert control.node.has_full_disk
    control.disk.capacity_bytes = 1 << 20
    control.run(1_000.0)
    assert not control.node.has_full_disk
    # An election follows.
    control.run(1_000.0)
    assert not _codes(control.accept(2))
    control.disk.crash()
    restarted = Control(control.disk)
    assert restarted.call("read", pb.ReadRequest()).number == 2


def test_disk_that_fills_up_during_a_compaction_loses_nothing(control):
    # Guards against a log that is dropped although its snapshot has no room.
    control.add_entries("e1")
    used_bytes = sum(len(control.disk.read(n)) for n in control.disk.list())
    control.disk.capacity_bytes = used_bytes + 150_000
    granted = []
    for i in range(2500):
        request = pb.ClaimRequest(
            caller="c",
            key=f"{control.clock.wall_ms()}-{i}",
            digest="d",
            entry_name="e1",
            entry_incarnation="1",
        )
        reply = control.call("claim", request)
        granted.append(getattr(reply, "state", "") == "granted")
        if control.node.has_full_disk:
            break
    assert control.node.has_full_disk
    control.disk.capacity_bytes = 1 << 24
    control.run(1_000.0)
    status = control.call("status", pb.StatusRequest())
    assert status.claims >= sum(granted)


def test_restart_after_thousands_of_commands_keeps_the_state(control):
    # Guards against a snapshot or a compacted log that loses commands.
    control.add_entries("e1")
    for i in range(2500):
        key = f"{control.clock.wall_ms()}-{i}"
        request = pb.ClaimRequest(
            caller="c",
            key=key,
            digest="d",
            entry_name="e1",
            entry_incarnation="1",
        )
        assert control.call("claim", request).state == "granted"
    restarted = Control(control.disk)
    status = restarted.call("status", pb.StatusRequest())
    assert status.claims == status.open_claims == 2500
    replayed = (
        restarted.node.raft.log.last_index
        - restarted.node.raft.log.snapshot.index
    )
    assert replayed < 2 * node_lib.ENTRIES_PER_SNAPSHOT
    assert control.call("claim", request).state == "open"
