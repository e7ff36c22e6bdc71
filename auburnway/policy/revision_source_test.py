"""Tests of the choice of the source of a configuration."""

from auburnway.policy import revision_source

LOCATIONS = {"near": "a", "far": "b", "unknown": None}


def wait_ms(address, locations=LOCATIONS, is_first=False):
    return revision_source.wait_ms(address, locations, "a", is_first)


def test_instance_of_the_own_data_centre_is_waited_for():
    # Guards against configurations that cross data centres once an entry.
    assert wait_ms("near") == 0.0
    assert wait_ms("far") == revision_source.NEARBY_WAIT_MS
    assert wait_ms("unknown") == revision_source.NEARBY_WAIT_MS


def test_without_an_instance_nearby_the_first_one_serves():
    # Guards against a wait for an instance that is lost.
    assert wait_ms("far", {"far": "b"}) == 0.0


def test_first_configuration_is_fetched_at_once():
    # Guards against a longer outage after a loss of all processes.
    assert wait_ms("far", is_first=True) == 0.0
