"""Settings of the bench: shape of the scaled fleet, scenarios, policies."""

import dataclasses

from auburnway.demo import site
from auburnway.kernel import settings
from auburnway.load import scenario

# Policy items of the release note by name of the column. The first is under
# test; the others are the baselines of the design page, section 10.
POLICIES = {
    "auburnway": {
        "replica_choice": "two_choices",
        "hedging": "quantile",
        "admission": "ranked",
    },
    "round_robin": {
        "replica_choice": "round_robin",
        "hedging": "none",
        "admission": "first_come",
    },
    "fixed_timeout": {
        "replica_choice": "round_robin",
        "hedging": "fixed_timeout",
        "admission": "first_come",
    },
}


@dataclasses.dataclass(frozen=True)
class Shape:
    """The scaled fleet that all scenarios run on."""

    data_centers: tuple[str, ...] = settings.setting("data centres")
    entries: int = settings.setting("entry processes", low=1, high=16)
    control_instances: int = settings.setting("control", low=1, high=7)
    standin_processes: int = settings.setting(
        "processes that share the backend servers", low=1, high=64
    )
    note_file: str = settings.setting("release note without policies")
    applications: tuple[site.Application, ...] = settings.setting(
        "applications; replica r of a shard is in data centre r"
    )
    seed: int = settings.setting("seed of the records", 1)


@dataclasses.dataclass(frozen=True)
class Kill:
    """A signal to a process of the fleet during a run."""

    at_ms: float = settings.setting("instant", low=0)
    process: str = settings.setting("name, as entry-2")
    signal: str = settings.setting("signal", "KILL", choices=("KILL", "TERM"))


@dataclasses.dataclass(frozen=True)
class BenchScenario:
    """One scenario; the bench adds addresses and truth."""

    name: str = settings.setting("unique name")
    summary: str = settings.setting("what happens, one line")
    streams: tuple[scenario.Stream, ...] = settings.setting("requests")
    duration_ms: float = settings.setting("length", 10_000.0, 500)
    warm_up_ms: float = settings.setting("left out of the figures", 2000.0, 0)
    flood_end_ms: float = settings.setting(
        "end of a flood, to measure the recovery from it; 0 for none", 0.0, 0
    )
    events: tuple[scenario.Event, ...] = settings.setting("changes", ())
    kills: tuple[Kill, ...] = settings.setting("signals", ())
    partitions: tuple[scenario.Partition, ...] = settings.setting(
        "snapshots that the events add to the first application", ()
    )
