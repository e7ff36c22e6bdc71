"""Entry points of the programs that the platform starts.

The settings file has the tier's own format and is generated from a template in
deploy/templates; the platform passes its path in an environment variable.
"""

import argparse
from collections import abc
import os
import pathlib
import socket
import sys
import time

import loguru

from auburnway.core import clock as clock_lib
from auburnway.kernel import logs
from auburnway.kernel import process
from auburnway.platform import early_listener


def main(
    arguments: abc.Sequence[str] | None = None,
    listener: socket.socket | None = None,
) -> int:
    """Runs one program until it ends, and returns its exit code.

    Args:
      arguments: Command line; None for that of this process.
      listener: Socket that listens for clients of an entry already; None if
        the entry is to open one.
    """
    parser = argparse.ArgumentParser(
        prog="auburnway-platform",
        description="Programs of auburnway on the users' platform.",
    )
    parser.add_argument("program", choices=("entry", "control"))
    variable = early_listener.SETTINGS_VARIABLE
    parser.add_argument(
        "--settings",
        default=os.environ.get(variable),
        help=f"settings file, TOML; by default ${variable}",
    )
    parser.add_argument("--log-level", default="INFO", choices=logs.LEVELS)
    options = parser.parse_args(arguments)
    if not options.settings:
        parser.error(f"--settings is required if ${variable} is unset")
    if options.program == "entry":
        return _run_entry(options, listener)
    return _run_control(options)


def _run_entry(
    options: argparse.Namespace, listener: socket.socket | None
) -> int:
    # Each program imports only the modules it uses, to start faster.
    from auburnway.gateway import node as node_lib
    from auburnway.gateway import settings as settings_lib
    from auburnway.gateway import telemetry as telemetry_lib
    from auburnway.net import web_server
    from auburnway.platform import documents
    from auburnway.platform import entry_calls as calls

    settings = process.load_settings(settings_lib.Settings, options.settings)
    writer = logs.set_up(settings.name, options.log_level, sys.stdout)
    loop = process.Loop(clock_lib.SystemClock())
    node = node_lib.Node(settings, documents.DIALECT, loop, listener)
    entry_calls = calls.EntryCalls(node, settings.address_ttl_ms)
    for address, on_request, on_round_trip in (
        (settings.ready_address, entry_calls.on_readiness, lambda _: None),
        (
            settings.directory_address,
            entry_calls.on_directory,
            node.client_delay.on_round_trip,
        ),
    ):
        if address:
            server = web_server.WebServer(
                address, node.sockets, loop.timers, loop.clock, on_request
            )
            server.on_round_trip = on_round_trip
            loop.stack.callback(server.close)
    telemetry = telemetry_lib.Telemetry(node, lambda: writer.dropped_count)
    node.on_answer = telemetry.on_answer
    _serve_metrics(settings.metrics_address, telemetry, loop, node.sockets)
    loop.on_stop = node.stop
    loop.on_reload = _log_reload
    loguru.logger.bind(address=settings.client_address).info("entry is running")
    loop.run()
    return 0


def _run_control(options: argparse.Namespace) -> int:
    from auburnway.net import socket_set
    from auburnway.net import web_server
    from auburnway.platform import control_calls as calls
    from auburnway.registrar import data_folder as folder_lib
    from auburnway.registrar import node as node_lib
    from auburnway.registrar import settings as settings_lib
    from auburnway.registrar import telemetry as telemetry_lib
    from auburnway.storage import disk as disk_lib

    settings = process.load_settings(settings_lib.Settings, options.settings)
    writer = logs.set_up(settings.name, options.log_level, sys.stdout)
    loop = process.Loop(clock_lib.SystemClock())
    try:
        folder = pathlib.Path(settings.data_folder)
        folder.mkdir(parents=True, exist_ok=True)
        disk = disk_lib.FolderDisk(folder)
        loop.stack.callback(disk.close)
        identity, store = folder_lib.open_store_with_room(
            settings, disk, time.sleep
        )
    except disk_lib.DiskFault as fault:
        loguru.logger.error(fault.error.message)
        return fault.error.exit_code
    sockets = socket_set.SocketSet(loop.poller).register(loop.root)
    loop.stack.callback(sockets.close)
    node = node_lib.Node(settings, identity, store, loop, sockets, disk)
    node.consensus.register(loop.root)
    port = int(settings.public_address.rpartition(":")[2])
    server = web_server.WebServer(
        settings.public_address,
        sockets,
        loop.timers,
        loop.clock,
        calls.ControlCalls(node, port).on_request,
        web_server.Limits(body_bytes=settings.body_bytes),
    )
    loop.stack.callback(server.close)
    telemetry = telemetry_lib.Telemetry(node, lambda: writer.dropped_count)
    _serve_metrics(settings.metrics_address, telemetry, loop, sockets)
    loop.on_stop = node.consensus.shut_down
    loop.on_reload = _log_reload
    loguru.logger.bind(
        address=settings.public_address, incarnation=identity.incarnation
    ).info("control instance is running")
    loop.run()
    return node.consensus.exit_code


def _serve_metrics(address: str, telemetry, loop, sockets) -> None:
    from auburnway.net import client_connection
    from auburnway.net import web_server

    if not address:
        return

    def on_request(request: client_connection.Request):
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        request.reply(200, headers, telemetry.text())

    server = web_server.WebServer(
        address, sockets, loop.timers, loop.clock, on_request
    )
    loop.stack.callback(server.close)


def _log_reload() -> None:
    # Addresses and seeds are read only at start. Streams to control instances
    # follow membership changes without a reload.
    loguru.logger.info("settings changed; they take effect at the next start")


if __name__ == "__main__":
    sys.exit(main())
