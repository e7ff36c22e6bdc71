import dataclasses

import pytest

from auburnway.admin import reference
from auburnway.core import configuration as configuration_lib
from auburnway.core import note as note_lib
from auburnway.kernel import settings


@pytest.mark.parametrize("name", reference.pages())
def test_committed_pages_are_current(name):
    # Remedies of errors refer to these pages, so that an outdated page would
    # mislead operators.
    committed = (reference.DOCS / name).read_text("utf-8")
    assert committed == reference.pages()[name], (
        "run `python -m auburnway.admin.reference` and commit the pages"
    )


def test_examples_form_a_valid_release_note():
    note = note_lib.parse(reference.example_note(), "example").unwrap()
    assert note_lib.check(configuration_lib.EMPTY, note) == ()


@dataclasses.dataclass(frozen=True)
class Nested:
    """Nested settings."""

    size: int | None = settings.setting("Size.", None, low=1)


@dataclasses.dataclass(frozen=True)
class Outer:
    """Outer settings."""

    mode: str = settings.setting("a|b", "a", choices=("a", "b"))
    parts: tuple[Nested, ...] = settings.setting("Parts.", (Nested(),))
    part: Nested = settings.setting("One part.", Nested())


def test_nested_settings_and_defaults_of_every_type_are_shown():
    page = reference.settings_page([("binary", Outer)])
    assert '| `mode` | str | `a`, `b` | `"a"` | a\\|b |' in page
    assert "| `size` | int | at least 1 | none | Size. |" in page
    assert "### `[[parts]]`" in page and "### `[part]`" in page
