"""Command line of `auburnway-operator`.

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
    """The file of the release note cannot be read."""

    code = "unreadable_file"
    remedy = "Give the path of a UTF-8 file, or - for standard input."
    exit_code = 2


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser for the command line."""
    main_parser = argparse.ArgumentParser(
        prog="auburnway-operator",
        description="Shows and changes the configuration in force.",
        epilog=outcome_lib.__doc__.split("\n\n", 1)[1],
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    main_parser.add_argument(
        "--settings",
        default="operator.toml",
        help="settings file, TOML (default: %(default)s)",
    )
    main_parser.add_argument("--json", action="store_true", help="print JSON")
    commands = main_parser.add_subparsers(dest="command", required=True)

    def add_command(name, help_text, *, has_wait_option=False):
        command = commands.add_parser(name, help=help_text)
        if has_wait_option:
            command.add_argument(
                "--wait-ms",
                type=float,
                default=DEFAULT_WAIT_MS,
                help="longest wait in ms until in force everywhere",
            )
        return command

    file_help = "release note, TOML; - is standard input"
    add_command("check", "check a file without a call to control").add_argument(
        "file", help=file_help
    )
    add_command("plan", "show what a file would change").add_argument(
        "file", help=file_help
    )
    add_command(
        "apply", "apply a file; may be repeated", has_wait_option=True
    ).add_argument("file", help=file_help)
    show = add_command("show", "show the configuration in force")
    show.add_argument("item", nargs="?", choices=configuration_lib.ITEM_TYPES)
    add_command(
        "diff", "show the changes of a file or of an accepted number"
    ).add_argument(
        "subject",
        metavar="FILE|NUMBER",
        help="file, or number of an accepted release note",
    )
    withdraw = add_command(
        "withdraw", "withdraw one item", has_wait_option=True
    )
    withdraw.add_argument("item", choices=configuration_lib.ITEM_TYPES)
    withdraw.add_argument("name")
    for name, text in (
        ("drain", "stop sending new work to a backend server"),
        ("undrain", "end the drain of a backend server"),
    ):
        add_command(name, text, has_wait_option=True).add_argument("name")
    add_command("status", "show control instances, entries and backend servers")
    explain = add_command(
        "explain", "show the timeline of one request, from logs"
    )
    explain.add_argument("request", help="request id")
    explain.add_argument(
        "--logs",
        type=pathlib.Path,
        required=True,
        metavar="DIR",
        help="folder with the logs of all processes",
    )
    audit = add_command("audit", "show the audit trail of changes")
    audit.add_argument(
        "--verify", action="store_true", help="check the whole hash chain"
    )
    audit.add_argument(
        "--after",
        type=int,
        default=0,
        metavar="N",
        help="leave out rows up to revision N",
    )
    return main_parser


def run(
    arguments: argparse.Namespace,
    make_context: abc.Callable[[], operations.Context],
) -> outcome_lib.Outcome:
    """Runs one command.

    Args:
      arguments: Parsed command line.
      make_context: Called only if the command uses control or entries.
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
            return outcome_lib.from_errors([UnreadableFile(str(error), path)])
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
    text, early_outcome = operations.compose_note(
        context, action, item, arguments.name
    )
    # With --json, standard output must hold a single JSON document.
    if text:
        print(text, file=sys.stderr if arguments.json else sys.stdout)
    if early_outcome is not None:
        return early_outcome
    return operations.apply(context, text, arguments.wait_ms)


def print_outcome(outcome: outcome_lib.Outcome, as_json: bool) -> int:
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
    parsed = make_parser().parse_args(arguments)

    def make_context():
        settings = process.load_settings(
            settings_lib.OperatorSettings, parsed.settings
        )
        # Imported here, as the import of grpc takes longer than all of `check`.
        from auburnway.rpc import control_client

        clock = clock_lib.SystemClock()
        return operations.Context(
            settings,
            clock,
            lambda addresses: control_client.ControlClient(
                addresses, settings.token, clock
            ),
        )

    return print_outcome(run(parsed, make_context), parsed.json)


def _read_text(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    return pathlib.Path(path).read_text("utf-8")


if __name__ == "__main__":
    sys.exit(main())
