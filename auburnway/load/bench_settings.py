"""Settings of the benchmark: the scaled fleet, scenarios and policies."""

import dataclasses

from auburnway.demo import site
from auburnway.kernel import settings
from auburnway.load import scenario

# Policy items of the release note by name of the policy set. The first set is
# under test; the others are the baselines of the design page, section 10.
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
class FleetSettings:
    """Settings of the scaled fleet on which all scenarios run."""

    data_centers: tuple[str, ...] = settings.setting("Data centres.")
    entries: int = settings.setting(
        "Number of entry processes.", low=1, high=16
    )
    control_instances: int = settings.setting(
        "Number of control processes.", low=1, high=7
    )
    standin_processes: int = settings.setting(
        "Number of processes among which the simulated backend servers are"
        " divided.",
        low=1,
        high=64,
    )
    note_file: str = settings.setting(
        "File of the release note, without policy items."
    )
    applications: tuple[site.Application, ...] = settings.setting(
        "Applications. The replicas of each shard are assigned to the data"
        " centres in turn."
    )
    seed: int = settings.setting("Random seed of the records.", 1)


@dataclasses.dataclass(frozen=True)
class Kill:
    """A signal sent to a process of the fleet during a run."""

    at_ms: float = settings.setting(
        "Time of the signal, from the start of the run.", low=0
    )
    process: str = settings.setting("Name of the process, for example entry-2.")
    signal: str = settings.setting(
        "Signal to send.", "KILL", choices=("KILL", "TERM")
    )


@dataclasses.dataclass(frozen=True)
class BenchScenario:
    """One scenario; the benchmark adds addresses and expected records."""

    name: str = settings.setting("Unique name of the scenario.")
    summary: str = settings.setting("Description of the scenario, one line.")
    streams: tuple[scenario.Stream, ...] = settings.setting(
        "Streams of requests."
    )
    duration_ms: float = settings.setting("Length of the run.", 10_000.0, 500)
    warm_up_ms: float = settings.setting(
        "First part of the run, which is excluded from the figures.", 2000.0, 0
    )
    flood_end_ms: float = settings.setting(
        "End of a flood, from which the recovery time is measured; 0 without"
        " a flood.",
        0.0,
        0,
    )
    events: tuple[scenario.Event, ...] = settings.setting(
        "Changes of the stand-ins during the run.", ()
    )
    kills: tuple[Kill, ...] = settings.setting(
        "Signals sent to processes during the run.", ()
    )
    partitions: tuple[scenario.Partition, ...] = settings.setting(
        "Snapshots that the events add to the first application.", ()
    )
