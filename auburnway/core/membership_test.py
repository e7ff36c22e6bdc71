import hypothesis
from hypothesis import strategies as st

from auburnway.core import membership
from auburnway.core import snapshot

LEASE_MS = 1000.0
STATES = (membership.State.SERVING, membership.State.DRAINING)


def make_row(name, started_ms=1, sequence=1, state=STATES[0], snapshots=(1,)):
    shard = int(name) % 3
    return membership.Row(
        name=name,
        started_ms=started_ms,
        sequence=sequence,
        application="a",
        address=f"127.0.0.1:{name}",
        data_center="d",
        state=state,
        slots=1,
        connection_limit=1,
        holdings=tuple(snapshot.Holding(s, shard) for s in snapshots),
        manifests=tuple(
            snapshot.Manifest(s, ((0, s), (1, s), (2, s))) for s in snapshots
        ),
    )


def names_by_key(rows):
    found = {}
    for row in rows:
        for holding in row.holdings:
            key = (holding.snapshot, holding.shard)
            found.setdefault(key, set()).add(row.name)
    return found


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.integers(1, 3),
            st.integers(1, 3),
            st.sampled_from(STATES),
            st.sets(st.integers(1, 3)),
            st.sets(st.integers(0, 5)),
            st.integers(0, 700),
        ),
        max_size=25,
    )
)
def test_index_agrees_with_the_rows(steps):
    # Guards against an index that lists an unusable replica, omits a usable
    # one, or lists a snapshot that no usable server holds.
    table, now_ms = membership.Table(LEASE_MS), 0.0
    for (
        number,
        started,
        sequence,
        state,
        snapshots,
        drained,
        elapsed_ms,
    ) in steps:
        now_ms += elapsed_ms
        row = make_row(str(number), started, sequence, state, sorted(snapshots))
        before = table.get(row.name)
        must_relay = table.put(row, now_ms)
        assert must_relay == (before is None or row.version > before.version)
        table.set_drained({str(n) for n in drained})
        table.expire(now_ms)
        usable = [
            row
            for row in table.rows()
            if row.state in (STATES[0], membership.State.SUSPECT)
            and int(row.name) not in drained
        ]
        expected = names_by_key(usable)
        for s in (1, 2, 3):
            for shard in range(3):
                replicas = table.replicas("a", s, shard)
                names = [replica.name for replica in replicas]
                assert len(names) == len(set(names))
                assert set(names) == expected.get((s, shard), set())
                assert all(table.get(r.name) is r for r in replicas)
        manifests = sorted(m.snapshot for m in table.manifests("a"))
        assert manifests == sorted({s for s, _ in expected})


def test_mass_expiry_keeps_the_rows():
    # Guards against an empty table when announcements are lost while the
    # servers still run.
    table = membership.Table(LEASE_MS)
    for name in "012":
        table.put(make_row(name), 0.0)
    table.put(make_row("0"), 1500.0)
    assert {r.state for r in table.expire(1500.0)} == {membership.State.SUSPECT}
    assert len(table.servers("a")) == 3
    for name in "01":
        table.put(make_row(name), 1600.0)
    (lost,) = table.expire(1700.0)
    assert (lost.name, lost.state) == ("2", membership.State.GONE)


def test_one_expired_server_is_gone_and_returns():
    table = membership.Table(LEASE_MS)
    for name in "0123":
        table.put(make_row(name), 0.0)
    for name in "012":
        table.put(make_row(name), 900.0)
    (lost,) = table.expire(1200.0)
    assert lost.state is membership.State.GONE
    table.put(make_row("3"), 1300.0)
    assert table.get("3").state is membership.State.SERVING


def test_equal_shard_maps_are_kept_once():
    table = membership.Table(LEASE_MS)
    for name in "012":
        table.put(make_row(name), 0.0)
    assert len({id(r.manifests[0]) for r in table.rows()}) == 1


def test_suspect_server_is_gone_when_most_others_are_back():
    # Guards against a lost server that stays usable after a mass expiry.
    table = membership.Table(LEASE_MS)
    for name in "012":
        table.put(make_row(name), 0.0)
    table.expire(LEASE_MS + 1)
    assert {r.state for r in table.rows()} == {membership.State.SUSPECT}
    for name in "01":
        table.put(make_row(name, sequence=2), LEASE_MS + 2)
    (lost,) = table.expire(LEASE_MS + 3)
    assert (lost.name, lost.state) == ("2", membership.State.GONE)
