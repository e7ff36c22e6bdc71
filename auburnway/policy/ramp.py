"""Share of traffic for a backend server that has just joined.

A cold server has empty caches and no connections. It starts at a small share
that rises linearly to full, so that its first slow replies concern few
requests while it still receives enough of them to warm up.
"""

# The requirement is full traffic 5 s after joining.
RAMP_MS = 5000.0
# Without a share at the start, no reply would ever measure the server.
FIRST_SHARE = 0.05


def share(added_ms: float, now_ms: float) -> float:
    """Returns the part of its normal traffic that a server should take.

    Args:
      added_ms: Instant at which the server became usable.
      now_ms: Present instant.

    Returns:
      A value from `FIRST_SHARE` to 1.
    """
    progress = (now_ms - added_ms) / RAMP_MS
    if progress >= 1.0:
        return 1.0
    return max(FIRST_SHARE, progress)
