"""Settings of a site that is scaled down to one machine."""

import dataclasses

from auburnway.kernel import settings


@dataclasses.dataclass(frozen=True)
class Application:
    """One application, whose services are replicated shards."""

    name: str = settings.setting("Unique name.")
    services: int = settings.setting("Number of services (shards).", low=1)
    backend_servers: int = settings.setting(
        "Backend servers of each service.", low=1
    )
    slots: int = settings.setting("Slots of each backend server.", low=1)
    connections: int = settings.setting(
        "Connections that each backend server accepts.", low=1
    )
    catalogue: str = settings.setting("Kind of the records that are served.")
    records: int = settings.setting(
        "Number of records in all shards together.", 2000
    )
    service_ms: float = settings.setting("Median service time, ms.", 8.0)
    service_sigma: float = settings.setting(
        "Sigma of the logarithm of the service time.", 0.3
    )


@dataclasses.dataclass(frozen=True)
class Query:
    """A request that the demonstration sends."""

    caller: str = settings.setting("Caller.")
    kind: str = settings.setting("Kind of request.")
    application: str = settings.setting("Application that runs it.")
    rank: str = settings.setting("Rank of the kind of request.")
    fields: tuple[str, ...] = settings.setting(
        "Field values to search for, as `name=value`.", ()
    )
    rate: float = settings.setting("Requests per second under load.", 10.0)
    repeatable: bool = settings.setting(
        "False to send an idempotency key.", True
    )


@dataclasses.dataclass(frozen=True)
class Site:
    """Site that the demonstration runs."""

    name: str = settings.setting("Name of the site.")
    data_centers: tuple[str, ...] = settings.setting("Data centres.")
    note_file: str = settings.setting(
        "File of the first release note, in the folder of this file."
    )
    second_note_file: str = settings.setting("File of the second release note.")
    applications: tuple[Application, ...] = settings.setting(
        "Applications of the site."
    )
    entries: int = settings.setting(
        "Number of entry processes.", 7, low=1, high=16
    )
    control_instances: int = settings.setting(
        "Number of control processes, each with a data folder.",
        3,
        low=1,
        high=7,
    )
    queries: tuple[Query, ...] = settings.setting("Requests to send.", ())
    load_ms: float = settings.setting("Duration of the load, ms.", 12_000.0)
    seed: int = settings.setting("Random seed of the records and the load.", 1)
