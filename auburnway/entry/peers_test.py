import random

from auburnway.core import clock as clock_lib
from auburnway.core import isolation
from auburnway.core import membership
from auburnway.entry import peers as peers_lib
from auburnway.kernel import process

TIMEOUT_MS = 20_000.0


def _row(name, sequence=1, state=membership.State.SERVING):
    return membership.Row(
        name, 1, sequence, "app", "127.0.0.1:1", "a", state, 5, 40, (), ()
    )


class _Entry:
    def __init__(self, loop, name, seeds):
        self.rows, self.configurations, self.strikes = [], [], []
        self.table = membership.Table(5000.0)
        self.peers = peers_lib.Peers(
            loop.poller,
            loop.timers,
            loop.clock,
            name,
            f"127.0.0.1:{name}",
            "127.0.0.1:0",
            "a",
            seeds,
            "token",
            self.table,
            self.rows.append,
            lambda data, number: self.configurations.append((data, number)),
            self.strikes.extend,
            rng=random.Random(name),
        ).register(loop.root)


def test_three_entries_on_real_sockets():
    # Guards against faults that the fake network does not show: wrong poller
    # registration, wrong address format, datagrams over the size limit.
    loop = process.Loop(clock_lib.SystemClock())
    first = _Entry(loop, "1", [])
    entries = [first] + [
        _Entry(loop, name, [first.peers.address]) for name in "23"
    ]
    configuration = bytes(20_000)
    conditions = [
        lambda: all(len(e.peers.addresses()) == 3 for e in entries),
        lambda: all(e.table.get("b") for e in entries),
        lambda: all(e.configurations for e in entries[1:]),
        lambda: all(e.strikes == [["f", "b"]] for e in entries[:2]),
        lambda: all(
            isinstance(e.peers.may_serve(), isolation.Serving) for e in entries
        ),
    ]
    actions = [
        lambda: (
            first.table.put(_row("b"), loop.clock.now_ms()),
            first.peers.relay_row(_row("b")),
        ),
        lambda: first.peers.relay_configuration(configuration, 4),
        lambda: entries[2].peers.relay_strikes([["f", "b"]]),
        # Only the first entry has a lease from control; it lends that lease to
        # its peers.
        lambda: [
            e.peers.set_own_state(
                4,
                "d",
                loop.clock.now_ms() + 60_000.0 if e is first else 0.0,
                False,
                {"app": {"urgent": 2}},
            )
            for e in entries
        ],
        loop.stop,
    ]
    completed = []

    def advance():
        if conditions[len(completed)]():
            actions[len(completed)]()
            completed.append(True)
        if len(completed) < len(conditions):
            loop.timers.after(10.0, advance)

    loop.timers.after(10.0, advance)
    loop.timers.after(TIMEOUT_MS, loop.stop)
    loop.run()
    for entry in entries:
        entry.peers.close()
    assert len(completed) == len(conditions)
    assert entries[1].configurations == [(configuration, 4)]
    assert entries[1].peers.may_serve().basis is isolation.Basis.PEER_LEASE
    assert entries[1].peers.status()["rejected"] == 0
    assert entries[1].peers.demands()["1"] == {"app": {"urgent": 2}}
