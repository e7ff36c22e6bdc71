"""Command line of the control process: `init` and `run`."""

import argparse
from collections import abc
from concurrent import futures
import dataclasses
import fcntl
import pathlib
import sys

import loguru
from returns import pipeline

from auburnway.control import entries as entries_lib
from auburnway.control import node as node_lib
from auburnway.control import operations as operations_lib
from auburnway.control import peer_link
from auburnway.control import service
from auburnway.control import state_machine
from auburnway.control import store as store_lib
from auburnway.core import clock as clock_lib
from auburnway.core import errors
from auburnway.core import raft_records as records
from auburnway.kernel import logs
from auburnway.kernel import process
from auburnway.kernel import registry
from auburnway.kernel import settings as settings_lib
from auburnway.rpc import channels
from auburnway.rpc import control_client
from auburnway.rpc import control_pb2 as pb
from auburnway.rpc import control_pb2_grpc as pb_grpc
from auburnway.storage import disk as disk_lib

LOCK_FILE = "lock"
JOIN_TIMEOUT_S = 1.0
# Thread switch interval of the interpreter. After each sync the consensus loop
# competes with the gRPC threads for the interpreter lock. With Python's default
# of 5 ms per thread, 30 concurrent calls could delay the loop by 150 ms.
THREAD_SWITCH_INTERVAL_S = 0.0005
STATUS_TIMEOUT_MS = 1000.0


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another control instance of the initial voter set."""

    name: str = settings_lib.setting("Name of the control instance.")
    address: str = settings_lib.setting(
        "gRPC address of that instance, ip:port."
    )


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of a control process."""

    name: str = settings_lib.setting("Unique name of this control instance.")
    data_center: str = settings_lib.setting("Data centre of this instance.")
    data_folder: str = settings_lib.setting("Path of the data folder.")
    address: str = settings_lib.setting("gRPC address, ip:port.")
    peers: tuple[Peer, ...] = settings_lib.setting(
        "All other control instances.", ()
    )
    token: str = settings_lib.setting(
        "Fleet token; alternatively, set token_file.", ""
    )
    token_file: str = settings_lib.setting("File with the fleet token.", "")
    claim_retention_ms: int = settings_lib.setting(
        "Retention period of claims, in milliseconds.",
        30 * 24 * 3600 * 1000,
        low=60_000,
    )
    entry_removal_ms: float = settings_lib.setting(
        "Removal of an entry after this time without a lease, in milliseconds.",
        600_000.0,
        low=5_000,
    )


class InitRefused(errors.Error):
    """`init` must not initialize the data folder."""

    code = "init_refused"
    remedy = (
        "Use `run` with an empty data folder, so that the instance joins under"
        " a new incarnation."
    )
    exit_code = 3


class FolderInUse(errors.Error):
    """Another process or instance owns the data folder."""

    code = "folder_in_use"
    remedy = "Stop the other process, or use another data_folder."
    exit_code = 3


class AddressInUse(errors.Error):
    """The gRPC server cannot listen on the configured address."""

    code = "address_in_use"
    remedy = "Choose a free address in the settings."
    exit_code = 3


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Runs the `init` or `run` command; returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="auburnway-control", description="Control process of auburnway."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, command_help in (
        (
            "init",
            "write the identity and the initial voter set to the data folder",
        ),
        ("run", "run the control process"),
    ):
        command = commands.add_parser(name, help=command_help)
        command.add_argument("--settings", required=True, help="TOML file")
        command.add_argument("--log-level", default="INFO", choices=logs.LEVELS)
    options = parser.parse_args(arguments)
    settings = process.load_settings(Settings, options.settings)
    logs.set_up(settings.name, options.log_level)
    try:
        token = _read_token(settings)
        folder = pathlib.Path(settings.data_folder)
        folder.mkdir(parents=True, exist_ok=True)
        with (folder / LOCK_FILE).open("w") as lock:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                return _print_error(FolderInUse(source=str(folder)))
            if options.command == "init":
                return _init(settings, token, folder)
            return _run(settings, token, folder)
    except disk_lib.DiskFault as fault:
        return _print_error(fault.error)
    except OSError as error:
        return _print_error(disk_lib.DiskError(str(error)))


def _print_error(error: errors.Error) -> int:
    print(error.message, file=sys.stderr)
    return error.exit_code


