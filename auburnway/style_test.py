"""House rules that the linter has no rule for."""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).parent
SOURCES = sorted(
    path for path in PACKAGE.rglob("*.py") if "_pb2" not in path.name
)
MAX_LINES = 500


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: p.name)
def test_modules_are_imported_not_names(path):
    # A name imported by itself hides where it comes from.
    found = re.findall(
        r"^from [\w.]+ import [A-Z]\w*", path.read_text(), re.MULTILINE
    )
    assert not found


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: p.name)
def test_file_stays_small(path):
    assert len(path.read_text().splitlines()) <= MAX_LINES
