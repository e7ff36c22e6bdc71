"""Slow start of a backend server that has just joined.

A cold server has empty caches and no connections. Its share of the traffic
starts low and rises linearly to the full share, so that few requests are
affected by the first slow replies while the server still receives enough
requests to warm up.
"""

# A server must receive its full traffic 5 s after joining.
RAMP_MS = 5000.0
# The initial share is not zero, because the latency of the server is only
# measured by replies.
INITIAL_SHARE = 0.05


def traffic_share(added_ms: float, now_ms: float) -> float:
    """Returns the share of its full traffic that a server should receive.

    Args:
      added_ms: Time at which the server became usable.
      now_ms: Current time.

    Returns:
      A value from `INITIAL_SHARE` to 1.
    """
    progress = (now_ms - added_ms) / RAMP_MS
    if progress >= 1.0:
        return 1.0
    return max(INITIAL_SHARE, progress)
