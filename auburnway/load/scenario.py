"""Settings of a load run: streams of requests and scheduled changes."""

import dataclasses

from auburnway.kernel import settings
from auburnway.standin import catalogue


@dataclasses.dataclass(frozen=True)
class Stream:
    """Requests of one caller and kind with one mean rate.

    A query value of `*` is replaced by a random value of that text field.
    """

    caller: str = settings.setting("Caller of the requests.")
    kind: str = settings.setting("Kind of the requests.")
    rank: str = settings.setting("Rank of the kind.")
    rate: float = settings.setting("Mean requests per second.", low=0.01)
    query: dict = settings.setting(
        "Query template; `*` stands for a random value."
    )
    start_ms: float = settings.setting(
        "Start of the stream, from the start of the run.", 0.0, 0
    )
    end_ms: float = settings.setting(
        "End of the stream, from the start of the run; 0 for the end of the"
        " run.",
        0.0,
    )
    deadline_ms: float = settings.setting(
        "Time in which each request must be answered.", 2000.0, 1
    )
    repeatable: bool = settings.setting(
        "Whether the kind is repeatable. If not, each request has an"
        " idempotency key and its answer must be a receipt.",
        True,
    )
    fan_out: bool = settings.setting(
        "Whether the kind sends a sub-request to each shard.", True
    )


@dataclasses.dataclass(frozen=True)
class Event:
    """A change of simulated backend servers during the run."""

    at_ms: float = settings.setting(
        "Time of the change, from the start of the run.", low=0
    )
    servers: tuple[str, ...] = settings.setting(
        "Names or shell patterns of the backend servers."
    )
    set: dict | None = settings.setting("Settings to change.", None)
    action: str = settings.setting(
        "Action to run, for example start or drain.", ""
    )


@dataclasses.dataclass(frozen=True)
class Partition:
    """Number of shards of one snapshot."""

    snapshot: int = settings.setting("Version of the index.", low=0)
    shard_count: int = settings.setting("Number of shards.", low=1)


@dataclasses.dataclass(frozen=True)
class Truth:
    """Ground truth of one application, against which answers are checked."""

    kinds: tuple[str, ...] = settings.setting("Kinds of this application.")
    partitions: tuple[Partition, ...] = settings.setting(
        "Snapshots with their numbers of shards."
    )
    catalogue: str = settings.setting(
        "Kind of records.", "cloth", choices=tuple(catalogue.FIELDS)
    )
    records: int = settings.setting("Number of records in snapshot 0.", 2000, 1)
    seed: int = settings.setting("Random seed of the records.", 1)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Settings of one load run."""

    name: str = settings.setting("Name of the scenario in reports.")
    entries: tuple[str, ...] = settings.setting(
        "Addresses of entries to contact first."
    )
    streams: tuple[Stream, ...] = settings.setting("Streams of requests.")
    duration_ms: float = settings.setting("Length of the run.", 10_000.0, 100)
    seed: int = settings.setting("Random seed of arrivals and queries.", 1)
    standin_controls: tuple[str, ...] = settings.setting(
        "Control addresses of the stand-in processes, for events and records.",
        (),
    )
    connections_per_entry: int = settings.setting(
        "Maximum number of connections to each entry.", 400, 1
    )
    warm_up_ms: float = settings.setting(
        "First part of the run, which is excluded from the figures.", 0.0, 0
    )
    events: tuple[Event, ...] = settings.setting(
        "Changes of the stand-ins during the run.", ()
    )
    truth: tuple[Truth, ...] = settings.setting(
        "Expected records of each application, to check answers.", ()
    )
