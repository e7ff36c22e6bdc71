"""Checks docs/API.md against the error classes that an entry can return."""

import ast
import importlib
import pathlib
import re

import pytest

from auburnway.core import errors
from auburnway.entry import node

ROOT = pathlib.Path(__file__).parents[2]
# Modules outside the entry package that parse requests or render answers.
OTHER_MODULES = ("core/request.py", "core/answer.py", "core/membership.py")
TABLE_ROW = re.compile(
    r"^\| `(\w+)` \| (\d{3}) \| [a-z_, ]+ \| .+? \| (.+) \|$", re.M
)


def _returned_classes():
    """Returns the error classes that the modules construct, sorted by code."""
    sources = [
        path
        for path in (ROOT / "auburnway/entry").glob("*.py")
        if not path.name.endswith("_test.py")
    ]
    sources += [ROOT / "auburnway" / name for name in OTHER_MODULES]
    found = set()
    for path in sources:
        parts = path.relative_to(ROOT).with_suffix("").parts
        module = importlib.import_module(".".join(parts))
        for call in ast.walk(ast.parse(path.read_text("utf-8"))):
            if not isinstance(call, ast.Call):
                continue
            value = _resolve(module, call.func)
            if isinstance(value, type) and issubclass(value, errors.Error):
                found.add(value)
    return sorted(found, key=lambda cls: cls.code)


def _resolve(module, name):
    """Returns the object that a dotted name refers to in a module, or None."""
    if isinstance(name, ast.Name):
        return getattr(module, name.id, None)
    if isinstance(name, ast.Attribute):
        return getattr(_resolve(module, name.value), name.attr, None)
    return None


ERROR_CLASSES = _returned_classes()


@pytest.mark.parametrize("cls", ERROR_CLASSES, ids=lambda cls: cls.__name__)
def test_the_page_lists_each_error_that_an_entry_returns(cls):
    # Guards against an undocumented error code: its receiver cannot decide
    # whether to resend the request.
    rows = {
        code: (int(status), remedy)
        for code, status, remedy in TABLE_ROW.findall(
            (ROOT / "docs/API.md").read_text("utf-8")
        )
    }
    assert rows.get(cls.code) == (cls.http_status, cls.remedy)


def test_errors_of_several_modules_are_found():
    # Guards against an empty search result, with which the test above would
    # pass for any page.
    found = set(ERROR_CLASSES)
    assert {errors.BadKey, errors.Overloaded, node.BadToken} < found
