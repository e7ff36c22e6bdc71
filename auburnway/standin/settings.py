"""Settings of the stand-in; most can also be changed at run time."""

import dataclasses

from auburnway.kernel import settings
from auburnway.standin import catalogue


@dataclasses.dataclass(frozen=True)
class SnapshotSettings:
    """Shards of one snapshot that a server holds."""

    snapshot: int = settings.setting("Version of the index.", low=0)
    shard_count: int = settings.setting("Shards of this snapshot.", low=1)
    shards: tuple[int, ...] = settings.setting("Shards held here.")


@dataclasses.dataclass(frozen=True)
class ServerSettings:
    """One fake backend server."""

    name: str = settings.setting("Unique name.")
    application: str = settings.setting("Application that it belongs to.")
    address: str = settings.setting("`ip:port` to listen on; port 0 is free.")
    data_center: str = settings.setting("Data centre.", "dc1")
    slots: int = settings.setting("Requests run at once.", 3, 1)
    connection_limit: int = settings.setting("Connections accepted.", 40, 1)
    queue: int = settings.setting("Requests that wait for a slot.", 0, 0)
    catalogue: str = settings.setting(
        "Kind of records.", "cloth", choices=tuple(catalogue.FIELDS)
    )
    records: int = settings.setting("Records in snapshot 0.", 2000, 1)
    snapshots: tuple[SnapshotSettings, ...] = settings.setting(
        "Snapshots held.", ()
    )
    service_ms: float = settings.setting("Median service time.", 10.0, 0)
    service_sigma: float = settings.setting(
        "Sigma of the lognormal service time.", 0.3, 0, 3
    )
    warming_ms: float = settings.setting(
        "Time in state `warming`, in which work is shed.", 0.0, 0
    )
    cold_ms: float = settings.setting("Slow time after warming.", 0.0, 0)
    cold_factor: float = settings.setting(
        "Service time factor at the start of the slow time.", 4.0, 1
    )
    straggler_factor: float = settings.setting("Service time factor.", 1.0, 0)
    load_lag_ms: float = settings.setting("Age of the reported load.", 0.0, 0)
    reported_load: float = settings.setting(
        "False load to report; -1 reports the true one.", -1.0, -1
    )
    fail_fast: bool = settings.setting("Answer each run with an error.", False)
    fail_status: int = settings.setting(
        "HTTP status of fail_fast.", 500, 400, 599
    )
    poison: str = settings.setting(
        "Crash on a query that holds this value; empty for never.", ""
    )
    crossed_share: float = settings.setting(
        "Share of replies that carry the body of an earlier reply.", 0.0, 0, 1
    )
    record_path: str = settings.setting(
        "File of non-repeatable runs, synced at each; empty for none.", ""
    )


@dataclasses.dataclass(frozen=True)
class Settings:
    """A stand-in process that hosts one or more backend servers."""

    entries: tuple[str, ...] = settings.setting(
        "Addresses of entries that are announced to at first."
    )
    fleet_token: str = settings.setting("Value of the header x-fleet-token.")
    servers: tuple[ServerSettings, ...] = settings.setting("Backend servers.")
    control_address: str = settings.setting(
        "`ip:port` that serves /v1/control and /v1/record for all servers of"
        " the process, also while they are down; empty for none.",
        "",
    )
    seed: int = settings.setting("Seed of records and service times.", 1)
    heartbeat_ms: float = settings.setting(
        "Period of announcements until an entry says another.", 1000.0, 50
    )
    crash_exits: bool = settings.setting(
        "A crash ends the process (true) or only resets the server.", False
    )
    drain_min_ms: float = settings.setting(
        "Least time between the start of a drain and the exit.", 500.0, 0
    )
