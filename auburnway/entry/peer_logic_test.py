import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from auburnway.core import isolation
from auburnway.core import membership
from auburnway.core import peer_state
from auburnway.core import snapshot
from auburnway.load import peer_network

LEASE_MS = 1500.0
NAMES = ("e0", "e1", "e2", "e3", "e4")
_NAMES = st.sampled_from(NAMES)
_GROUPS = st.integers(0, 31).map(
    lambda bits: {name for i, name in enumerate(NAMES) if bits >> i & 1}
)
_DURATIONS = st.sampled_from([0, 200, 700, 1200, 2500])


def _row(name, sequence, state=membership.State.SERVING):
    return membership.Row(
        name,
        1,
        sequence,
        "app",
        "10.9.0.1:80",
        "a",
        state,
        5,
        40,
        (snapshot.Holding(1, 0),),
        (snapshot.Manifest(1, tuple((i, 10) for i in range(300))),),
    )


class Fleet(stateful.RuleBasedStateMachine):
    """Five entries, a lossy network and a model of control.

    Control commits a configuration number at any time, and accepts the number
    when a majority of the entries have acknowledged it. The other entries may
    serve the older configuration under leases for 1.5 s after the commit, and
    by majority for 1 s after the acceptance.
    """

    def __init__(self):
        super().__init__()
        self.net = peer_network.Network(1)
        self.net.loss_probability = 0.05
        self.net.duplicate_probability = 0.1
        # Times of commit and acceptance of each number.
        self.committed_ms, self.accepted_ms = {1: 0.0}, {1: 0.0}
        self.sequences = {}
        self.seen_versions = {}
        # Number, lease end and acknowledged number of each entry.
        self.number, self.lease_end_ms = {}, {}
        self.acknowledged = dict.fromkeys(NAMES, 0)
        # Entries that can reach control.
        self.connected = set(NAMES)
        for name in NAMES:
            self._start(name)
        self._advance(2000)

    def _start(self, name):
        node = self.net.start(name, NAMES)
        self.seen_versions[name] = {}
        self.number[name], self.lease_end_ms[name] = -1, 0.0
        node.logic.view.set_registered_entries(NAMES)

    def _renew(self, name, is_answered=True):
        now_ms = self.net.clock.now_ms()
        # The renewal acknowledges the entry's present number.
        number = max(self.number[name], self.acknowledged[name])
        self.acknowledged[name] = number
        committed = max(self.committed_ms)
        acknowledging = [n for n in NAMES if self.acknowledged[n] >= committed]
        if len(acknowledging) * 2 > len(NAMES):
            self.accepted_ms.setdefault(committed, now_ms)
        if is_answered:
            self.number[name] = committed
            self.lease_end_ms[name] = now_ms + LEASE_MS
            self._set_own(name)
            logic = self.net.nodes[name].logic
            logic.relay_configuration(b"configuration", committed)

    def _set_own(self, name):
        self.net.nodes[name].logic.set_own_state(
            self.number[name], "", self.lease_end_ms[name], False, {}
        )

    def _advance(self, duration_ms):
        for i in range(int(duration_ms // peer_network.TICK_MS)):
            if i % 4 == 0:
                for name in sorted(self.connected - self.net.frozen.keys()):
                    self._renew(name)
            self.net.run(peer_network.TICK_MS)
            self._check()

    def _check(self):
        now_ms = self.net.clock.now_ms()
        for name, node in self.net.nodes.items():
            if name in self.net.frozen:
                continue
            relayed = max(node.configurations, default=0)
            if relayed > self.number[name] > 0:
                self.number[name] = relayed
                self._set_own(name)
            for row in node.table.rows():
                previous_version = self.seen_versions[name].get(
                    row.name, (0, 0)
                )
                assert row.version >= previous_version
                self.seen_versions[name][row.name] = row.version
            decision = node.logic.view.may_serve()
            if isinstance(decision, isolation.Fenced):
                continue
            # An older configuration may be served only for a limited time.
            by_majority = decision.basis is isolation.Basis.MAJORITY
            ends_ms = [
                instant_ms + (1000.0 if by_majority else LEASE_MS)
                for number, instant_ms in (
                    self.accepted_ms if by_majority else self.committed_ms
                ).items()
                if number > self.number[name]
            ]
            assert now_ms <= min(ends_ms, default=now_ms)

    @stateful.rule(group=_GROUPS, duration_ms=_DURATIONS)
    def connect(self, group, duration_ms):
        self.connected = group
        self._advance(duration_ms)

    @stateful.rule(
        group=_GROUPS,
        both_ways=st.booleans(),
        commit=st.booleans(),
        duration_ms=_DURATIONS,
    )
    def cut_off(self, group, both_ways, commit, duration_ms):
        # The group is cut off from control and from the other entries.
        self.net.cuts.clear()
        for name in group:
            for other in set(NAMES) - group:
                self.net.cuts.add((name, other))
                if both_ways:
                    self.net.cuts.add((other, name))
        self.connected = set(NAMES) - group
        if commit:
            self.commit(0)
        self._advance(duration_ms)

    @stateful.rule(duration_ms=_DURATIONS)
    def heal(self, duration_ms):
        self.net.cuts.clear()
        self.connected = set(NAMES)
        self._advance(duration_ms)

    @stateful.rule(duration_ms=_DURATIONS)
    def commit(self, duration_ms):
        number = max(self.committed_ms) + 1
        self.committed_ms[number] = self.net.clock.now_ms()
        self._advance(duration_ms)

    @stateful.rule(name=_NAMES, duration_ms=_DURATIONS)
    def renew_without_answer(self, name, duration_ms):
        if name not in self.net.frozen:
            self._renew(name, is_answered=False)
        self._advance(duration_ms)

    @stateful.rule(name=_NAMES, duration_ms=_DURATIONS)
    def freeze(self, name, duration_ms):
        self.net.frozen.setdefault(name, [])
        self._advance(duration_ms)

    @stateful.rule(name=_NAMES)
    def thaw(self, name):
        self.net.thaw(name)
        self._check()

    @stateful.rule(name=_NAMES, duration_ms=_DURATIONS)
    def restart(self, name, duration_ms):
        self._start(name)
        self._advance(duration_ms)

    @stateful.rule(
        name=_NAMES, server=st.sampled_from("pq"), change=st.booleans()
    )
    def announce(self, name, server, change):
        if name in self.net.frozen:
            return
        sequence = self.sequences.get(server, 0) + change
        if sequence:
            self.sequences[server] = sequence
            self.net.nodes[name].announce(_row(server, sequence))

    def teardown(self):
        # Relayed data must eventually reach every entry.
        self.heal(0)
        for name in tuple(self.net.frozen):
            self.thaw(name)
        self._advance(6000)
        self.net.loss_probability = 0.0
        self._advance(2000)
        nodes = self.net.nodes.values()
        tables = {
            tuple(sorted(row.version for row in node.table.rows()))
            for node in nodes
        }
        assert len(tables) == 1
        for node in nodes:
            assert len(node.logic.view.addresses()) == len(NAMES)
            status = node.logic.status()
            assert status["rejected"] == 0
            assert not any(peer["queued"] for peer in status["peers"])


Fleet.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
TestFleet = Fleet.TestCase


def _fleet(size, **options):
    net = peer_network.Network(**options)
    for i in range(size):
        net.start(f"e{i}", ["e0"])
    net.run(3000)
    return net


def test_one_way_cut_makes_both_sides_suspect():
    # Guards against an entry that trusts a peer whose datagrams arrive
    # although its own datagrams do not reach that peer.
    net = _fleet(3)
    net.cuts = {("e1", "e2")}
    net.run(1500)
    for name, other in (("e1", "e2"), ("e2", "e1")):
        peers = net.nodes[name].logic.status()["peers"]
        assert [p["suspected"] for p in peers if p["name"] == other] == [True]
        assert len(net.nodes[name].logic.view.addresses()) == 2


def test_removed_peer_is_added_again():
    # Guards against short heartbeats to a peer that has removed this entry:
    # the peer cannot decode them and would never add the entry again.
    net = _fleet(3)
    net.cuts = {("e1", "e2")}
    net.run(32_000)
    assert "e1" not in net.nodes["e2"].logic.view.peers
    net.cuts.clear()
    net.run(3000)
    assert {len(n.logic.view.addresses()) for n in net.nodes.values()} == {3}


def test_leaving_entry_is_dropped_at_once_from_a_sampled_fleet():
    # Guards against address lists with an entry that is closing: in a fleet of
    # 30 a peer gets that entry's heartbeat only every 0.7 s on average.
    net = _fleet(30)
    net.nodes["e3"].logic.set_own_state(1, "", 0.0, True, {})
    net.run(300)
    assert {len(n.logic.view.addresses()) for n in net.nodes.values()} == {29}


def test_leaving_entry_accepts_while_address_lists_may_name_it():
    # Guards against a listener that closes while callers still use an address
    # from a peer that missed the announcement of the stop.
    ttl_ms = 2000.0
    net = _fleet(3)
    net.cuts = {("e1", "e2")}
    net.nodes["e1"].logic.set_own_state(1, "", 0.0, True, {})
    stopped_ms = net.clock.now_ms()
    own = net.nodes["e1"].logic.view.addresses()
    while len(net.nodes["e2"].logic.view.addresses()) > len(own):
        net.run(50)
    last_named_ms = net.clock.now_ms() - stopped_ms - 50
    assert last_named_ms > 0
    assert peer_state.leaving_accept_ms(ttl_ms) >= last_named_ms + ttl_ms


def test_restarted_entry_gets_the_table_at_once():
    # Guards against an entry that waits for announcements after a restart, and
    # against a row that is gone and is restored as serving by a repair.
    net = _fleet(4)
    for i in range(300):
        net.nodes["e1"].announce(_row(f"s{i}", 1))
    net.nodes["e1"].announce(_row("lost", 1, membership.State.GONE))
    net.run(1000)
    node = net.start("e2", ["e0"])
    net.run(500)
    assert len(node.table.rows()) == 301
    assert node.table.get("lost").state is membership.State.GONE


def test_renewals_keep_leases_at_entries_without_announcements():
    # Guards against rows that expire at entries to which the backend server
    # does not announce itself, and against entries that keep extending the
    # lease of a lost server for each other.
    net = _fleet(3)
    for second in range(16):
        net.nodes["e0"].announce(_row("kept", 1))
        if second < 4:
            net.nodes["e1"].announce(_row("lost", 1))
        net.run(1000)
        for node in net.nodes.values():
            node.table.expire(net.clock.now_ms())
    for node in net.nodes.values():
        assert node.table.get("kept").state is membership.State.SERVING
        assert node.table.get("lost").state is not membership.State.SERVING


def test_configuration_reaches_entries_that_missed_it():
    # Guards against an entry that is cut off from the sender of a newer
    # configuration and keeps the old one although other peers have the newer.
    net = _fleet(20)
    net.cuts = {("e0", "e5")}
    first = net.nodes["e0"].logic
    first.set_own_state(3, "", 0.0, False, {})
    first.relay_configuration(bytes(50_000), 3)
    net.run(4000)
    others = [n for n in net.nodes.values() if n.name != "e0"]
    assert all(n.configurations == [3] for n in others)


def test_large_demand_does_not_block_heartbeats():
    # Guards against heartbeats that exceed the datagram limit.
    net = _fleet(20)
    demand = {f"application-{i}": {"urgent": i, "bulk": i} for i in range(200)}
    net.nodes["e4"].logic.set_own_state(1, "", 0.0, False, demand)
    net.run(4000)
    assert net.nodes["e7"].logic.view.demands()["e4"] == demand
    assert len(net.nodes["e7"].logic.view.addresses()) == 20


def test_late_datagram_of_an_earlier_incarnation_is_ignored():
    # Guards against a leaving flag or a statement from an earlier incarnation
    # that is applied to the present one.
    net = _fleet(2)
    old = net.nodes["e1"].logic
    net.clock.advance(10)
    net.start("e1", ["e0"])
    net.run(1000)
    old.set_own_state(9, "", 0.0, True, {})
    old._next_heartbeat_ms = 0.0
    old.tick()
    net.run(300)
    view = net.nodes["e0"].logic.view
    assert not view.peers["e1"].leaving
    assert dataclasses.astuple(view.peers["e1"].heartbeat)[9] != 9
