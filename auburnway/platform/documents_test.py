"""Decoding of the platform's documents, good and bad."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns import pipeline

from auburnway.core import server_table
from auburnway.platform import documents
from auburnway.platform import testing

BEAT = {
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


def configuration(change=lambda data: None):
    data = testing.configuration(7)
    change(data)
    return documents.decode_configuration(json.dumps(data).encode())


def test_configuration_in_the_product_s_words():
    decoded = configuration().unwrap()
    single, unsafe, gather = decoded.routes
    assert decoded.version == 7
    assert (single.host, single.prefix) == ("h.example", "/one/")
    assert single.services == ("solo",)
    assert (single.is_repeatable, unsafe.is_repeatable) == (True, False)
    assert gather.gather.shards == ("sa", "sb")
    assert (gather.gather.top_records, gather.gather.min_coverage) == (3, 0.5)
    assert decoded.services[0].connection_limit == 30
    assert decoded.limits.header_timeout_ms == 3000.0


def test_split_route():
    def change(data):
        route = data["Routes"][0]
        del route["Service"]
        route["TrafficSplit"] = [
            {"Service": "solo", "Weight": 3},
            {"Service": "sa", "Weight": 1},
        ]

    parts = configuration(change).unwrap().routes[0].parts
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
    # What is invalid must never be acknowledged.
    decoded = configuration(change)
    assert not pipeline.is_successful(decoded)
    assert all(error.message for error in decoded.failure())


@given(st.binary(max_size=200))
def test_any_bytes_are_a_typed_error(data):
    assert not pipeline.is_successful(documents.decode_configuration(data))
    assert not pipeline.is_successful(documents.decode_heartbeat("i", data))


@given(st.integers(1, 2000))
def test_cut_configuration_is_refused(length):
    whole = json.dumps(testing.configuration(7)).encode()
    cut = whole[: min(length, len(whole) - 1)]
    assert not pipeline.is_successful(documents.decode_configuration(cut))


def test_heartbeat():
    row = documents.decode_heartbeat("i-1", json.dumps(BEAT).encode()).unwrap()
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
def test_heartbeat_of_another_writer_names_no_server(change):
    body = json.dumps({**BEAT, **change}).encode()
    assert not pipeline.is_successful(documents.decode_heartbeat("i", body))


def test_equal_content_has_one_digest():
    # A resent configuration may be formatted anew.
    data = testing.configuration(7)
    first = json.dumps(data).encode()
    second = json.dumps(data, indent=2, sort_keys=True).encode()
    decoded = documents.decode_configuration(first).unwrap()
    digests = {
        documents.proposal(text, decoded).digest for text in (first, second)
    }
    assert len(digests) == 1
