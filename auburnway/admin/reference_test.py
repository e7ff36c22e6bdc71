import dataclasses

import pytest

from auburnway.admin import reference
from auburnway.core import configuration as configuration_lib
from auburnway.core import note as note_lib
from auburnway.kernel import settings


@pytest.mark.parametrize("name", reference.pages())
def test_committed_pages_are_current(name):
    # A page that differs from the check misleads whoever follows a remedy.
    committed = (reference.DOCS / name).read_text("utf-8")
    assert committed == reference.pages()[name], (
        "run `python -m auburnway.admin.reference` and commit the pages"
    )


def test_the_examples_together_are_a_valid_release_note():
    note = note_lib.parse(reference.example_note(), "example").unwrap()
    assert note_lib.check(configuration_lib.EMPTY, note) == ()


@dataclasses.dataclass(frozen=True)
class Part:
    """Part."""

    size: int | None = settings.setting("Size.", None, low=1)


@dataclasses.dataclass(frozen=True)
class Whole:
    """Whole."""

    mode: str = settings.setting("a|b", "a", choices=("a", "b"))
    parts: tuple[Part, ...] = settings.setting("Parts.", (Part(),))
    part: Part = settings.setting("One part.", Part())


def test_nested_settings_and_every_kind_of_default_are_shown():
    page = reference.settings_page([("binary", Whole)])
    assert '| `mode` | str | `a`, `b` | `"a"` | a\\|b |' in page
    assert "| `size` | int | at least 1 | none | Size. |" in page
    assert "### `[[parts]]`" in page and "### `[part]`" in page
