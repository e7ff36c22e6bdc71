"""Tests of decoding valid and invalid documents of the platform."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns import pipeline

from auburnway.core import server_table
from auburnway.platform import documents
from auburnway.platform import testing

HEARTBEAT = {
    "Service": "s",
    "Address": "10.0.0.9:8080",
    "Zone": "z",
    "Version": "v1",
    "Slots": 3,
    "State": "ready",
    "ColdRemainingMs": 700,
    "Sequence": 4,
    "born": 1700000000000,
}


def decode_changed(change=lambda data: None):
    data = testing.configuration(7)
    change(data)
    return documents.decode_configuration(json.dumps(data).encode())


def test_configuration_is_decoded():
    decoded = decode_changed().unwrap()
    single, unsafe, gather = decoded.routes
    assert decoded.version == 7
    assert (single.host, single.prefix) == ("h.example", "/one/")
    assert single.services == ("solo",)
    assert (single.is_repeatable, unsafe.is_repeatable) == (True, False)
    assert gather.gather.shards == ("sa", "sb")
    assert (gather.gather.top_records, gather.gather.min_coverage) == (3, 0.5)
    assert decoded.services[0].connection_limit == 30
    assert decoded.limits.header_timeout_ms == 3000.0


def test_route_with_traffic_split_is_decoded():
    def change(data):
        route = data["Routes"][0]
        del route["Service"]
        route["TrafficSplit"] = [
            {"Service": "solo", "Weight": 3},
            {"Service": "sa", "Weight": 1},
        ]

    parts = decode_changed(change).unwrap().routes[0].parts
    assert [(p.service, p.weight) for p in parts] == [("solo", 3), ("sa", 1)]


@pytest.mark.parametrize(
    "change",
    [
        lambda data: data.pop("Version"),
        lambda data: data.update(Version="7"),
        lambda data: data.update(Version=True),
        lambda data: data.update(Routes=[7]),
        lambda data: data["Routes"][0].update(Service="unknown"),
        lambda data: data["Routes"][0].update(TimeoutMs=0),
        lambda data: data["Routes"][0].update(TimeoutMs=None),
        lambda data: data["Routes"][1].update(PathPrefix="/one/"),
        lambda data: data["Routes"][0].update(
            TrafficSplit=[{"Service": "solo", "Weight": 0}]
        ),
        lambda data: data["Routes"][2].update(TopK="many"),
        lambda data: data.update(Limits={}),
        lambda data: data["Services"][0].update(MaxConnections=None),
    ],
)
def test_invalid_configuration_is_refused_with_its_reason(change):
    # An invalid configuration must never be acknowledged.
    decoded = decode_changed(change)
    assert not pipeline.is_successful(decoded)
    assert all(error.message for error in decoded.failure())


@given(st.binary(max_size=200))
def test_arbitrary_bytes_return_a_failure(data):
    assert not pipeline.is_successful(documents.decode_configuration(data))
    assert not pipeline.is_successful(documents.decode_heartbeat("i", data))


@given(st.integers(1, 2000))
def test_truncated_configuration_is_refused(length):
    document = json.dumps(testing.configuration(7)).encode()
    truncated = document[: min(length, len(document) - 1)]
    assert not pipeline.is_successful(documents.decode_configuration(truncated))


def test_heartbeat_is_decoded():
    row = documents.decode_heartbeat(
        "i-1", json.dumps(HEARTBEAT).encode()
    ).unwrap()
    assert row == server_table.Row(
        "i-1",
        1700000000000,
        4,
        "s",
        "10.0.0.9:8080",
        "z",
        3,
        server_table.State.READY,
        700,
    )


@pytest.mark.parametrize(
    "change",
    [
        {"Address": "nowhere"},
        {"Address": "10.0.0.9:x"},
        {"State": "leaving"},
        {"Sequence": None},
        {"Slots": "3"},
        {"born": "today"},
        {"Service": ""},
        {"Address": "10.0.0.9:99999"},
        {"Address": "10.0.0.9:0"},
        {"Address": "10.0.0.9:" + "8" * 5000},
        {"Address": "10.0.0.9:\u00b2"},
        {"Address": "10.0.0.9:80\r\nX: y"},
        {"Address": "10.0.0.\x009:80"},
        {"Address": "300.0.0.9:80"},
        {"Address": "host.example:80"},
        {"Service": "a b"},
        {"Zone": "z\r\n"},
        {"Sequence": 2**64 - 1},
        {"Sequence": -1},
        {"Slots": 2**40},
        {"born": 2**63},
        {"ColdRemainingMs": 1e300},
    ],
)
def test_invalid_heartbeat_is_refused(change):
    # Guards against a server that all entries are told of and none can use.
    body = json.dumps({**HEARTBEAT, **change}).encode()
    assert not pipeline.is_successful(documents.decode_heartbeat("i", body))


@pytest.mark.parametrize(
    "server_id", ["", "a\r\nX: y", "a b", "\x00", "i" * 999]
)
def test_server_id_that_no_header_can_hold_is_refused(server_id):
    # Guards against headers that a server adds to the requests of others.
    body = json.dumps(HEARTBEAT).encode()
    decoded = documents.decode_heartbeat(server_id, body)
    assert not pipeline.is_successful(decoded)


_ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=30),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from(sorted(HEARTBEAT)), _ODD_VALUES))
def test_odd_heartbeats_raise_nothing(changes):
    # Guards against an exception that ends the call of another writer.
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    decoded = documents.decode_heartbeat("i", body)
    if pipeline.is_successful(decoded):
        row = decoded.unwrap()
        assert server_table.decode_row(server_table.encode_row(row)) == row


@pytest.mark.parametrize("depth", [100, 2_000, 100_000])
def test_deeply_nested_documents_are_refused(depth):
    # Guards against a decoder that recurses until the process ends.
    body = b"[" * depth + b"]" * depth
    assert not pipeline.is_successful(documents.decode_heartbeat("i", body))
    assert not pipeline.is_successful(documents.decode_configuration(body))
    nested = b'{"Sequence":' * depth + b"1" + b"}" * depth
    assert not pipeline.is_successful(documents.decode_heartbeat("i", nested))


@given(
    st.sampled_from(("Routes", "Services", "Limits", "Version")), _ODD_VALUES
)
def test_odd_configurations_raise_nothing(field, value):
    # Guards against an exception that ends the call of an operator.
    data = testing.configuration(7)
    data[field] = value
    documents.decode_configuration(json.dumps(data).encode())
    data = testing.configuration(7)
    for item in data["Routes"]:
        item[next(iter(item))] = value
    documents.decode_configuration(json.dumps(data).encode())


def test_digest_does_not_depend_on_formatting():
    # A client that resends a configuration may format it differently.
    data = testing.configuration(7)
    first = json.dumps(data).encode()
    second = json.dumps(data, indent=2, sort_keys=True).encode()
    decoded = documents.decode_configuration(first).unwrap()
    digests = {
        documents.make_put_command(document, decoded).digest
        for document in (first, second)
    }
    assert len(digests) == 1
