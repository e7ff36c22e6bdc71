"""Runs the examples of docs/LIBRARY.md, so that the page stays correct."""

import pathlib
import re

import pytest

PAGE = pathlib.Path(__file__).parents[1] / "docs/LIBRARY.md"
TITLES = (
    "Replicated log",
    "Membership of backend servers",
    "Claims and release notes",
    "Admission",
    "Hedging and the retry budget",
    "Replica choice",
    "Quarantine",
    "Isolation rule",
)
PARTS = ("Guarantees", "The caller must", "Units and errors")
EXAMPLE = re.compile(r"^```python\n(.*?)^```$", re.M | re.S)


def _sections():
    """Returns the text of each section by its title."""
    _, *sections = PAGE.read_text("utf-8").split("\n## ")
    return dict(section.split("\n", 1) for section in sections)


def test_page_covers_all_parts():
    # Guards against a part that is dropped from the page, or described
    # without its guarantees, the caller's duties or its errors.
    sections = _sections()
    assert tuple(sections) == TITLES
    for title, text in sections.items():
        present = re.findall(r"^\*\*(.+)\*\*$", text, re.M)
        assert tuple(present) == PARTS, title


@pytest.mark.parametrize("title", TITLES)
def test_example_runs(title):
    # Guards against a page that describes an interface which has changed.
    (source,) = EXAMPLE.findall(_sections()[title])
    assert "\nassert " in source or "    assert " in source
    code = compile(source, f"docs/LIBRARY.md: {title}", "exec")
    exec(code, {"__name__": "example"})
