"""Checks style rules that the linter does not support."""

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
    # A use of a directly imported name does not show the module of the name.
    imported_names = re.findall(
        r"^from [\w.]+ import [A-Z]\w*", path.read_text(), re.MULTILINE
    )
    assert not imported_names


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: p.name)
def test_file_has_at_most_500_lines(path):
    assert len(path.read_text().splitlines()) <= MAX_LINES
