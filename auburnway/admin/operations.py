"""Operations of the operator's command on control and entries.

Each operation returns an `outcome.Outcome`; nothing is printed here. An
operation that changes the configuration may be repeated: control answers the
same release note with the same receipt.
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
from auburnway.core import member_set
from auburnway.core import note as note_lib
from auburnway.core import raft_records
from auburnway.rpc import control_pb2

Outcome = outcome_lib.Outcome

_POLL_MS = 100.0
_AUDIT_PAGE_ROWS = 500


class NoSuchNote(errors.Error):
    """No release note with this number was accepted."""

    code = "no_such_note"
    remedy = "Use a number listed by `auburnway-operator audit`."
    exit_code = 2


class NotInForce(errors.Error):
    """An accepted release note is not in force on all entries in time."""

    code = "not_in_force"
    remedy = (
        "Run the same command again to continue waiting; `auburnway-operator"
        " status` shows the release note number of each entry."
    )
    exit_code = 5


class AuditInvalid(errors.Error):
    """The hash chain of the audit trail is broken."""

    code = "audit_invalid"
    remedy = (
        "Compare the trail with a copy or another control instance; rows from"
        " this revision onwards cannot be trusted."
    )
    exit_code = 6


class AnswerLost(errors.Error):
    """Control did not answer; the release note may have been accepted."""

    code = "answer_lost"
    remedy = (
        "Run the same command with the same text again; a release note is"
        " accepted at most once. `auburnway-operator status` shows whether"
        " control has a quorum."
    )
    exit_code = 4


@dataclasses.dataclass(frozen=True)
class Context:
    """Settings, clock and connections that the operations use.

    Attributes:
      settings: Settings of the command.
      clock: Clock for the limits of waits.
      connect: Returns a control client for the given addresses.
      fetch: Reads the status page of an entry.
      sleep_ms: Sleeps for a time in ms.
    """

    settings: settings_lib.OperatorSettings
    clock: clock_lib.Clock
    connect: abc.Callable[[tuple[str, ...]], typing.Any]
    fetch: abc.Callable = entry_status.fetch
    sleep_ms: abc.Callable[[float], None] = lambda ms: time.sleep(ms / 1000)

    def call(self, client, method: str, request) -> tuple[typing.Any, list]:
        """Calls control and returns the reply and its errors.

        The reply is None if control did not answer.
        """
        timeout_ms = self.settings.call_timeout_ms
        reply = client.call(method, request, timeout_ms)
        if not pipeline.is_successful(reply):
            return None, [outcome_lib.error_dict(reply.failure())]
        reply = reply.unwrap()
        # Replies have a field `errors`, a field `error`, or neither.
        failures = list(getattr(reply, "errors", ()))
        if hasattr(reply, "error"):
            failures.append(reply.error)
        return reply, [
            outcome_lib.error_dict(error) for error in failures if error.code
        ]

    def client(self):
        """Returns a client of all control instances."""
        return self.connect(self.settings.control_addresses)


def check(text: str, source: str) -> Outcome:
    """Checks keys, types and ranges of a release note without a call."""
    parsed = note_lib.parse(text, source)
    if not pipeline.is_successful(parsed):
        return outcome_lib.from_errors(parsed.failure())
    note = parsed.unwrap()
    if note.problems:
        return outcome_lib.from_errors(note.problems, number=note.number)
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
    reply, failures = context.call(context.client(), "Plan", request)
    if failures:
        return _failure(failures)
    rows = [_message_fields(change) for change in reply.changes]
    data = {"number_in_force": reply.number_in_force, "changes": rows}
    title = f"after release note {reply.number_in_force}, this would change:"
    return Outcome(outcome_lib.DONE, data, f"{title}\n{render.changes(rows)}")


def apply(context: Context, text: str, wait_ms: float) -> Outcome:
    """Applies a release note and waits until it is in force everywhere.

    Args:
      context: Settings, clock and connections.
      text: Release note in TOML.
      wait_ms: Limit in ms of the wait for control plus that for all entries.
    """
    end_ms = context.clock.now_ms() + wait_ms
    client = context.client()
    request = control_pb2.NoteRequest(text=text, author=context.settings.author)
    # A request without an answer is retried: control returns the same receipt
    # for the same text.
    while True:
        reply, failures = context.call(client, "Apply", request)
        is_unavailable = (
            outcome_lib.exit_code(failures) == outcome_lib.UNAVAILABLE
        )
        if not failures or not is_unavailable:
            break
        if context.clock.now_ms() >= end_ms:
            answer_lost = AnswerLost(
                "control gave no receipt in time"
            ).as_dict()
            return _failure([*failures, answer_lost])
        context.sleep_ms(_POLL_MS)
    if failures:
        return _failure(failures)
    data = {
        "number": reply.number,
        "digest": reply.digest,
        "revision": reply.revision,
        "accepted_wall_ms": reply.accepted_wall_ms,
        "repeated_submission": reply.repeated_submission,
    }
    accepted_at = render.utc_time(reply.accepted_wall_ms)
    suffix = " before" if reply.repeated_submission else ""
    title = (
        f"release note {reply.number} was accepted{suffix} at {accepted_at},"
        f" revision {reply.revision}"
    )
    return _wait_in_force(context, client, reply.number, end_ms, data, title)


def show(context: Context, item: str | None = None) -> Outcome:
    """Shows the configuration in force, or the items of one type."""
    configuration, failures = _read_configuration(context)
    if failures:
        return _failure(failures)
    data = render.configuration_data(configuration)
    if item is not None:
        for item_type, field in configuration_lib.FIELD_BY_ITEM_TYPE.items():
            if item_type != item:
                data[field] = ()
    return Outcome(outcome_lib.DONE, data, render.configuration(data))


def diff_text(context: Context, text: str, source: str) -> Outcome:
    """Shows the changes of a release note, even of one that is refused."""
    parsed = note_lib.parse(text, source)
    if not pipeline.is_successful(parsed):
        return outcome_lib.from_errors(parsed.failure())
    note = parsed.unwrap()
    configuration, failures = _read_configuration(context)
    if failures:
        return _failure(failures)
    problems = note_lib.check(configuration, note)
    new_configuration = note_lib.apply(configuration, note)
    rows = [
        dataclasses.asdict(change)
        for change in note_lib.diff(configuration, new_configuration)
    ]
    error_dicts = tuple(outcome_lib.error_dict(error) for error in problems)
    code = (
        outcome_lib.exit_code(error_dicts) if error_dicts else outcome_lib.DONE
    )
    data = {"number_in_force": configuration.number, "changes": rows}
    return Outcome(code, data, render.changes(rows), error_dicts)


def diff_number(context: Context, number: int) -> Outcome:
    """Shows what an accepted release note changed."""
    rows, _, failures = _read_audit_rows(context, 0)
    if failures:
        return _failure(failures)
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
            f" {render.utc_time(row['wall_ms'])}: {detail['summary']}"
        )
        text = f"{title}\n{render.changes(detail['changes'])}"
        return Outcome(outcome_lib.DONE, data, text)
    detail = f"no accepted release note has number {number}"
    return outcome_lib.from_errors([NoSuchNote(detail)])


def compose_note(
    context: Context, action: str, item: str, name: str
) -> tuple[str, Outcome | None]:
    """Writes the release note that adds or withdraws one item.

    Args:
      context: Settings, clock and connections.
      action: `add` or `withdraw`.
      item: Item type.
      name: Name of the item.

    Returns:
      The text of the release note, and None; or an outcome if the item is in
      force already, control does not answer, or the release note is refused.
    """
    configuration, failures = _read_configuration(context)
    if failures:
        return "", _failure(failures)
    is_in_force = configuration.find(item, name) is not None
    if action == "add" and is_in_force:
        # An addition may be repeated, as the first answer may have been lost.
        data = {"number": configuration.number}
        text = f"{item} {name} is already in force"
        return "", Outcome(outcome_lib.DONE, data, text)
    text = (
        f"number = {configuration.number + 1}\n"
        f"author = {_toml_string(context.settings.author)}\n"
        f"summary = {_toml_string(f'{action} {item} {name}'[:200])}\n\n"
        f"[[{action}.{item}]]\nname = {_toml_string(name)}\n"
    )
    note = note_lib.parse(text, "composed release note").unwrap()
    refusals = note_lib.check(configuration, note)
    return text, outcome_lib.from_errors(refusals) if refusals else None


def survivable_losses(voters: abc.Iterable[render.JsonObject]) -> int:
    """Returns how many voters may still be lost, as the leader sees it.

    Args:
      voters: Rows of `voters` in the leader's status.
    """
    voters = [row for row in voters if row["role"] == "voter"]
    heard = [
        row
        for row in voters
        if 0 <= int(row["last_heard_ms"]) <= raft_records.ELECTION_MAX_MS
    ]
    return member_set.majority_margin(len(voters), len(heard))


def status(context: Context) -> Outcome:
    """Shows control instances, entries and backend servers."""
    settings = context.settings
    control = []
    for address in settings.control_addresses:
        reply, failures = context.call(
            context.connect((address,)), "Status", control_pb2.StatusRequest()
        )
        row = {"error": failures[0]} if failures else _message_fields(reply)
        control.append({"address": address, **row})
    leaders = [row for row in control if row.get("role") == "leader"]
    has_quorum = any(row.get("has_quorum") for row in leaders)
    entries, control_errors = [], []
    if has_quorum:
        reply, control_errors = context.call(
            context.client(), "InForce", control_pb2.ReadRequest()
        )
        entries = (
            []
            if control_errors
            else [_message_fields(entry) for entry in reply.entries]
        )
    addresses = dict.fromkeys(settings.entry_addresses)
    addresses.update((entry["caller_address"], None) for entry in entries)
    status_pages, entry_errors = [], []
    for address in addresses:
        page = context.fetch(address, settings.call_timeout_ms)
        if pipeline.is_successful(page):
            status_pages.append({"address": address, **page.unwrap()})
        else:
            entry_errors.append(outcome_lib.error_dict(page.failure()))
    servers = entry_status.merge_backend_servers(status_pages)
    newest_leader = max(leaders, key=lambda row: row["term"], default=None)
    data = {
        "control": control,
        "entries": entries,
        "entry_pages": [
            {k: value for k, value in page.items() if k != "backend_servers"}
            for page in status_pages
        ],
        "backend_servers": servers,
    }
    sections = [render.control(control)]
    if newest_leader is not None:
        sections.append(render.voters(newest_leader["voters"]))
        losses = survivable_losses(newest_leader["voters"])
        data["survivable_losses"] = losses
        sections.append(f"voters that may still be lost: {losses}")
    sections.append(render.entries(entries))
    sections.append(render.backend_servers(servers))
    if not has_quorum:
        detail = "no control instance is leader with a quorum"
        control_errors = [errors.ControlUnavailable(detail).as_dict()]
    failures = (*control_errors, *entry_errors)
    code = outcome_lib.exit_code(failures) if failures else outcome_lib.DONE
    return Outcome(code, data, "\n\n".join(sections), failures)


def audit(context: Context, after: int, verify: bool) -> Outcome:
    """Shows the audit trail.

    Args:
      context: Settings, clock and connections.
      after: Rows up to and including this revision are left out.
      verify: Whether to read the whole trail and check its hash chain.
    """
    read_after = 0 if verify else after
    rows, control_valid, failures = _read_audit_rows(context, read_after)
    if failures:
        return _failure(failures)
    shown_rows = [row for row in rows if row["revision"] > after]
    data: dict[str, typing.Any] = {"rows": shown_rows}
    text = render.audit(shown_rows)
    if not verify:
        return Outcome(outcome_lib.DONE, data, text)
    invalid_revision = audit_lib.verify(audit_lib.Row(**row) for row in rows)
    data["chain_valid"] = invalid_revision is None and control_valid
    if data["chain_valid"]:
        text += f"\n{len(rows)} rows verified"
        return Outcome(outcome_lib.DONE, data, text)
    detail = "control reports a broken hash chain"
    if invalid_revision is not None:
        data["first_invalid_revision"] = invalid_revision
        detail = f"the hash chain breaks at revision {invalid_revision}"
    error_dicts = (AuditInvalid(detail, "audit").as_dict(),)
    return Outcome(outcome_lib.AUDIT_INVALID, data, text, error_dicts)


def _wait_in_force(context, client, number, end_ms, data, title) -> Outcome:
    while True:
        reply, failures = context.call(
            client, "InForce", control_pb2.ReadRequest()
        )
        rows = (
            []
            if failures
            else [_message_fields(entry) for entry in reply.entries]
        )
        # `everywhere` of the reply refers to the newest number, which may be
        # greater than this one. An entry whose lease has expired may still
        # serve under a lease lent by a peer, and only control can determine
        # when that lease has expired too.
        everywhere = (
            not failures
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
    behind = [row["name"] for row in rows if row["number"] < number]
    detail = f"release note {number} is accepted; not confirmed by" + (
        f" {', '.join(behind)}" if behind else " control"
    )
    error_dicts = (*failures, NotInForce(detail).as_dict())
    return Outcome(outcome_lib.NOT_YET_IN_FORCE, data, text, error_dicts)


def _read_configuration(context):
    reply, failures = context.call(
        context.client(), "Read", control_pb2.ReadRequest()
    )
    if failures:
        return None, failures
    if not reply.configuration:
        return configuration_lib.EMPTY, []
    return configuration_lib.decode(reply.configuration), []


def _read_audit_rows(context, after):
    """Reads all audit rows after a revision.

    Returns:
      The rows, whether control reports the hash chain as valid, and errors.
    """
    client = context.client()
    rows, valid = [], True
    while True:
        request = control_pb2.AuditRequest(
            after_revision=after, limit=_AUDIT_PAGE_ROWS
        )
        reply, failures = context.call(client, "Audit", request)
        if failures:
            return [], False, failures
        valid = valid and reply.chain_valid
        rows.extend(_message_fields(row) for row in reply.rows)
        # A page may be shorter than its limit, so only an empty page is the
        # end of the trail.
        if not reply.rows or reply.rows[-1].revision <= after:
            return rows, valid, []
        after = reply.rows[-1].revision


def _failure(error_dicts) -> Outcome:
    return Outcome(
        outcome_lib.exit_code(error_dicts), errors=tuple(error_dicts)
    )


def _message_fields(message) -> dict[str, typing.Any]:
    """Returns a protobuf message as a dict of its fields.

    A field with a message type is included only if it is repeated.
    """
    data = {}
    for field in message.DESCRIPTOR.fields:
        value = getattr(message, field.name)
        if field.message_type is None:
            data[field.name] = value
        elif field.is_repeated:
            data[field.name] = [_message_fields(element) for element in value]
    return data


def _toml_string(value: str) -> str:
    # A JSON string of printable characters is also a valid TOML string.
    return json.dumps(value, ensure_ascii=False)
