"""The page of guarantees names tests that exist."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
HERE = pathlib.Path(__file__).parent


def _missing(text):
    missing = []
    for path, name in re.findall(r"`([\w/]+_test\.py)::(\w+)`", text):
        file = ROOT / path if "/" in path else HERE / path
        found = file.exists() and f"def {name}(" in file.read_text()
        if not found:
            missing.append(f"{path}::{name}")
    return missing


def test_every_test_named_on_the_page_exists():
    # Guards against a claim whose test was renamed or deleted.
    text = (ROOT / "docs/GUARANTEES.md").read_text()
    assert text.count("_test.py::") > 20
    assert _missing(text) == []
    assert _missing("`soak_test.py::test_absent`")


def test_every_known_red_test_exists_and_is_marked():
    # Guards against a test that CI passes over without an entry, and the
    # reverse.
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
