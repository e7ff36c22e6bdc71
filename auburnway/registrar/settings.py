"""Settings of a control process of the pass-through tier."""

import dataclasses

from auburnway.kernel import settings as settings_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of a control process."""

    name: str = settings_lib.setting("Unique name of the machine.")
    ip: str = settings_lib.setting("Address of the machine.")
    data_center: str = settings_lib.setting("Data centre of this instance.")
    data_folder: str = settings_lib.setting("Folder on the disk.")
    public_address: str = settings_lib.setting(
        "Address for operators and backend servers, ip:port."
    )
    internal_port: int = settings_lib.setting(
        "Port for control instances and entries.", low=1, high=65535
    )
    seeds: tuple[str, ...] = settings_lib.setting(
        "Public addresses of control instances, ip:port."
    )
    is_first_start: bool = settings_lib.setting(
        "Whether the whole system starts for the first time; the seeds are"
        " then the first voters.",
        False,
    )
    heartbeat_ms: float = settings_lib.setting(
        "Period of the heartbeats of backend servers, in ms.",
        1_200.0,
        low=10,
    )
    body_bytes: int = settings_lib.setting(
        "Maximum size of a request body, in bytes.", 1 << 24, low=1024
    )
    remove_silent_ms: float = settings_lib.setting(
        "Time without messages after which a learner is removed, or two voters"
        " that nobody replaces, in ms.",
        8_000.0,
        low=1_000,
    )
    replace_silent_ms: float = settings_lib.setting(
        "Time without messages after which a voter is replaced by an instance"
        " that waits as a learner, in ms.",
        2_000.0,
        low=600,
    )
    tolerated_losses: int = settings_lib.setting(
        "Number of control instances that may be lost at once, with their"
        " disks. A removal leaves at least as many voters as tolerate that.",
        1,
        low=0,
        high=50,
    )
    metrics_address: str = settings_lib.setting(
        "Address that serves metrics, ip:port; empty for none.", ""
    )
