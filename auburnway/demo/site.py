"""Shape of a site, scaled to one machine, read from TOML."""

import dataclasses

from auburnway.kernel import settings


@dataclasses.dataclass(frozen=True)
class Application:
    """One application: its services are shards with replicas."""

    name: str = settings.setting("Unique name.")
    services: int = settings.setting("Number of services (shards).", low=1)
    backend_servers: int = settings.setting(
        "Backend servers of each service.", low=1
    )
    slots: int = settings.setting("Slots of each backend server.", low=1)
    connections: int = settings.setting(
        "Connections that each backend server accepts.", low=1
    )
    catalogue: str = settings.setting("Kind of records served.")
    records: int = settings.setting("Records in the whole index.", 2000)
    service_ms: float = settings.setting("Median service time, ms.", 8.0)
    service_sigma: float = settings.setting("Sigma of its logarithm.", 0.3)


@dataclasses.dataclass(frozen=True)
class Query:
    """A request that the demonstration sends."""

    caller: str = settings.setting("Caller.")
    kind: str = settings.setting("Kind of request.")
    application: str = settings.setting("Application that runs it.")
    rank: str = settings.setting("Rank that the kind is admitted under.")
    fields: tuple[str, ...] = settings.setting(
        "Values to look for, as `name=value`.", ()
    )
    rate: float = settings.setting("Requests a second under load.", 10.0)
    repeatable: bool = settings.setting("False to send a key.", True)


@dataclasses.dataclass(frozen=True)
class Site:
    """A site as the demonstration starts it."""

    name: str = settings.setting("Name of the site.")
    data_centers: tuple[str, ...] = settings.setting("Data centres.")
    note_file: str = settings.setting("First release note, beside this file.")
    second_note_file: str = settings.setting("Second release note.")
    applications: tuple[Application, ...] = settings.setting("Applications.")
    entries: int = settings.setting("Entry processes.", 7, low=1, high=16)
    control_instances: int = settings.setting(
        "Control processes with a disk.", 3, low=1, high=7
    )
    queries: tuple[Query, ...] = settings.setting("Requests to send.", ())
    load_ms: float = settings.setting("Length of the load, ms.", 12_000.0)
    seed: int = settings.setting("Seed of records and load.", 1)
