"""What the operator's command does, against control and entries.

Each operation returns an `outcome.Outcome`; nothing is printed here. An
operation that changes something can be repeated: control answers the same
release note with the same receipt.
"""

from collections import abc
import dataclasses
import json
import time
import typing

from returns import pipeline

from auburnway.admin import entry_status
from auburnway.admin import outcome as outcome_lib
from auburnway.admin import render
from auburnway.admin import settings as settings_lib
from auburnway.core import audit as audit_lib
from auburnway.core import clock as clock_lib
from auburnway.core import configuration as configuration_lib
from auburnway.core import errors
from auburnway.core import note as note_lib
from auburnway.rpc import control_pb2

Outcome = outcome_lib.Outcome

_POLL_MS = 100.0
_AUDIT_PAGE = 500


class NoSuchNote(errors.Error):
    """No release note of this number was accepted."""

    code = "no_such_note"
    remedy = "Use a number listed by `auburnway-operator audit`."
    exit_code = 2


class NotInForce(errors.Error):
    """An accepted release note has not reached each entry in time."""

    code = "not_in_force"
    remedy = (
        "Run the same command again to go on waiting; `auburnway-operator"
        " status` shows the entries that lack it."
    )
    exit_code = 5


class AuditInvalid(errors.Error):
    """The hash chain of the audit trail is broken."""

    code = "audit_invalid"
    remedy = (
        "Compare the trail with a copy or another control instance; rows from"
        " this revision on cannot be trusted."
    )
    exit_code = 6


class AnswerLost(errors.Error):
    """Control did not answer, so the release note may be accepted or not."""

    code = "answer_lost"
    remedy = (
        "Run the same command with the same text again; it is accepted at most"
        " once. `auburnway-operator status` shows whether control has a"
        " quorum."
    )
    exit_code = 4


@dataclasses.dataclass(frozen=True)
class Context:
    """What operations use of the outer world.

    Attributes:
      settings: Settings of the command.
      clock: Clock for waiting.
      connect: Makes a control client for some addresses.
      fetch: Reads the status page of an entry.
      sleep_ms: Waits.
    """

    settings: settings_lib.OperatorSettings
    clock: clock_lib.Clock
    connect: abc.Callable[[tuple[str, ...]], typing.Any]
    fetch: abc.Callable = entry_status.fetch
    sleep_ms: abc.Callable[[float], None] = lambda ms: time.sleep(ms / 1000)

    def call(self, client, method: str, request) -> tuple[typing.Any, list]:
        """Returns the reply of control and its errors."""
        timeout_ms = self.settings.call_timeout_ms
        reply = client.call(method, request, timeout_ms)
        if not pipeline.is_successful(reply):
            return None, [outcome_lib.wire(reply.failure())]
        reply = reply.unwrap()
        # Replies hold several errors, one, or none at all.
        found = list(getattr(reply, "errors", ()))
        if hasattr(reply, "error"):
            found.append(reply.error)
        return reply, [outcome_lib.wire(e) for e in found if e.code]

    def client(self):
        """Returns a client of all control instances."""
        return self.connect(self.settings.control_addresses)


def check(text: str, source: str) -> Outcome:
    """Checks keys, types and ranges of a release note without control."""
    parsed = note_lib.parse(text, source)
    if not pipeline.is_successful(parsed):
        return outcome_lib.refused(parsed.failure())
    note = parsed.unwrap()
    if note.problems:
        return outcome_lib.refused(note.problems, number=note.number)
    digest = note_lib.digest(note)
    return Outcome(
        outcome_lib.DONE,
        {"number": note.number, "digest": digest},
        f"release note {note.number} is well formed ({digest});"
        " `auburnway-operator plan` checks it against what is in force",
    )


def plan(context: Context, text: str) -> Outcome:
    """Shows what a release note would change."""
    request = control_pb2.NoteRequest(text=text, author=context.settings.author)
    reply, found = context.call(context.client(), "Plan", request)
    if found:
        return _failed(found)
    rows = [_message(change) for change in reply.changes]
    data = {"number_in_force": reply.number_in_force, "changes": rows}
    title = f"after release note {reply.number_in_force}, this would change:"
    return Outcome(outcome_lib.DONE, data, f"{title}\n{render.changes(rows)}")


def apply(context: Context, text: str, wait_ms: float) -> Outcome:
    """Applies a release note and waits until it is in force everywhere.

    Args:
      context: Outer world.
      text: TOML text.
      wait_ms: Longest wait for control and for all entries together.
    """
    end_ms = context.clock.now_ms() + wait_ms
    client = context.client()
    request = control_pb2.NoteRequest(text=text, author=context.settings.author)
    # A lost answer is asked for again: the same text gets the same receipt.
    while True:
        reply, found = context.call(client, "Apply", request)
        unavailable = outcome_lib.exit_code(found) == outcome_lib.UNAVAILABLE
        if not found or not unavailable:
            break
        if context.clock.now_ms() >= end_ms:
            lost = AnswerLost("control gave no receipt in time").as_dict()
            return _failed([*found, lost])
        context.sleep_ms(_POLL_MS)
    if found:
        return _failed(found)
    data = {
        "number": reply.number,
        "digest": reply.digest,
        "revision": reply.revision,
        "accepted_wall_ms": reply.accepted_wall_ms,
        "repeated_submission": reply.repeated_submission,
    }
    when = render.instant(reply.accepted_wall_ms)
    again = " before" if reply.repeated_submission else ""
    title = (
        f"release note {reply.number} was accepted{again} at {when}, revision"
        f" {reply.revision}"
    )
    return _wait_in_force(context, client, reply.number, end_ms, data, title)