def _read_token(settings: Settings) -> str:
    token = settings.token
    if settings.token_file:
        try:
            token = pathlib.Path(settings.token_file).read_text("utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            token_error = settings_lib.SettingsError(str(error), "token_file")
            raise SystemExit(_print_error(token_error)) from error
    if not token:
        token_error = settings_lib.SettingsError("token is empty", "token")
        raise SystemExit(_print_error(token_error))
    return token


def _init(settings: Settings, token: str, folder: pathlib.Path) -> int:
    """Writes the identity and the initial voter set to the data folder."""
    disk = disk_lib.FolderDisk(folder)
    if store_lib.read_identity(disk) is not None:
        return _print_error(
            InitRefused("the folder already has an identity", str(folder))
        )
    # An instance whose disk was lost after the group had started must not run
    # under its first incarnation again, because the votes and entries of that
    # incarnation are lost.
    started_peers = _started_peers(settings, token)
    if started_peers:
        detail = f"{', '.join(started_peers)} are members of a started group"
        return _print_error(InitRefused(detail, str(folder)))
    addresses = {peer.name: peer.address for peer in settings.peers}
    addresses[settings.name] = settings.address
    members = tuple(
        records.Member(name, store_lib.first_incarnation(name), address)
        for name, address in sorted(addresses.items())
    )
    incarnation = store_lib.first_incarnation(settings.name)
    identity = store_lib.Identity(settings.name, incarnation)
    store_lib.create(disk, identity, members)
    loguru.logger.bind(incarnation=incarnation).info("data folder is ready")
    return 0


def _started_peers(settings: Settings, token: str) -> list[str]:
    """Returns the names of reachable peers with committed entries."""
    addresses = [peer.address for peer in settings.peers]
    clock = clock_lib.SystemClock()
    with control_client.ControlClient(addresses, token, clock) as client:
        pending_replies = []
        for peer in settings.peers:
            pending_reply: futures.Future = futures.Future()
            client.call_async(
                "Status",
                pb.StatusRequest(),
                STATUS_TIMEOUT_MS,
                pending_reply.set_result,
                peer.address,
            )
            pending_replies.append((peer.name, pending_reply))
        return [
            name
            for name, pending_reply in pending_replies
            if pipeline.is_successful(pending_reply.result())
            and pending_reply.result().unwrap().commit_index
        ]


def _run(settings: Settings, token: str, folder: pathlib.Path) -> int:
    """Runs until a signal or a disk fault; returns the exit code."""
    disk = disk_lib.FolderDisk(folder)
    identity = store_lib.read_identity(disk)
    if identity is None:
        incarnation = store_lib.new_incarnation(settings.name)
        identity = store_lib.Identity(settings.name, incarnation)
        store_lib.create(disk, identity, ())
        loguru.logger.bind(incarnation=incarnation).info(
            "the data folder was empty; joining as a learner"
        )
    if identity.name != settings.name:
        detail = f"the folder belongs to instance {identity.name!r}"
        return _print_error(FolderInUse(detail, str(folder)))
    store = store_lib.Store(disk)
    if store.truncated_bytes:
        loguru.logger.bind(size_bytes=store.truncated_bytes).warning(
            "removed an incomplete frame from the end of the log"
        )
    clock = clock_lib.SystemClock()
    loop = process.Loop(clock)
    loop.stack.callback(disk.close)
    join_requester = _JoinRequester(settings, identity, token)
    loop.stack.callback(join_requester.close)
    node = node_lib.Node(
        identity,
        settings.address,
        store,
        loop,
        lambda address, post: peer_link.PeerLink(
            address, settings.address, token, post
        ),
        state_machine.ControlStateMachine(),
        join_requester.request_join,
    )
    node.register(loop.root)
    entries = entries_lib.EntryRegistry(
        node, clock, loop.timers, settings.entry_removal_ms
    )
    operations = operations_lib.Operations(
        node,
        entries,
        clock,
        loop.timers,
        settings.claim_retention_ms,
        _load_policy_names(),
    )
    try:
        server, calls = service.serve(settings.address, token, node, operations)
    except RuntimeError as error:
        loop.stack.close()
        return _print_error(AddressInUse(str(error), settings.address))
    loop.stack.callback(lambda: server.stop(None).wait())
    loop.stack.callback(calls.close)
    loop.on_stop = node.shut_down
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    loguru.logger.bind(
        address=settings.address, incarnation=identity.incarnation
    ).info("control instance is running")
    loop.run()
    return node.exit_code


def _load_policy_names() -> dict[str, tuple[str, ...]] | None:
    registry.load("auburnway.policy")
    kinds = registry.kinds()
    return {kind: registry.names(kind) for kind in kinds} or None


class _JoinRequester:
    """Sends join requests to the other instances, to one at a time."""

    def __init__(self, settings, identity, token):
        self._request = pb.JoinRequest(
            name=identity.name,
            incarnation=identity.incarnation,
            address=settings.address,
        )
        self._metadata = channels.metadata(token)
        self._channels = [channels.connect(p.address) for p in settings.peers]
        self._next_index = 0

    def request_join(self) -> None:
        """Sends a join request to the next instance, without waiting.

        Only the leader acts on the request.
        """
        if not self._channels:
            return
        channel = self._channels[self._next_index % len(self._channels)]
        self._next_index += 1
        pb_grpc.ConsensusStub(channel).Join.future(
            self._request, timeout=JOIN_TIMEOUT_S, metadata=self._metadata
        )

    def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels:
            channel.close()


if __name__ == "__main__":
    sys.exit(main())
