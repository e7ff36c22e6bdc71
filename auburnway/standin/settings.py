"""Settings of the stand-in; most can be changed at run time."""

import dataclasses

from auburnway.kernel import settings
from auburnway.standin import catalogue


@dataclasses.dataclass(frozen=True)
class SnapshotSettings:
    """Shards of one snapshot on a server."""

    snapshot: int = settings.setting("Version of the snapshot.", low=0)
    shard_count: int = settings.setting(
        "Number of shards of the snapshot.", low=1
    )
    shards: tuple[int, ...] = settings.setting("Shards that the server holds.")


@dataclasses.dataclass(frozen=True)
class ServerSettings:
    """One fake backend server."""

    name: str = settings.setting("Unique name.")
    application: str = settings.setting("Application that it belongs to.")
    address: str = settings.setting(
        "`ip:port` to listen on; port 0 selects a free port."
    )
    data_center: str = settings.setting("Data centre.", "dc1")
    slots: int = settings.setting("Requests that run at once.", 3, 1)
    connection_limit: int = settings.setting(
        "Maximum number of connections.", 40, 1
    )
    queue: int = settings.setting("Maximum number of waiting requests.", 0, 0)
    catalogue: str = settings.setting(
        "Kind of the records that are served.",
        "cloth",
        choices=tuple(catalogue.FIELDS),
    )
    records: int = settings.setting("Number of records in snapshot 0.", 2000, 1)
    snapshots: tuple[SnapshotSettings, ...] = settings.setting(
        "Snapshots that the server holds.", ()
    )
    service_ms: float = settings.setting("Median service time, ms.", 10.0, 0)
    service_sigma: float = settings.setting(
        "Sigma of the lognormal service time.", 0.3, 0, 3
    )
    warming_ms: float = settings.setting(
        "Time in state `warming`, ms; requests are shed.", 0.0, 0
    )
    cold_ms: float = settings.setting(
        "Duration of the cold start after `warming`, ms.", 0.0, 0
    )
    cold_factor: float = settings.setting(
        "Factor on the service time when the cold start begins.", 4.0, 1
    )
    straggler_factor: float = settings.setting(
        "Factor on the service time.", 1.0, 0
    )
    load_lag_ms: float = settings.setting(
        "Age of the load that is reported, ms.", 0.0, 0
    )
    reported_load: float = settings.setting(
        "Load to report instead of the real load; -1 for the real load.",
        -1.0,
        -1,
    )
    fail_fast: bool = settings.setting(
        "Answer each run request with an error.", False
    )
    fail_status: int = settings.setting(
        "HTTP status of fail_fast.", 500, 400, 599
    )
    poison: str = settings.setting(
        "Crash on a query with this field value; empty for never.", ""
    )
    crossed_share: float = settings.setting(
        "Share of replies with the body of the previous reply.", 0.0, 0, 1
    )
    record_path: str = settings.setting(
        "File of non-repeatable runs, synced for each run; empty for none.", ""
    )


@dataclasses.dataclass(frozen=True)
class Settings:
    """A stand-in process with one or more backend servers."""

    entries: tuple[str, ...] = settings.setting(
        "Addresses of the entries for the first announcements."
    )
    fleet_token: str = settings.setting("Value of the header x-fleet-token.")
    servers: tuple[ServerSettings, ...] = settings.setting("Backend servers.")
    control_address: str = settings.setting(
        "`ip:port` that serves /v1/control and /v1/record for all servers of"
        " the process, also while the servers are down; empty for none.",
        "",
    )
    seed: int = settings.setting("Random seed of records and service times.", 1)
    heartbeat_ms: float = settings.setting(
        "Period of announcements in ms until an entry sets another.", 1000.0, 50
    )
    crash_exits: bool = settings.setting(
        "Whether a crash ends the process instead of resetting the server.",
        False,
    )
    drain_min_ms: float = settings.setting(
        "Minimum time in ms between the start of a drain and the exit.",
        500.0,
        0,
    )
