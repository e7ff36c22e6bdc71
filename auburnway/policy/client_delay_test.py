"""Tests of the client delay that is estimated from round trips."""

from auburnway.policy import client_delay


def test_default_delay_until_enough_samples():
    delay = client_delay.ClientDelay(12.0)
    for _ in range(client_delay.MIN_SAMPLES - 1):
        delay.on_round_trip(2.0)
    assert delay.delay_ms(True) == 12.0
    delay.on_round_trip(2.0)
    assert delay.delay_ms(True) == 8.0
    assert delay.delay_ms(False) == 6.0


def test_client_that_closes_late_does_not_count():
    # Guards against partial answers that are sent too early because a client
    # closed its connection late.
    delay = client_delay.ClientDelay(12.0)
    for _ in range(20):
        delay.on_round_trip(6.0)
        delay.on_round_trip(client_delay.MAX_ROUND_TRIP_MS + 1)
    assert delay.delay_ms(False) == 18.0


def test_few_slow_clients_do_not_shorten_the_time_for_all():
    delay = client_delay.ClientDelay(12.0)
    for i in range(60):
        delay.on_round_trip(40.0 if i % 10 == 0 else 6.0)
    assert delay.delay_ms(False) == 18.0


def test_partial_answer_leaves_time_for_one_long_round_trip():
    # Guards against partial answers that miss the latency objective by a few
    # ms because the request waited for a busy entry.
    delay = client_delay.ClientDelay(12.0)
    for i in range(64):
        delay.on_round_trip(12.0 if i % 10 == 0 else 2.0)
    assert delay.delay_ms(True) == 8.0
    assert delay.reserved_ms(True, 250.0) == 18.0
    assert delay.reserved_ms(False, 250.0) == 16.0


def test_long_round_trips_take_a_limited_share_of_the_objective():
    # Guards against short objectives of which little is left for the parts.
    delay = client_delay.ClientDelay(12.0)
    for i in range(64):
        delay.on_round_trip(90.0 if i % 10 == 0 else 2.0)
    assert delay.reserved_ms(True, 60.0) == 12.0
    assert delay.reserved_ms(True, 20.0) == 8.0


def test_steady_round_trips_need_no_reserve():
    delay = client_delay.ClientDelay(12.0)
    assert delay.reserved_ms(True, 250.0) == 12.0
    for _ in range(20):
        delay.on_round_trip(3.0)
    assert delay.reserved_ms(True, 250.0) == 12.0
    assert delay.reserved_ms(False, 250.0) == 9.0
