"""Scenario of a load run: streams of requests and changes during them."""

import dataclasses

from auburnway.kernel import settings
from auburnway.standin import catalogue


@dataclasses.dataclass(frozen=True)
class Stream:
    """Requests of one caller and kind at one rate.

    A query value of `*` is replaced by a random value of that text field.
    """

    caller: str = settings.setting("Caller named in the requests.")
    kind: str = settings.setting("Kind named in the requests.")
    rank: str = settings.setting("Rank that the kind is admitted under.")
    rate: float = settings.setting("Mean requests per second.", low=0.01)
    query: dict = settings.setting("Query template.")
    start_ms: float = settings.setting("First instant.", 0.0, 0)
    end_ms: float = settings.setting("Last instant; 0 for the whole run.", 0.0)
    deadline_ms: float = settings.setting("Time left sent.", 2000.0, 1)
    repeatable: bool = settings.setting(
        "False sends an idempotency key and expects a receipt.", True
    )
    fan_out: bool = settings.setting("The kind asks each shard.", True)


@dataclasses.dataclass(frozen=True)
class Event:
    """A change of stand-ins during the run, by their control requests."""

    at_ms: float = settings.setting("Instant.", low=0)
    servers: tuple[str, ...] = settings.setting("Names or shell patterns.")
    set: dict | None = settings.setting("Settings to change.", None)
    action: str = settings.setting("Action, as start or drain.", "")


@dataclasses.dataclass(frozen=True)
class Partition:
    """Number of shards of one snapshot."""

    snapshot: int = settings.setting("Version of the index.", low=0)
    shard_count: int = settings.setting("Shards.", low=1)


@dataclasses.dataclass(frozen=True)
class Truth:
    """What the stand-ins of one application serve, to check answers."""

    kinds: tuple[str, ...] = settings.setting("Kinds of this application.")
    partitions: tuple[Partition, ...] = settings.setting(
        "Snapshots and their shards."
    )
    catalogue: str = settings.setting(
        "Kind of records.", "cloth", choices=tuple(catalogue.FIELDS)
    )
    records: int = settings.setting("Records in snapshot 0.", 2000, 1)
    seed: int = settings.setting("Seed of the records.", 1)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One load run."""

    name: str = settings.setting("Name in reports.")
    entries: tuple[str, ...] = settings.setting("Addresses to start from.")
    streams: tuple[Stream, ...] = settings.setting("Requests.")
    duration_ms: float = settings.setting("Length of the run.", 10_000.0, 100)
    seed: int = settings.setting("Seed of arrivals and queries.", 1)
    standin_controls: tuple[str, ...] = settings.setting(
        "Control addresses of stand-ins, for events and records.", ()
    )
    connections_per_entry: int = settings.setting("Limit.", 400, 1)
    warm_up_ms: float = settings.setting(
        "First part of the run that is left out of the figures.", 0.0, 0
    )
    events: tuple[Event, ...] = settings.setting("Changes.", ())
    truth: tuple[Truth, ...] = settings.setting("What answers must be.", ())
