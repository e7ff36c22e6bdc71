import pathlib

import pytest
from returns import pipeline

from auburnway.core import configuration
from auburnway.core import note as note_lib
from auburnway.kernel import registry
from auburnway.kernel import settings
from auburnway.load import bench
from auburnway.load import bench_report
from auburnway.load import bench_settings
from auburnway.load import scenario as scenario_lib

SETTINGS_FOLDER = pathlib.Path(__file__).parents[2] / "settings" / "bench"
SCENARIOS = sorted(SETTINGS_FOLDER.glob("*.toml"))
NOTE_TEXT = (SETTINGS_FOLDER / "fleet" / "note.toml").read_text()
FLEET_SETTINGS = settings.load(
    bench_settings.FleetSettings, SETTINGS_FOLDER / "fleet" / "fleet.toml"
).unwrap()


class FakeFleet:
    entry_addresses = ["127.0.0.1:1"]
    standin_controls = ["127.0.0.1:2"]


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario_file_makes_a_valid_load_scenario(path):
    # Without this test, an invalid file is found only after a fleet has been
    # started.
    loaded = settings.load(bench_settings.BenchScenario, path)
    assert pipeline.is_successful(loaded), loaded
    scenario = loaded.unwrap()
    assert scenario.name == path.stem
    bench_run = bench.Bench(FLEET_SETTINGS, NOTE_TEXT, pathlib.Path())
    data = bench_run._load_scenario_data(scenario, 1, FakeFleet())
    checked, errors = settings.check(scenario_lib.Scenario, data, path.name)
    assert not errors
    kinds = bench.applications_by_kind(NOTE_TEXT)
    assert {stream.kind for stream in checked.streams} <= kinds.keys()


@pytest.mark.parametrize("policy", bench_settings.POLICIES)
def test_policies_are_registered_and_accepted(policy):
    # With a misspelt policy name, the benchmark would compare the default
    # policy with itself.
    registry.load("auburnway.policy")
    text = NOTE_TEXT + bench.policy_note_lines(policy)
    note = note_lib.parse(text, "note").unwrap()
    assert not note_lib.check(configuration.EMPTY, note)
    for name, value in bench_settings.POLICIES[policy].items():
        assert value in registry.names(name)


def test_table_shows_median_and_spread():
    rows = [
        dict.fromkeys(bench_report.COLUMNS, value)
        for value in (0.25, 0.75, 0.5)
    ]
    results = {"calm": {"auburnway": bench_report.summarize_runs(rows)}}
    table = bench_report.as_markdown(results).splitlines()
    assert len(table) == 3
    assert "| calm | auburnway | 0.5 (0.2 to 0.8) |" in table[2]
    assert "50.0% (25.0% to 75.0%)" in table[2]


def test_recovery_is_the_end_of_the_last_slow_period():
    series = [
        {"at_ms": 500.0 * index, "p99_ms": p99}
        for index, p99 in enumerate(
            [900.0, 900.0, 900.0, 80.0, 90.0, 85.0, 80.0]
        )
    ]
    urgent = {"series": series}
    assert bench_report._recovery_ms(urgent, 500.0) == 1000.0
    assert bench_report._recovery_ms(urgent, 0.0) is None
    assert bench_report._recovery_ms(urgent, 1500.0) == 0.0


@pytest.mark.processes
def test_short_run_on_a_real_fleet(tmp_path):
    # Checks that a scenario file leads to a report; the figures are not
    # checked.
    scenario = settings.load(
        bench_settings.BenchScenario, SETTINGS_FOLDER / "calm.toml"
    ).unwrap()
    short = bench_settings.BenchScenario(
        scenario.name, scenario.summary, scenario.streams, 2000.0, 0.0
    )
    bench_run = bench.Bench(FLEET_SETTINGS, NOTE_TEXT, tmp_path)
    assert bench_run.run([short], ["auburnway"], 1) == 0
    assert not bench_run._failures
    assert (tmp_path / "bench.md").exists()
    assert (tmp_path / "bench.png").exists()
