"""Release notes: the documents by which operators change the configuration.

A release note is TOML and is applied as a whole or not at all. All of its
errors are reported together: `parse` fails only on text that cannot be read as
TOML and stores invalid values as problems of the note. `check` reports these
problems together with conflicts with the configuration in force.

Parsing and checking run inside the replicated state machine, so they depend
only on their arguments.
"""

from collections import abc
import dataclasses
import hashlib
import json
import tomllib
import typing

from returns import result

from auburnway.core import configuration as configuration_lib
from auburnway.core import errors
from auburnway.core import note_errors
from auburnway.core import note_items

ACTIONS = ("add", "change", "withdraw")
MAX_TEXT_BYTES = 1 << 20
# tomllib recurses once per nested bracket, and whether a RecursionError occurs
# depends on the stack depth of the calling code. The limit ensures that all
# replicas get the same result.
MAX_NESTING = 50
MAX_NUMBER = 1 << 53
MAX_LINE_LENGTH = 300


@dataclasses.dataclass(frozen=True)
class Operation:
    """One table of a release note; adds, changes or withdraws one item.

    Attributes:
      action: One of `ACTIONS`.
      item: Item type.
      name: Name of the item.
      values: Sorted pairs of key and valid value, without the name.
      complete: Whether an `add` has all required keys with valid values.
    """

    action: str
    item: str
    name: str
    values: tuple[tuple[str, typing.Any], ...]
    complete: bool = True

    def source(self, key: str = "") -> str:
        """Returns the source of errors about this operation or a key of it."""
        location = f'{self.action}.{self.item} "{self.name}"'
        return f"{location}: {key}" if key else location


@dataclasses.dataclass(frozen=True)
class Note:
    """A release note.

    Attributes:
      number: Number of the note; must be the number in force plus one. 0 when
        the text has no valid number.
      author: Who wrote the note.
      summary: Reason for the change, in one line.
      operations: Operations on items, one per table of the note.
      problems: Errors about invalid keys and values; `check` reports them.
    """

    number: int
    author: str
    summary: str
    operations: tuple[Operation, ...]
    problems: tuple[errors.Error, ...] = ()


@dataclasses.dataclass(frozen=True)
class Change:
    """One difference between two configurations.

    Attributes:
      action: One of `ACTIONS`.
      item: Item type.
      name: Name of the item.
      before: Old `key=value` pairs that differ; empty for an addition.
      after: New `key=value` pairs that differ; empty for a withdrawal.
    """

    action: str
    item: str
    name: str
    before: str
    after: str


def parse(
    text: str, source: str
) -> result.Result[Note, tuple[errors.Error, ...]]:
    """Parses a release note.

    Args:
      text: TOML text.
      source: File name or other origin, for error messages.

    Returns:
      The note, which may have problems, or why the text cannot be parsed.
    """
    if len(text.encode("utf-8", "replace")) > MAX_TEXT_BYTES:
        detail = f"the text exceeds {MAX_TEXT_BYTES} bytes"
        return result.Failure((note_errors.BadNote(detail, source),))
    if _nesting_depth(text) > MAX_NESTING:
        detail = f"brackets are nested deeper than {MAX_NESTING}"
        return result.Failure((note_errors.BadNote(detail, source),))
    try:
        data = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return result.Failure(
            (note_errors.BadNote(f"not TOML: {error}", source),)
        )
    problems: list[errors.Error] = []
    number = data.pop("number", None)
    if type(number) is not int or not 1 <= number <= MAX_NUMBER:
        detail = (
            f"value {note_items.short_repr(number)} is not a positive integer"
        )
        problems.append(note_errors.BadValue(detail, "number"))
        number = 0
    author = _read_line(data, "author", problems)
    summary = _read_line(data, "summary", problems)
    operations: list[Operation] = []
    for action in ACTIONS:
        _read_action(action, data.pop(action, {}), operations, problems)
    for key in sorted(data):
        known = ", ".join(("number", "author", "summary", *ACTIONS))
        detail = f"unknown key {note_items.short_repr(key)}; known: {known}"
        problems.append(note_errors.BadValue(detail, "release note"))
    return result.Success(
        Note(number, author, summary, tuple(operations), tuple(problems))
    )


def digest(note: Note) -> str:
    """Returns the SHA-256 of the content of a note, whatever its layout."""
    operations = sorted(
        [
            operation.action,
            operation.item,
            operation.name,
            list(operation.values),
        ]
        for operation in note.operations
    )
    content = [note.number, note.author, note.summary, operations]
    text = json.dumps(content, sort_keys=True, ensure_ascii=True)
    return hashlib.sha256(text.encode()).hexdigest()


