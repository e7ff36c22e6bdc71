"""Scenario of a load run: streams of requests and changes during them."""

import dataclasses

from auburnway.kernel import settings
from auburnway.standin import catalogue


@dataclasses.dataclass(frozen=True)
class Stream:
    """Requests of one caller and kind at one rate.

    A query value of `*` is replaced by a random value of that text field.
    """

    caller: str = settings.setting("caller named in the requests")
    kind: str = settings.setting("kind named in the requests")
    rank: str = settings.setting("rank that the kind is admitted under")
    rate: float = settings.setting("mean requests per second", low=0.01)
    query: dict = settings.setting("query template")
    start_ms: float = settings.setting("first instant", 0.0, 0)
    end_ms: float = settings.setting("last instant; 0 for the whole run", 0.0)
    deadline_ms: float = settings.setting("time left sent", 2000.0, 1)
    repeatable: bool = settings.setting(
        "false sends an idempotency key and expects a receipt", True
    )
    fan_out: bool = settings.setting("the kind asks each shard", True)


@dataclasses.dataclass(frozen=True)
class Event:
    """A change of stand-ins during the run, by their control requests."""

    at_ms: float = settings.setting("instant", low=0)
    servers: tuple[str, ...] = settings.setting("names or shell patterns")
    set: dict | None = settings.setting("settings to change", None)
    action: str = settings.setting("action, as start or drain", "")


@dataclasses.dataclass(frozen=True)
class Partition:
    """Number of shards of one snapshot."""

    snapshot: int = settings.setting("version of the index", low=0)
    shard_count: int = settings.setting("shards", low=1)


@dataclasses.dataclass(frozen=True)
class Truth:
    """What the stand-ins of one application serve, to check answers."""

    kinds: tuple[str, ...] = settings.setting("kinds of this application")
    partitions: tuple[Partition, ...] = settings.setting(
        "snapshots and their shards"
    )
    catalogue: str = settings.setting(
        "kind of records", "cloth", choices=tuple(catalogue.FIELDS)
    )
    records: int = settings.setting("records in snapshot 0", 2000, 1)
    seed: int = settings.setting("seed of the records", 1)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One load run."""

    name: str = settings.setting("name in reports")
    entries: tuple[str, ...] = settings.setting("addresses to start from")
    streams: tuple[Stream, ...] = settings.setting("requests")
    duration_ms: float = settings.setting("length of the run", 10_000.0, 100)
    seed: int = settings.setting("seed of arrivals and queries", 1)
    standin_controls: tuple[str, ...] = settings.setting(
        "control addresses of stand-ins, for events and records", ()
    )
    connections_per_entry: int = settings.setting("limit", 400, 1)
    warm_up_ms: float = settings.setting(
        "first part of the run that is left out of the figures", 0.0, 0
    )
    events: tuple[Event, ...] = settings.setting("changes", ())
    truth: tuple[Truth, ...] = settings.setting("what answers must be", ())
