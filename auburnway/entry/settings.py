"""Settings of the entry process."""

import dataclasses

from auburnway.kernel import settings


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of one entry process, including its addresses."""

    name: str = settings.setting("Unique name of this entry.")
    data_center: str = settings.setting("Data centre of this instance.")
    address: str = settings.setting("`ip:port` for callers and announcements.")
    peer_address: str = settings.setting("UDP `ip:port` for other entries.")
    control_addresses: tuple[str, ...] = settings.setting(
        "`ip:port` of the control instances."
    )
    token: str = settings.setting(
        "Shared secret of the fleet, sent to control and by backend servers."
    )
    seed_peers: tuple[str, ...] = settings.setting(
        "UDP `ip:port` of other entries to contact first.", ()
    )
    address_ttl_ms: float = settings.setting(
        "How long callers may cache the response of GET /v1/addresses, ms. A"
        " planned stop takes at least as long.",
        2000.0,
        low=100,
        high=600_000,
    )
    when_isolated: str = settings.setting(
        "Behaviour without a lease: `majority` serves while a majority of"
        " entries have no lease either, `fence` stops serving, `serve`"
        " continues to serve.",
        "majority",
        choices=("majority", "fence", "serve"),
    )
    heartbeat_ms: float = settings.setting(
        "Period of the backend servers' announcements, ms.",
        1000.0,
        low=50,
        high=60_000,
    )
    backend_lease_ms: float = settings.setting(
        "Lease of an announced backend server, ms; should span several"
        " heartbeats.",
        5000.0,
        low=200,
        high=600_000,
    )
    max_body_bytes: int = settings.setting(
        "Largest body of a caller's request, bytes.",
        65536,
        low=1024,
        high=10**8,
    )
    max_header_bytes: int = settings.setting(
        "Largest header of a caller's request, bytes.",
        16384,
        low=1024,
        high=10**6,
    )
    max_connections: int = settings.setting(
        "Largest number of callers' connections.", 2000, low=1, high=60_000
    )
    request_read_timeout_ms: float = settings.setting(
        "Time in which a caller must send a whole request, ms.",
        5000.0,
        low=100,
        high=600_000,
    )
    idle_connection_ms: float = settings.setting(
        "Time after which a caller's idle connection is closed, ms.",
        30_000.0,
        low=1000,
        high=3_600_000,
    )
    seed: int = settings.setting(
        "Seed of the random choices; 0 uses a seed from the system.", 0
    )
