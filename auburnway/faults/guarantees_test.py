"""Checks that the tests named in docs/GUARANTEES.md and KNOWN-RED.txt exist."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
FAULTS_FOLDER = pathlib.Path(__file__).parent


def _missing_tests(text):
    missing = []
    for path, name in re.findall(r"`([\w/]+_test\.py)::(\w+)`", text):
        file = ROOT / path if "/" in path else FAULTS_FOLDER / path
        found = file.exists() and f"def {name}(" in file.read_text()
        if not found:
            missing.append(f"{path}::{name}")
    return missing


def test_every_test_named_on_the_page_exists():
    # Guards against a documented guarantee whose test was renamed or deleted.
    text = (ROOT / "docs/GUARANTEES.md").read_text()
    assert text.count("_test.py::") > 20
    assert _missing_tests(text) == []
    assert _missing_tests("`soak_test.py::test_absent`")


def test_every_known_red_test_exists_and_is_marked():
    # Guards against a test marked xfail that KNOWN-RED.txt does not list, and
    # a listed test that is not marked.
    text = (ROOT / "KNOWN-RED.txt").read_text()
    names = set(re.findall(r"test: ([\w/]+_test\.py)::(\w+)", text))
    marked = set()
    for path in (ROOT / "auburnway").rglob("*_test.py"):
        source = path.read_text()
        for block in re.split(r"\n\n\n", source):
            if re.match(r"@pytest\.mark\.xfail", block):
                name = re.search(r"def (test_\w+)", block)[1]
                marked.add((str(path.relative_to(ROOT)), name))
    assert names == marked
