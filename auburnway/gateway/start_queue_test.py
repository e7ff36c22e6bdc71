"""Tests of the requests that wait for an entry's first configuration."""

from auburnway.core import clock as clock_lib
from auburnway.gateway import start_queue
from auburnway.kernel import process
from auburnway.policy import start_wait


class FakeRequest:
    """Stand-in of a web request."""

    def __init__(self, body, received_ms):
        self.body = body
        self.received_ms = received_ms
        self.on_gone = None


class Harness:
    """A start queue with a manual clock."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.loop = process.Loop(self.clock)
        self.refused = []
        self.queue = start_queue.StartQueue(
            self.loop.timers, self.clock, self.refused.append
        )

    def add(self, left_ms, body=b""):
        request = FakeRequest(body, self.clock.now_ms())
        self.queue.add(request, left_ms)
        return request

    def advance(self, duration_ms):
        self.clock.advance(duration_ms)
        self.loop.timers.run_due()


def test_request_waits_until_it_is_taken():
    # Guards against a refusal of a request that can soon be served, and
    # against a second answer after the request was taken.
    harness = Harness()
    request = harness.add(800.0)
    harness.advance(399.0)
    assert harness.queue.take_all() == (request,)
    assert request.on_gone is None
    harness.advance(5_000.0)
    assert harness.refused == []


def test_request_is_refused_when_its_wait_is_over():
    # Guards against a wait until the deadline of the client.
    harness = Harness()
    request = harness.add(800.0)
    harness.advance(401.0)
    assert harness.refused == [request]
    assert harness.queue.take_all() == ()


def test_entry_without_configuration_for_long_refuses_at_once():
    # Guards against requests that wait at an entry that is cut off.
    harness = Harness()
    harness.advance(start_wait.START_MS)
    request = harness.add(800.0)
    assert harness.refused == [request]


def test_request_of_a_client_that_left_is_dropped():
    # Guards against work for a client that has disconnected.
    harness = Harness()
    request = harness.add(800.0)
    request.on_gone()
    assert harness.queue.take_all() == ()
    harness.advance(401.0)
    assert harness.refused == []


def test_stop_refuses_all_waiting_requests():
    # Guards against connections that are closed without an answer.
    harness = Harness()
    requests = [harness.add(800.0), harness.add(400.0)]
    harness.queue.refuse_all()
    assert harness.refused == requests
    harness.advance(5_000.0)
    assert harness.refused == requests
