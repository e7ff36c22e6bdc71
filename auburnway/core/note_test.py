import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from auburnway.core import configuration as configuration_lib
from auburnway.core import note
from auburnway.core import note_items

HEADER = 'number = {}\nauthor = "kim"\nsummary = "why"\n'
BASE_NOTE = (
    HEADER.format(1)
    + """
[[add.rank]]
name = "urgent"
order = 0
floor_share = 0.6
latency_target_ms = 300
[[add.rank]]
name = "bulk"
order = 1
floor_share = 0.4
latency_target_ms = 3000.0
[[add.application]]
name = "catalogue"
slots_per_server = 5
connections_per_server = 40
[[add.kind]]
name = "search"
application = "catalogue"
rank = "urgent"
"""
)


def parse_note(text):
    return note.parse(text, "test").unwrap()


BASE_CONFIGURATION = note.apply(configuration_lib.EMPTY, parse_note(BASE_NOTE))


def error_codes(body, configuration=BASE_CONFIGURATION, number=2, **options):
    found = note.check(
        configuration, parse_note(HEADER.format(number) + body), **options
    )
    assert all(error.source and error.detail for error in found)
    return sorted(error.code for error in found)


def toml_table(action, item, **values):
    formatters = {str: '"{}"'.format, bool: lambda v: str(v).lower()}
    rows = "".join(
        f"{key} = {formatters.get(type(value), str)(value)}\n"
        for key, value in values.items()
    )
    return f"[[{action}.{item}]]\n{rows}"


RANK_VALUES = {"floor_share": 0.0, "latency_target_ms": 1}


@pytest.mark.parametrize(
    "body, expected",
    [
        ("", []),
        (toml_table("change", "kind", name="search", rank="bulk"), []),
        (
            toml_table("change", "kind", name="search", rank="x"),
            ["unknown_reference"],
        ),
        (
            toml_table("change", "kind", name="search", application="x"),
            ["unknown_reference"],
        ),
        (toml_table("withdraw", "rank", name="urgent"), ["in_use"]),
        (toml_table("withdraw", "rank", name="bulk"), []),
        (
            toml_table("withdraw", "rank", name="urgent")
            + toml_table("change", "kind", name="search", rank="bulk"),
            [],
        ),
        (
            toml_table("withdraw", "rank", name="urgent")
            + toml_table("withdraw", "kind", name="search"),
            [],
        ),
        (
            toml_table("withdraw", "rank", name="bulk")
            + toml_table("change", "kind", name="search", rank="bulk"),
            ["unknown_reference"],
        ),
        (
            toml_table("change", "rank", name="bulk", floor_share=0.5),
            ["floors_exceeded"],
        ),
        (
            toml_table("change", "rank", name="bulk", floor_share=0.5)
            + toml_table("change", "rank", name="urgent", floor_share=0.5),
            [],
        ),
        (
            toml_table("add", "rank", name="r", order=1, **RANK_VALUES),
            ["same_order"],
        ),
        (toml_table("change", "rank", name="x", order=5), ["not_present"]),
        (toml_table("withdraw", "drain", name="x"), ["not_present"]),
        (
            toml_table("add", "rank", name="bulk", order=9, **RANK_VALUES),
            ["already_present"],
        ),
        (toml_table("add", "drain", name="s") * 2, ["duplicate_name"]),
        (toml_table("change", "rank", name="bulk"), ["bad_value"]),
        (toml_table("change", "rank", name="bulk", order=True), ["bad_value"]),
        (toml_table("change", "rank", name="bulk", order="nan"), ["bad_value"]),
        (toml_table("change", "rank", name="bulk", colour=1), ["bad_value"]),
        (toml_table("withdraw", "rank", name="bulk", order=1), ["bad_value"]),
        (toml_table("add", "drain", name="a b"), ["bad_value"]),
        (
            toml_table("change", "kind", name="search", canary="on"),
            ["bad_value"],
        ),
        (
            # A rank with an invalid value is not also reported as unknown.
            toml_table("add", "rank", name="r", order=-1, **RANK_VALUES)
            + toml_table("change", "kind", name="search", rank="r"),
            ["bad_value"],
        ),
    ],
)
def test_check_finds_exactly_these_errors(body, expected):
    assert error_codes(body) == expected