def show(context: Context, item: str | None = None) -> Outcome:
    """Shows the configuration in force, or the items of one type."""
    configuration, found = _read(context)
    if found:
        return _failed(found)
    data = render.configuration_data(configuration)
    if item is not None:
        for other, field in configuration_lib.FIELD_BY_ITEM_TYPE.items():
            if other != item:
                data[field] = ()
    return Outcome(outcome_lib.DONE, data, render.configuration(data))


def diff_text(context: Context, text: str, source: str) -> Outcome:
    """Shows a release note's changes to what is in force, even if refused."""
    parsed = note_lib.parse(text, source)
    if not pipeline.is_successful(parsed):
        return outcome_lib.refused(parsed.failure())
    note = parsed.unwrap()
    configuration, found = _read(context)
    if found:
        return _failed(found)
    refusals = note_lib.check(configuration, note)
    after = note_lib.apply(configuration, note)
    rows = [
        dataclasses.asdict(change)
        for change in note_lib.diff(configuration, after)
    ]
    wired = tuple(outcome_lib.wire(error) for error in refusals)
    code = outcome_lib.exit_code(wired) if wired else outcome_lib.DONE
    data = {"number_in_force": configuration.number, "changes": rows}
    return Outcome(code, data, render.changes(rows), wired)


def diff_number(context: Context, number: int) -> Outcome:
    """Shows what an accepted release note changed."""
    rows, _, found = _audit_rows(context, 0)
    if found:
        return _failed(found)
    for row in rows:
        if (row["action"], row["number"], row["result"]) != (
            "note",
            number,
            "accepted",
        ):
            continue
        detail = render.note_detail(row["detail"])
        if detail is None:
            break
        data = {
            "number": number,
            "author": row["author"],
            "digest": row["digest"],
            "accepted_wall_ms": row["wall_ms"],
            **detail,
        }
        title = (
            f"release note {number} by {row['author']} at"
            f" {render.instant(row['wall_ms'])}: {detail['summary']}"
        )
        text = f"{title}\n{render.changes(detail['changes'])}"
        return Outcome(outcome_lib.DONE, data, text)
    detail = f"no accepted release note has number {number}"
    return outcome_lib.refused([NoSuchNote(detail)])


def compose(
    context: Context, action: str, item: str, name: str
) -> tuple[str, Outcome | None]:
    """Writes the release note of one addition or withdrawal.

    Args:
      context: Outer world.
      action: `add` or `withdraw`.
      item: Item type.
      name: Name of the item.

    Returns:
      The text, or an outcome that makes it needless or impossible.
    """
    configuration, found = _read(context)
    if found:
        return "", _failed(found)
    present = configuration.find(item, name) is not None
    if action == "add" and present:
        # A repeated drain is done rather than wrong.
        data = {"number": configuration.number}
        text = f"{item} {name} is in force already"
        return "", Outcome(outcome_lib.DONE, data, text)
    text = (
        f"number = {configuration.number + 1}\n"
        f"author = {_quote(context.settings.author)}\n"
        f"summary = {_quote(f'{action} {item} {name}'[:200])}\n\n"
        f"[[{action}.{item}]]\nname = {_quote(name)}\n"
    )
    note = note_lib.parse(text, "composed release note").unwrap()
    refusals = note_lib.check(configuration, note)
    return text, outcome_lib.refused(refusals) if refusals else None


