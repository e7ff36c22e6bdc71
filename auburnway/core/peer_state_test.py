import dataclasses

import hypothesis
from hypothesis import strategies as st

from auburnway.core import membership
from auburnway.core import peer_state

_ADDRESSES = st.builds(
    peer_state.Address,
    st.sampled_from([f"10.0.0.{i}:80" for i in range(8)]),
    st.sampled_from("abc"),
    st.booleans(),
    st.floats(0, 5000),
)


@hypothesis.given(
    _ADDRESSES,
    st.lists(_ADDRESSES, max_size=7, unique_by=lambda a: a.caller_address),
)
def test_addresses_contain_usable_entries_own_data_center_first(own, peers):
    # Guards against directing callers to leaving or silent entries, or to
    # another data centre while their own has a usable entry.
    peers = [p for p in peers if p.caller_address != own.caller_address]
    now_ms = 5000.0
    usable = {
        p.caller_address: p.data_center
        for p in peers
        if not p.leaving and now_ms - p.last_contact_ms <= 1000.0
    }
    if not own.leaving:
        usable[own.caller_address] = own.data_center
    answer = peer_state.addresses(own, peers, now_ms)
    assert sorted(answer) == sorted(usable)
    is_remote = [usable[address] != own.data_center for address in answer]
    assert is_remote == sorted(is_remote)


def test_heartbeat_round_trip_and_malformed_heartbeats():
    # Guards against a malformed heartbeat that raises an exception in the
    # event handler.
    heartbeat = peer_state.Heartbeat(
        "a",
        1,
        2,
        3,
        4,
        "c",
        "p",
        "d",
        False,
        5,
        "x",
        1.0,
        True,
        6,
        {},
        7,
        False,
    )
    data = peer_state.encode_heartbeat(heartbeat)
    assert peer_state.decode_heartbeat(data) == heartbeat
    short = peer_state.encode_heartbeat(heartbeat, with_profile=False)
    assert peer_state.decode_heartbeat(short, heartbeat) == heartbeat
    assert peer_state.decode_heartbeat(short) is None
    assert peer_state.decode_heartbeat(None) is None
    for part in range(2):
        for i in range(len(data[part])):
            damaged = [list(data[0]), list(data[1])]
            damaged[part][i] = None
            assert peer_state.decode_heartbeat(damaged, heartbeat) is None
            del damaged[part][i:]
            assert (part and not i) or not peer_state.decode_heartbeat(
                damaged, heartbeat
            )


@hypothesis.given(st.permutations([(n, s) for n in "abc" for s in (1, 2)]))
def test_table_digest_depends_on_the_last_versions_only(order):
    # Guards against different digests for equal tables, which would make
    # entries exchange their tables endlessly.
    row = membership.Row(
        "a", 1, 1, "app", "", "", membership.State.SERVING, 1, 1, (), ()
    )
    digest, expected = peer_state.TableDigest(), peer_state.TableDigest()
    last = {}
    for name, sequence in order:
        digest.put(dataclasses.replace(row, name=name, sequence=sequence))
        last[name] = sequence
    for name in sorted(last):
        expected.put(dataclasses.replace(row, name=name, sequence=last[name]))
    assert digest.buckets == expected.buckets
    expected.put(dataclasses.replace(row, name="a", sequence=9))
    assert digest.total != expected.total
