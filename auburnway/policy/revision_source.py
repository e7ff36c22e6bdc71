"""Choice of the control instance that a new configuration is fetched from.

The leader announces a configuration first and the other control instances a
heartbeat later. An entry that fetched it from the first one to announce it
would move it from another data centre, so it waits a moment for an instance of
its own.
"""

from collections import abc

# Time that an entry waits for an instance of its own data centre: two
# heartbeats of the leader.
NEARBY_WAIT_MS = 150.0


def wait_ms(
    address: str,
    locations: abc.Mapping[str, str | None],
    data_center: str,
    is_first: bool,
) -> float:
    """Returns how long to wait for another instance before fetching.

    Args:
      address: Control instance that announces the configuration.
      locations: Data centre of each connected control instance.
      data_center: Data centre of the entry.
      is_first: Whether the entry has no configuration yet; it cannot serve
        without one.
    """
    is_near = locations.get(address) == data_center
    has_near = data_center in locations.values()
    return 0.0 if is_first or is_near or not has_near else NEARBY_WAIT_MS