def check(
    configuration: configuration_lib.Configuration,
    note: Note,
    policy_values: abc.Mapping[str, abc.Collection[str]] | None = None,
) -> tuple[errors.Error, ...]:
    """Checks a note against the configuration in force.

    Args:
      configuration: Configuration in force.
      note: Note to apply to that configuration.
      policy_values: Plug-in names by decision. Control passes them before it
        proposes the note. The replicated state passes None, because the
        plug-ins of instances may differ during an upgrade.

    Returns:
      All errors; empty when the note may be accepted.
    """
    found_errors = list(note.problems)
    expected = configuration.number + 1
    if note.number and note.number != expected:
        detail = (
            f"number {note.number} does not follow the number in force"
            f" {configuration.number}; expected {expected}"
        )
        found_errors.append(note_errors.WrongNumber(detail, "number"))
    seen = set()
    for operation in note.operations:
        key = (operation.item, operation.name)
        present = configuration.find(*key) is not None
        if key in seen:
            detail = (
                f"{operation.item} {operation.name!r} occurs more than once"
            )
            found_errors.append(
                note_errors.DuplicateName(detail, operation.source())
            )
        elif operation.action == "add" and present:
            detail = f"{operation.item} {operation.name!r} is in force"
            found_errors.append(
                note_errors.AlreadyPresent(detail, operation.source())
            )
        elif operation.action != "add" and not present:
            detail = f"{operation.item} {operation.name!r} is not in force"
            found_errors.append(
                note_errors.NotPresent(detail, operation.source())
            )
        seen.add(key)
    found_errors.extend(_check_references(configuration, note))
    found_errors.extend(_check_ranks(configuration, note))
    found_errors.extend(_check_policies(note, policy_values))
    return tuple(found_errors)


def apply(
    configuration: configuration_lib.Configuration, note: Note
) -> configuration_lib.Configuration:
    """Returns the configuration that results from an accepted note."""
    return _apply_entries(configuration, note, digest(note))


def diff(
    old: configuration_lib.Configuration, new: configuration_lib.Configuration
) -> tuple[Change, ...]:
    """Returns the differences, sorted by item type and name."""
    changes = []
    for item, field in configuration_lib.FIELD_BY_ITEM_TYPE.items():
        old_records = {record.name: record for record in getattr(old, field)}
        new_records = {record.name: record for record in getattr(new, field)}
        # A note keeps the objects of unchanged records, so most records are
        # skipped here without comparing their fields.
        names = (
            name
            for name in old_records.keys() | new_records.keys()
            if old_records.get(name) is not new_records.get(name)
        )
        for name in sorted(names):
            before, after = old_records.get(name), new_records.get(name)
            if before == after:
                continue
            action = "change"
            if before is None or after is None:
                action = "add" if before is None else "withdraw"
            old_values, new_values = (
                _values_without_name(before),
                _values_without_name(after),
            )
            changes.append(
                Change(
                    action,
                    item,
                    name,
                    _format_differences(old_values, new_values),
                    _format_differences(new_values, old_values),
                )
            )
    return tuple(changes)


def _nesting_depth(text: str) -> int:
    depth = deepest = 0
    for character in text:
        if character in "[{":
            depth += 1
            deepest = max(deepest, depth)
        elif character in "]}":
            depth -= 1
    return deepest


def _read_line(data, key, problems) -> str:
    value = data.pop(key, None)
    if (
        isinstance(value, str)
        and 0 < len(value) <= MAX_LINE_LENGTH
        and value.isprintable()
    ):
        return value
    text = note_items.short_repr(value)
    detail = (
        f"value {text} is not one line of 1 to {MAX_LINE_LENGTH} characters"
    )
    problems.append(note_errors.BadValue(detail, key))
    return ""


def _read_action(action, tables, operations, problems) -> None:
    if not isinstance(tables, dict):
        detail = f"{action} is not written as [[{action}.<item>]]"
        problems.append(note_errors.BadValue(detail, action))
        return
    for item, rows in tables.items():
        location = f"{action}.{item}"
        if item not in note_items.ITEMS:
            known = ", ".join(note_items.ITEMS)
            detail = (
                f"unknown item {note_items.short_repr(item)}; known: {known}"
            )
            problems.append(note_errors.BadValue(detail, action))
        elif not isinstance(rows, list):
            detail = f"not written as [[{location}]]"
            problems.append(note_errors.BadValue(detail, location))
        else:
            for i, row in enumerate(rows):
                _read_operation(action, item, i, row, operations, problems)


def _read_operation(action, item, position, row, operations, problems) -> None:
    fields = {field.name: field for field in note_items.ITEMS[item]}
    location = f"{action}.{item}[{position}]"
    if not isinstance(row, dict):
        problems.append(note_errors.BadValue("not a table", location))
        return
    name = row.get("name")
    detail = fields["name"].problem(name)
    if detail:
        problems.append(note_errors.BadValue(detail, f"{location}: name"))
        return
    values = {}
    complete = True
    location = Operation(action, item, name, ()).source()
    if action == "withdraw":
        fields = {"name": fields["name"]}
    for key in sorted(row):
        if key not in fields:
            known = ", ".join(fields)
            detail = f"unknown key {note_items.short_repr(key)}; known: {known}"
            problems.append(note_errors.BadValue(detail, location))
            continue
        field, value = fields[key], row[key]
        detail = field.problem(value)
        if detail:
            problems.append(note_errors.BadValue(detail, f"{location}: {key}"))
            complete = False
        elif key != "name":
            values[key] = float(value) if field.kind is float else value
    if action == "add":
        for key in note_items.required_keys(item):
            if key not in row:
                detail = f"required key is absent: {fields[key].allowed}"
                problems.append(
                    note_errors.BadValue(detail, f"{location}: {key}")
                )
                complete = False
    if action == "change" and len(row) == 1:
        problems.append(note_errors.BadValue("no key is changed", location))
    pairs = tuple(sorted(values.items()))
    operations.append(Operation(action, item, name, pairs, complete))


