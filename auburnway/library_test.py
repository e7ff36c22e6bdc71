"""Runs the examples of docs/LIBRARY.md to keep the page correct."""

import pathlib
import re

import pytest

PAGE = pathlib.Path(__file__).parents[1] / "docs/LIBRARY.md"
SECTION_TITLES = (
    "Replicated log",
    "Membership of backend servers",
    "Claims and release notes",
    "Admission",
    "Hedging and the retry budget",
    "Replica choice",
    "Quarantine",
    "Isolation rule",
)
HEADINGS = ("Guarantees", "The caller must", "Units and errors")
EXAMPLE_PATTERN = re.compile(r"^```python\n(.*?)^```$", re.M | re.S)


def _sections():
    """Returns the text of each section by its title."""
    _, *sections = PAGE.read_text("utf-8").split("\n## ")
    return dict(section.split("\n", 1) for section in sections)


def test_page_has_all_sections_and_headings():
    # Guards against a missing section of the page, and against a section
    # without guarantees, duties of the caller, or units and errors.
    sections = _sections()
    assert tuple(sections) == SECTION_TITLES
    for title, text in sections.items():
        present = re.findall(r"^\*\*(.+)\*\*$", text, re.M)
        assert tuple(present) == HEADINGS, title


@pytest.mark.parametrize("title", SECTION_TITLES)
def test_example_runs(title):
    # Guards against examples of an interface that has changed since.
    (source,) = EXAMPLE_PATTERN.findall(_sections()[title])
    assert "\nassert " in source or "    assert " in source
    code = compile(source, f"docs/LIBRARY.md: {title}", "exec")
    exec(code, {"__name__": "example"})
