from auburnway.policy import start_wait


def test_request_waits_for_half_of_its_time():
    # Guards against a wait that leaves no time for another attempt.
    assert start_wait.wait_ms(100.0, 800.0, 0, 0) == 400.0


def test_wait_ends_with_the_start_of_the_entry():
    # Guards against an entry that is cut off from control and lets all
    # requests wait for nothing.
    assert start_wait.wait_ms(1_900.0, 800.0, 0, 0) == 100.0
    assert start_wait.wait_ms(2_000.0, 800.0, 0, 0) == 0.0


def test_flood_does_not_wait():
    # Guards against memory that is filled by waiting requests.
    limit = start_wait.MAX_WAITING_COUNT
    assert start_wait.wait_ms(0.0, 800.0, limit - 1, 0) > 0.0
    assert start_wait.wait_ms(0.0, 800.0, limit, 0) == 0.0
    size = start_wait.MAX_WAITING_BYTES
    assert start_wait.wait_ms(0.0, 800.0, 0, size) > 0.0
    assert start_wait.wait_ms(0.0, 800.0, 0, size + 1) == 0.0


def test_expired_request_does_not_wait():
    # Guards against a negative time.
    assert start_wait.wait_ms(0.0, -5.0, 0, 0) == 0.0
