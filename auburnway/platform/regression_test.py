import json

from auburnway.platform import regression


def write_entry(folder, entry_id, site="river", mode=None, **worths):
    days = [
        {"name": name, "G": worth, "gate": True, "small_twin": None}
        for name, worth in worths.items()
    ]
    entry = {"id": entry_id, "cmd": "score", "site": site, "days": days}
    if mode is not None:
        entry["mode"] = mode
    path = folder / f"{entry_id}.json"
    path.write_text(json.dumps(entry))


def test_uses_the_last_entry_of_the_same_site_and_mode(tmp_path):
    # Guards against a comparison of whole with quick scores, or of two sites.
    write_entry(tmp_path, "1", calm=0.5)
    write_entry(tmp_path, "2", calm=0.6)
    write_entry(tmp_path, "3", mode="quick", calm=0.7)
    write_entry(tmp_path, "4", site="hill", calm=0.8)
    scores = regression.read_scores(tmp_path)
    found = regression.last_score(scores, "river", False, None)
    assert found.entry_id == "2"
    assert regression.last_score(scores, "river", False, "3") is None


def test_leaves_out_small_twins_and_other_commands(tmp_path):
    # Guards against figures of small twins in the place of whole sites.
    write_entry(tmp_path, "1", calm=0.5)
    twin = json.loads((tmp_path / "1.json").read_text())
    twin["id"], twin["days"][0]["small_twin"] = "2", "whole"
    (tmp_path / "2.json").write_text(json.dumps(twin))
    (tmp_path / "3.json").write_text(json.dumps({"id": "3", "cmd": "hunt"}))
    scores = regression.read_scores(tmp_path)
    assert [score.entry_id for score in scores] == ["1"]


def test_reports_a_fall_beyond_the_noise_and_a_failed_gate():
    # Guards against a regression that the run does not report.
    before = regression.Score(
        "1",
        "river",
        False,
        (regression.Day("calm", 0.9, True), regression.Day("storm", 0.5, True)),
    )
    after = regression.Score(
        "2",
        "river",
        False,
        (
            regression.Day("calm", 0.86, True),
            regression.Day("storm", 0.6, False),
            regression.Day("new", 0.1, True),
        ),
    )
    fallen = [
        comparison.day.name
        for comparison in regression.compare(before, after)
        if comparison.has_fallen
    ]
    assert fallen == ["calm", "storm"]