def _apply_entries(configuration, note, note_digest):
    """Returns the configuration after all operations that can be applied."""
    items = {
        (item, record.name): record
        for item, field in configuration_lib.FIELD_BY_ITEM_TYPE.items()
        for record in getattr(configuration, field)
    }
    for operation in note.operations:
        key = (operation.item, operation.name)
        if operation.action == "withdraw":
            items.pop(key, None)
        elif operation.action == "change" and key in items:
            items[key] = dataclasses.replace(
                items[key], **dict(operation.values)
            )
        elif operation.action == "add" and operation.complete:
            record_type = configuration_lib.ITEM_TYPES[operation.item]
            items[key] = record_type(
                name=operation.name, **dict(operation.values)
            )
    fields = {
        field: [] for field in configuration_lib.FIELD_BY_ITEM_TYPE.values()
    }
    for (item, _), record in sorted(items.items(), key=lambda pair: pair[0]):
        fields[configuration_lib.FIELD_BY_ITEM_TYPE[item]].append(record)
    return configuration_lib.Configuration(
        number=note.number,
        digest=note_digest,
        **{field: tuple(records) for field, records in fields.items()},
    )


def _check_references(configuration, note):
    after = _apply_entries(configuration, note, "")
    # An added item with invalid values is reported once, not also as an
    # unknown reference.
    added = {(e.item, e.name) for e in note.operations if e.action == "add"}
    changed_references = set()
    found_errors = []
    for operation in note.operations:
        for field in note_items.ITEMS[operation.item]:
            value = dict(operation.values).get(field.name)
            if not field.refers_to or value is None:
                continue
            changed_references.add((operation.item, operation.name, field.name))
            target = (field.refers_to, value)
            if after.find(*target) is None and target not in added:
                detail = f"{target[0]} {value!r} would not be in force"
                location = operation.source(field.name)
                found_errors.append(
                    note_errors.UnknownReference(detail, location)
                )
    for operation in note.operations:
        if operation.action != "withdraw":
            continue
        for item, field, record in _references(after):
            if (field.refers_to, getattr(record, field.name)) != (
                operation.item,
                operation.name,
            ):
                continue
            if (item, record.name, field.name) not in changed_references:
                detail = f"{item} {record.name!r} uses it"
                found_errors.append(
                    note_errors.InUse(detail, operation.source())
                )
    return found_errors


def _references(configuration):
    """Yields item type, field and record of each reference to an item."""
    for item, fields in note_items.ITEMS.items():
        for field in fields:
            if field.refers_to:
                for record in getattr(
                    configuration, configuration_lib.FIELD_BY_ITEM_TYPE[item]
                ):
                    yield item, field, record


def _check_ranks(configuration, note):
    if not any(operation.item == "rank" for operation in note.operations):
        return []
    ranks = _apply_entries(configuration, note, "").ranks
    found_errors = []
    total = sum(rank.floor_share for rank in ranks)
    # Shares such as 0.1 have no exact binary form, so the check has a
    # tolerance.
    if total > 1.0 + 1e-9:
        listed = ", ".join(f"{r.name} {r.floor_share:g}" for r in ranks)
        detail = f"floor_share sums to {total:g}, allowed 0 to 1: {listed}"
        found_errors.append(
            note_errors.FloorsExceeded(detail, "rank: floor_share")
        )
    orders: dict[int, str] = {}
    for rank in ranks:
        other = orders.setdefault(rank.order, rank.name)
        if other != rank.name:
            detail = f"order {rank.order} is that of {other} and {rank.name}"
            found_errors.append(note_errors.SameOrder(detail, "rank: order"))
    return found_errors


def _check_policies(note, policy_values):
    found_errors = []
    for operation in note.operations:
        if operation.item != "policy" or policy_values is None:
            continue
        if operation.action == "withdraw":
            continue
        if operation.name not in policy_values:
            known = ", ".join(sorted(policy_values))
            detail = f"no decision {operation.name!r}; known: {known}"
            found_errors.append(
                note_errors.UnknownPolicy(detail, operation.source("name"))
            )
            continue
        value = dict(operation.values).get("value")
        known_values = policy_values[operation.name]
        if value is not None and value not in known_values:
            known = ", ".join(sorted(known_values))
            detail = f"no plug-in {value!r}; known: {known}"
            found_errors.append(
                note_errors.UnknownPolicy(detail, operation.source("value"))
            )
    return found_errors


def _values_without_name(record) -> dict[str, typing.Any]:
    if record is None:
        return {}
    values = dataclasses.asdict(record)
    del values["name"]
    return values


def _format_differences(values, other) -> str:
    return " ".join(
        f"{key}={json.dumps(value)}"
        for key, value in values.items()
        if key not in other or other[key] != value
    )
