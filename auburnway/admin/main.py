"""The operator's command `auburnway-operator`.

Exit codes are listed in `auburnway.admin.outcome` and in `--help`.
"""

import argparse
from collections import abc
import json
import pathlib
import sys

from auburnway.admin import explain as explain_lib
from auburnway.admin import operations
from auburnway.admin import outcome as outcome_lib
from auburnway.admin import render
from auburnway.admin import settings as settings_lib
from auburnway.core import clock as clock_lib
from auburnway.core import configuration as configuration_lib
from auburnway.core import errors
from auburnway.kernel import process

DEFAULT_WAIT_MS = 30_000.0


class UnreadableFile(errors.Error):
    """The release note's file cannot be read."""

    code = "unreadable_file"
    remedy = "Give the path of a UTF-8 file, or - for standard input."
    exit_code = 2


def parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    root = argparse.ArgumentParser(
        prog="auburnway-operator",
        description="Changes and shows what is in force.",
        epilog=outcome_lib.__doc__.split("\n\n", 1)[1],
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    root.add_argument(
        "--settings",
        default="operator.toml",
        help="settings file, TOML (default: %(default)s)",
    )
    root.add_argument("--json", action="store_true", help="print JSON")
    commands = root.add_subparsers(dest="command", required=True)

    def add(name, help_text, *, waits=False):
        command = commands.add_parser(name, help=help_text)
        if waits:
            command.add_argument(
                "--wait-ms",
                type=float,
                default=DEFAULT_WAIT_MS,
                help="longest wait until in force everywhere",
            )
        return command

    file_help = "release note, TOML; - is standard input"
    add("check", "check a file without control").add_argument(
        "file", help=file_help
    )
    add("plan", "show what a file would change").add_argument(
        "file", help=file_help
    )
    add("apply", "apply a file; may be repeated", waits=True).add_argument(
        "file", help=file_help
    )
    show = add("show", "show the configuration in force")
    show.add_argument("item", nargs="?", choices=configuration_lib.ITEM_TYPES)
    add("diff", "show what a file or an accepted number changes").add_argument(
        "subject", metavar="FILE|NUMBER", help="digits are a number"
    )
    withdraw = add("withdraw", "withdraw one item", waits=True)
    withdraw.add_argument("item", choices=configuration_lib.ITEM_TYPES)
    withdraw.add_argument("name")
    for name, text in (
        ("drain", "send a backend server no new work"),
        ("undrain", "end the drain of a backend server"),
    ):
        add(name, text, waits=True).add_argument("name")
    add("status", "show control instances, entries and backend servers")
    explain = add("explain", "show one request on a time line, from logs")
    explain.add_argument("request", help="identity of the request")
    explain.add_argument(
        "--logs",
        type=pathlib.Path,
        required=True,
        metavar="DIR",
        help="folder with the logs of all processes",
    )
    audit = add("audit", "show the trail of changes")
    audit.add_argument(
        "--verify", action="store_true", help="check the whole hash chain"
    )
    audit.add_argument(
        "--after", type=int, default=0, metavar="N", help="skip to revision N"
    )
    return root


def run(
    arguments: argparse.Namespace,
    make_context: abc.Callable[[], operations.Context],
) -> outcome_lib.Outcome:
    """Runs one command.

    Args:
      arguments: Parsed command line.
      make_context: Called when the command needs more than a file.
    """
    command = arguments.command
    if command == "explain":
        return explain_lib.explain(arguments.request, arguments.logs)
    if command == "diff" and arguments.subject.isdecimal():
        return operations.diff_number(make_context(), int(arguments.subject))
    if command in ("check", "plan", "apply", "diff"):
        path = arguments.subject if command == "diff" else arguments.file
        try:
            text = _read_text(path)
        except (OSError, UnicodeDecodeError) as error:
            return outcome_lib.refused([UnreadableFile(str(error), path)])
        if command == "check":
            return operations.check(text, path)
        context = make_context()
        if command == "plan":
            return operations.plan(context, text)
        if command == "diff":
            return operations.diff_text(context, text, path)
        return operations.apply(context, text, arguments.wait_ms)
    context = make_context()
    if command == "show":
        return operations.show(context, arguments.item)
    if command == "status":
        return operations.status(context)
    if command == "audit":
        return operations.audit(context, arguments.after, arguments.verify)
    action = "add" if command == "drain" else "withdraw"
    item = arguments.item if command == "withdraw" else "drain"
    text, ended = operations.compose(context, action, item, arguments.name)
    # With --json, standard output holds one JSON document only.
    if text:
        print(text, file=sys.stderr if arguments.json else sys.stdout)
    if ended is not None:
        return ended
    return operations.apply(context, text, arguments.wait_ms)


def show_outcome(outcome: outcome_lib.Outcome, as_json: bool) -> int:
    """Prints an outcome and returns its exit code."""
    if as_json:
        data = {
            "exit_code": outcome.exit_code,
            **outcome.data,
            "errors": outcome.errors,
        }
        print(json.dumps(data, indent=2))
    else:
        if outcome.text:
            print(outcome.text)
        for error in outcome.errors:
            print(render.error(error), file=sys.stderr)
    return outcome.exit_code


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Runs the operator's command; returns its exit code."""
    parsed = parser().parse_args(arguments)

    def make_context():
        settings = process.load_settings(
            settings_lib.OperatorSettings, parsed.settings
        )
        # grpc takes longer to import than `check` takes to run.
        from auburnway.rpc import control_client

        clock = clock_lib.SystemClock()
        return operations.Context(
            settings,
            clock,
            lambda addresses: control_client.ControlClient(
                addresses, settings.token, clock
            ),
        )

    return show_outcome(run(parsed, make_context), parsed.json)


def _read_text(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    return pathlib.Path(path).read_text("utf-8")


if __name__ == "__main__":
    sys.exit(main())
