import hypothesis
from hypothesis import strategies as st

from auburnway.core import isolation
from auburnway.core import peer_state

NOW_MS = 10_000.0
MODES = list(isolation.Mode)


def _statements(names, registered):
    digest = peer_state.registered_digest(registered)
    return st.lists(
        st.builds(
            peer_state.PeerStatement,
            st.sampled_from(names),
            st.integers(-1, 5),
            st.booleans(),
            st.floats(0, 1500),
            st.sampled_from([digest, digest ^ 1]),
            st.floats(NOW_MS - 3000, NOW_MS),
        ),
        max_size=len(names),
        unique_by=lambda s: s.name,
    )


@st.composite
def _lease_intervals(draw):
    size = draw(st.integers(1, 7))
    names = [f"e{i}" for i in range(size)]
    # Each entry holds a lease during one interval.
    leases = {
        name: sorted(
            draw(st.tuples(st.floats(6000, 11_000), st.floats(6000, 11_000)))
        )
        for name in names
    }
    return names, leases


def _holds_lease(lease, instant_ms):
    return lease[0] <= instant_ms < lease[1]


@hypothesis.settings(max_examples=400)
@hypothesis.given(_lease_intervals(), st.data())
def test_two_groups_are_never_both_allowed(intervals, data):
    # Guards against a partition that serves without leases for more than 1 s
    # while the other partition holds the majority of leases that a new release
    # note needs.
    names, leases = intervals
    digest = peer_state.registered_digest(names)
    statements = []
    for name in names[1:]:
        stated_ms = data.draw(st.floats(NOW_MS - 1500, NOW_MS))
        # `since_ms` is a lower bound of the instant of the statement.
        since_ms = stated_ms - data.draw(st.floats(0, 300))
        statements.append(
            peer_state.PeerStatement(
                name,
                1,
                _holds_lease(leases[name], stated_ms),
                0.0,
                digest,
                since_ms,
            )
        )
    own_lease = leases[names[0]]
    decision = isolation.may_serve(
        names[0],
        1,
        own_lease[1] if own_lease[0] <= NOW_MS else 0.0,
        isolation.Mode.MAJORITY,
        names,
        statements,
        NOW_MS,
    )
    if not isinstance(decision, isolation.Serving):
        return
    if decision.basis is isolation.Basis.LEASE:
        assert _holds_lease(own_lease, NOW_MS)
        return
    assert decision.until_ms <= NOW_MS + 1000.0
    continuously_leased = [
        name
        for name, lease in leases.items()
        if lease[0] <= NOW_MS - 1000.0 and lease[1] > NOW_MS
    ]
    assert len(continuously_leased) * 2 <= len(names)


@hypothesis.settings(max_examples=300)
@hypothesis.given(_statements(list("bcde"), "abcde"), st.integers(-1, 5))
def test_entry_serves_only_with_a_valid_basis(statements, number):
    # Guards against serving before the first read, under a peer lease for
    # another number, or below a number that a peer has reported.
    for mode in MODES:
        decision = isolation.may_serve(
            "a", number, 0.0, mode, "abcde", statements, NOW_MS
        )
        peer_lease_ends_ms = [
            s.since_ms + s.lease_left_ms
            for s in statements
            if s.number == number
        ]
        if number == peer_state.NO_NUMBER:
            assert isinstance(decision, isolation.Fenced)
        elif max(peer_lease_ends_ms, default=0.0) > NOW_MS:
            # A peer lease ends with the lease of the peer.
            assert decision == isolation.Serving(
                isolation.Basis.PEER_LEASE, max(peer_lease_ends_ms)
            )
        elif mode is isolation.Mode.FENCE:
            assert isinstance(decision, isolation.Fenced)
        elif mode is isolation.Mode.SERVE:
            assert decision.basis is isolation.Basis.ALWAYS
        elif isinstance(decision, isolation.Serving):
            assert all(s.number <= number for s in statements)


def test_statements_of_another_registered_set_do_not_count():
    # Guards against counting the statement of an entry that was removed and
    # still uses the old set: two partitions could each find a majority.
    for names, expected in (("abc", True), ("abcd", False)):
        statement = peer_state.PeerStatement(
            "b", 1, False, 0.0, peer_state.registered_digest(names), NOW_MS
        )
        decision = isolation.may_serve(
            "a", 1, 0.0, isolation.Mode.MAJORITY, "abc", [statement], NOW_MS
        )
        assert isinstance(decision, isolation.Serving) is expected


def test_restarted_entry_does_not_count():
    # Guards against a majority that includes an entry which acknowledged a
    # higher number and lost it in a restart.
    digest = peer_state.registered_digest("abc")
    for number, expected in ((1, True), (peer_state.NO_NUMBER, False)):
        statement = peer_state.PeerStatement(
            "b", number, False, 0.0, digest, NOW_MS
        )
        decision = isolation.may_serve(
            "a", 1, 0.0, isolation.Mode.MAJORITY, "abc", [statement], NOW_MS
        )
        assert isinstance(decision, isolation.Serving) is expected
