"""Waiting time of requests that reach an entry before its configuration does.

An entry listens before it knows the routes. After a loss of all processes it
is up before the control instances are, and the configuration follows as soon
as one of them answers. A refused client often returns too early and is refused
for good, so a request waits for a part of its time. The wait is short enough
to leave time for another attempt, and an entry that has run for longer without
a configuration is probably cut off and refuses at once.
"""

# Age of the process up to which requests wait. Control instances that were
# started together with the entry answer within this time.
START_MS = 2_000.0
# Share of a request's time left that it may wait. The other half remains for
# an attempt at another entry.
WAIT_SHARE = 0.5
# Limits of what waits, so that a flood cannot fill the memory.
MAX_WAITING_COUNT = 256
MAX_WAITING_BYTES = 8 << 20


def wait_ms(
    age_ms: float, left_ms: float, waiting_count: int, waiting_bytes: int
) -> float:
    """Returns how long a request waits for the first configuration.

    Args:
      age_ms: Age of the process.
      left_ms: Time until the deadline of the request.
      waiting_count: Requests that wait already.
      waiting_bytes: Size of the bodies of all waiting requests, this one
        included.

    Returns:
      Time in ms; 0 if the request is refused at once.
    """
    is_full = (
        waiting_count >= MAX_WAITING_COUNT or waiting_bytes > MAX_WAITING_BYTES
    )
    if is_full or age_ms >= START_MS:
        return 0.0
    return max(min(WAIT_SHARE * left_ms, START_MS - age_ms), 0.0)
