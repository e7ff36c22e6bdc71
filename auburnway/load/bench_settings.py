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

    data_centers: tuple[str, ...] = settings.setting("Data centres.")
    entries: int = settings.setting("Entry processes.", low=1, high=16)
    control_instances: int = settings.setting("Control.", low=1, high=7)
    standin_processes: int = settings.setting(
        "Processes that share the backend servers.", low=1, high=64
    )
    note_file: str = settings.setting("Release note without policies.")
    applications: tuple[site.Application, ...] = settings.setting(
        "Applications; replica r of a shard is in data centre r."
    )
    seed: int = settings.setting("Seed of the records.", 1)


@dataclasses.dataclass(frozen=True)
class Kill:
    """A signal to a process of the fleet during a run."""

    at_ms: float = settings.setting("Instant.", low=0)
    process: str = settings.setting("Name, as entry-2.")
    signal: str = settings.setting("Signal.", "KILL", choices=("KILL", "TERM"))


@dataclasses.dataclass(frozen=True)
class BenchScenario:
    """One scenario; the bench adds addresses and truth."""

    name: str = settings.setting("Unique name.")
    summary: str = settings.setting("What happens, one line.")
    streams: tuple[scenario.Stream, ...] = settings.setting("Requests.")
    duration_ms: float = settings.setting("Length.", 10_000.0, 500)
    warm_up_ms: float = settings.setting("Left out of the figures.", 2000.0, 0)
    flood_end_ms: float = settings.setting(
        "End of a flood, to measure the recovery from it; 0 for none.", 0.0, 0
    )
    events: tuple[scenario.Event, ...] = settings.setting("Changes.", ())
    kills: tuple[Kill, ...] = settings.setting("Signals.", ())
    partitions: tuple[scenario.Partition, ...] = settings.setting(
        "Snapshots that the events add to the first application.", ()
    )