def status(context: Context) -> Outcome:
    """Shows control instances, entries and backend servers."""
    settings = context.settings
    control = []
    for address in settings.control_addresses:
        reply, found = context.call(
            context.connect((address,)), "Status", control_pb2.StatusRequest()
        )
        row = {"error": found[0]} if found else _message(reply)
        control.append({"address": address, **row})
    leaders = [row for row in control if row.get("role") == "leader"]
    has_quorum = any(row.get("has_quorum") for row in leaders)
    entries, lacking = [], []
    if has_quorum:
        reply, lacking = context.call(
            context.client(), "InForce", control_pb2.ReadRequest()
        )
        entries = [] if lacking else [_message(e) for e in reply.entries]
    addresses = dict.fromkeys(settings.entry_addresses)
    addresses.update((e["caller_address"], None) for e in entries)
    pages, unreachable = [], []
    for address in addresses:
        page = context.fetch(address, settings.call_timeout_ms)
        if pipeline.is_successful(page):
            pages.append({"address": address, **page.unwrap()})
        else:
            unreachable.append(outcome_lib.wire(page.failure()))
    servers = entry_status.merge(pages)
    newest = max(leaders, key=lambda row: row["term"], default=None)
    data = {
        "control": control,
        "entries": entries,
        "entry_pages": [
            {k: v for k, v in page.items() if k != "backend_servers"}
            for page in pages
        ],
        "backend_servers": servers,
    }
    parts = [render.control(control)]
    if newest is not None:
        parts.append(render.voters(newest["voters"]))
    parts.append(render.entries(entries))
    parts.append(render.backend_servers(servers))
    if not has_quorum:
        detail = "no control instance leads with a quorum"
        lacking = [errors.ControlUnavailable(detail).as_dict()]
    found = (*lacking, *unreachable)
    code = outcome_lib.exit_code(found) if found else outcome_lib.DONE
    return Outcome(code, data, "\n\n".join(parts), found)


def audit(context: Context, after: int, verify: bool) -> Outcome:
    """Shows the audit trail.

    Args:
      context: Outer world.
      after: Rows up to this revision are left out.
      verify: Whether to read the whole trail and check its hash chain.
    """
    start = 0 if verify else after
    rows, valid_there, found = _audit_rows(context, start)
    if found:
        return _failed(found)
    shown = [row for row in rows if row["revision"] > after]
    data: dict[str, typing.Any] = {"rows": shown}
    text = render.audit(shown)
    if not verify:
        return Outcome(outcome_lib.DONE, data, text)
    bad = audit_lib.verify(audit_lib.Row(**row) for row in rows)
    data["chain_valid"] = bad is None and valid_there
    if data["chain_valid"]:
        text += f"\n{len(rows)} rows verified"
        return Outcome(outcome_lib.DONE, data, text)
    detail = "control itself reports a broken chain"
    if bad is not None:
        data["first_invalid_revision"] = bad
        detail = f"the hash chain breaks at revision {bad}"
    wired = (AuditInvalid(detail, "audit").as_dict(),)
    return Outcome(outcome_lib.AUDIT_INVALID, data, text, wired)


def _wait_in_force(context, client, number, end_ms, data, title) -> Outcome:
    while True:
        reply, found = context.call(
            client, "InForce", control_pb2.ReadRequest()
        )
        rows = [] if found else [_message(entry) for entry in reply.entries]
        # The reply speaks of the newest number, which may be a later one.
        # An entry whose lease has run out may still serve under one that a
        # peer lent it; only control knows when that has ended too.
        everywhere = (
            not found
            and reply.number >= number
            and (
                reply.everywhere
                or bool(rows)
                and all(row["number"] >= number for row in rows)
            )
        )
        if everywhere or context.clock.now_ms() >= end_ms:
            break
        context.sleep_ms(_POLL_MS)
    data = {**data, "everywhere": everywhere, "entries": rows}
    text = f"{title}\n{render.in_force(number, rows, everywhere)}"
    if everywhere:
        return Outcome(outcome_lib.DONE, data, text)
    late = [row["name"] for row in rows if row["number"] < number]
    detail = f"release note {number} is accepted; not confirmed by" + (
        f" {', '.join(late)}" if late else " control"
    )
    wired = (*found, NotInForce(detail).as_dict())
    return Outcome(outcome_lib.NOT_YET_IN_FORCE, data, text, wired)


def _read(context):
    reply, found = context.call(
        context.client(), "Read", control_pb2.ReadRequest()
    )
    if found:
        return None, found
    if not reply.configuration:
        return configuration_lib.EMPTY, []
    return configuration_lib.decode(reply.configuration), []


def _audit_rows(context, after):
    """Returns all rows after a revision, whether valid, and the errors."""
    client = context.client()
    rows, valid = [], True
    while True:
        request = control_pb2.AuditRequest(
            after_revision=after, limit=_AUDIT_PAGE
        )
        reply, found = context.call(client, "Audit", request)
        if found:
            return [], False, found
        valid = valid and reply.chain_valid
        rows.extend(_message(row) for row in reply.rows)
        # A page may be shorter than asked for, so only an empty one ends.
        if not reply.rows or reply.rows[-1].revision <= after:
            return rows, valid, []
        after = reply.rows[-1].revision


def _failed(wired) -> Outcome:
    return Outcome(outcome_lib.exit_code(wired), errors=tuple(wired))


def _message(message) -> dict[str, typing.Any]:
    """Returns all fields of a flat or nested message by name."""
    data = {}
    for field in message.DESCRIPTOR.fields:
        value = getattr(message, field.name)
        if field.message_type is None:
            data[field.name] = value
        elif field.is_repeated:
            data[field.name] = [_message(element) for element in value]
    return data


def _quote(value: str) -> str:
    # JSON strings of printable characters are TOML strings too.
    return json.dumps(value, ensure_ascii=False)