def test_all_errors_are_reported_at_once():
    # Guards against reporting only the first error, so that an operator needs
    # one submission per error.
    body = (
        toml_table("add", "rank", name="r", order=500)
        + toml_table("withdraw", "rank", name="urgent")
        + toml_table("change", "caller", name="nobody", share=0)
        + toml_table("add", "kind", name="k", application="no", rank="no")
        + "[[add.colour]]\nname = 'x'\n[extra]\n"
    )
    assert error_codes(body, number=7) == sorted(
        # Three for rank r (order out of range, two required keys absent), one
        # each for the caller's share, the unknown item and the unknown
        # top-level key.
        ["bad_value"] * 6
        + ["wrong_number", "in_use", "not_present"]
        + ["unknown_reference"] * 2
    )


def test_policies_are_checked_against_plug_ins_when_they_are_given():
    good = toml_table("add", "policy", name="hedging", value="percentile")
    values = {"hedging": ("percentile",), "ramp": ("linear",)}
    assert error_codes(good) == error_codes(good, policy_values=values) == []
    for name, value in (("hedging", "linear"), ("hedge", "percentile")):
        body = toml_table("add", "policy", name=name, value=value)
        assert error_codes(body, policy_values=values) == ["unknown_policy"]


def test_digest_ignores_layout_but_no_value():
    base = parse_note(BASE_NOTE)
    spaced = BASE_NOTE.replace(" = ", "  =  ").replace("= 300\n", "= 300.0\n")
    assert note.digest(base) == note.digest(parse_note("# comment\n" + spaced))
    for old, new in (("0.4", "0.3"), ("kim", "lee"), ("why", "w"), ("1", "2")):
        other = parse_note(BASE_NOTE.replace(old, new, 1))
        assert note.digest(other) != note.digest(base)


@hypothesis.given(st.data())
def test_diff_contains_exactly_the_changes_of_apply(data):
    # Guards against a plan that omits a change, which an operator would then
    # accept without having seen it.
    share = data.draw(st.floats(0.001, 1000.0))
    names = data.draw(st.sets(st.sampled_from("abcd"), min_size=1))
    added = "".join(
        toml_table("add", "caller", name=name, share=share) for name in names
    )
    first = note.apply(BASE_CONFIGURATION, parse_note(HEADER.format(2) + added))
    withdrawn = data.draw(st.sampled_from(sorted(names)))
    body = toml_table("withdraw", "caller", name=withdrawn)
    body += toml_table("change", "rank", name="bulk", queue_limit=7)
    second = note.apply(first, parse_note(HEADER.format(3) + body))
    assert second.find("caller", withdrawn) is None
    assert second.find("rank", "bulk").queue_limit == 7
    changes = note.diff(first, second)
    assert [(c.action, c.item, c.name) for c in changes] == [
        ("change", "rank", "bulk"),
        ("withdraw", "caller", withdrawn),
    ]
    assert changes[0].before == "queue_limit=200"
    assert changes[0].after == "queue_limit=7"
    assert changes[1].after == ""
    assert note.diff(second, second) == ()
    assert len(note.diff(BASE_CONFIGURATION, first)) == len(names)


def test_definitions_cover_the_records_and_examples_are_valid():
    # Guards against a key that a record has but no check covers, or the
    # reverse.
    assert note_items.ITEMS.keys() == configuration_lib.ITEM_TYPES.keys()
    for item, fields in note_items.ITEMS.items():
        record = configuration_lib.ITEM_TYPES[item]
        names = [field.name for field in dataclasses.fields(record)]
        assert [field.name for field in fields] == names
        for field in fields:
            assert field.problem(field.example) == ""
        for field in dataclasses.fields(record):
            if field.default is not dataclasses.MISSING:
                checked = next(f for f in fields if f.name == field.name)
                assert checked.problem(field.default) == ""
