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
    ],
)
def test_invalid_heartbeat_is_refused(change):
    body = json.dumps({**HEARTBEAT, **change}).encode()
    assert not pipeline.is_successful(documents.decode_heartbeat("i", body))


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
