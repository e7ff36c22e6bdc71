"""Settings of an entry of the pass-through tier."""

import dataclasses

from auburnway.kernel import settings as settings_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of an entry."""

    name: str = settings_lib.setting("Unique name of the machine.")
    ip: str = settings_lib.setting("Address of the machine.")
    data_center: str = settings_lib.setting("Data centre of this instance.")
    client_address: str = settings_lib.setting("Address for clients, ip:port.")
    ready_address: str = settings_lib.setting(
        "Address that answers whether this entry is ready, ip:port."
    )
    directory_address: str = settings_lib.setting(
        "Address that serves the directory of entries to clients, ip:port;"
        " empty for none.",
        "",
    )
    internal_port: int = settings_lib.setting(
        "Port of control instances for entries.", low=1, high=65535
    )
    seeds: tuple[str, ...] = settings_lib.setting(
        "Public addresses of control instances, ip:port."
    )
    retry_share: float = settings_lib.setting(
        "Hedges and retries of all entries to a service per request to it.",
        0.2,
        low=0,
        high=1,
    )
    retry_slack: float = settings_lib.setting(
        "Hedges and retries of all entries to a service in one window of 10 s,"
        " in addition to retry_share.",
        20.0,
        low=0,
    )
    grace_ms: float = settings_lib.setting(
        "Time from SIGTERM to the end of the process, in ms.",
        6_000.0,
        low=100,
    )
    address_ttl_ms: float = settings_lib.setting(
        "How long clients may cache an answer of the directory, in ms.",
        1_000.0,
        low=100,
    )
    address_limit: int = settings_lib.setting(
        "Maximum number of entries in an answer of the directory.",
        64,
        low=1,
    )
    processor_share: float = settings_lib.setting(
        "Share of each core that this process may use.", 1.0, low=0.001, high=1
    )
    processor_cores: float = settings_lib.setting(
        "Processor cores of the instance, as a factor of speed.", 1.0, low=0.01
    )
    client_delay_ms: float = settings_lib.setting(
        "Latency of a request outside the entry, in ms, which is subtracted"
        " from a route's latency objective until round trips to clients are"
        " measured.",
        12.0,
        low=0,
    )
    connect_timeout_ms: float = settings_lib.setting(
        "Timeout for connecting to a backend server, in ms.",
        200.0,
        low=1,
    )
    max_reply_bytes: int = settings_lib.setting(
        "Largest body of a backend server's reply, bytes. A longer reply is"
        " dropped and counts as a failure of its server.",
        4 << 20,
        low=1024,
        high=1 << 31,
    )
    max_reply_header_bytes: int = settings_lib.setting(
        "Largest head of a backend server's reply, bytes.",
        65_536,
        low=1024,
        high=1 << 24,
    )
    reply_memory_bytes: int = settings_lib.setting(
        "Memory for all replies that are being received, bytes; the longest"
        " one is dropped when it is used up.",
        12 << 20,
        low=65_536,
        high=1 << 40,
    )
    other_data_center_ms: float = settings_lib.setting(
        "Time added to the cost of a server in another data centre, in ms: a"
        " round trip and the cost of the traffic.",
        5.0,
        low=0,
    )
    metrics_address: str = settings_lib.setting(
        "Address that serves metrics, ip:port; empty for none.", ""
    )
