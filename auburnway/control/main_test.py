"""Tests of control processes that run on the loopback interface."""

import contextlib
import resource
import signal
import socket
import subprocess
import sys
import time

import pytest
from returns import pipeline

from auburnway.core import clock as clock_lib
from auburnway.rpc import control_client
from auburnway.rpc import control_errors
from auburnway.rpc import control_pb2 as pb
from auburnway.storage import frames
from auburnway.storage import wal as wal_lib

pytestmark = pytest.mark.processes

# Ends a test that hangs; a large value does not slow a test that passes.
TEST_TIMEOUT_S = 40.0


def _free_ports(count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]


def _wait_until(check):
    deadline_s = time.monotonic() + TEST_TIMEOUT_S
    while time.monotonic() < deadline_s:
        value = check()
        if value:
            return value
        time.sleep(0.02)
    return pytest.fail("the condition was not met in time")


class Group:
    """Control processes whose settings and data are under one path."""

    def __init__(self, path, count):
        self.path = path
        self.processes = {}
        self.addresses = {
            f"c{i}": f"127.0.0.1:{port}"
            for i, port in enumerate(_free_ports(count))
        }
        for name in self.addresses:
            self.write_settings(name)

    def write_settings(self, name):
        lines = [
            f'name = "{name}"',
            'data_center = "d"',
            f'data_folder = "{self.path / name}"',
            f'address = "{self.addresses[name]}"',
            'token = "fleet"',
        ]
        for other, address in self.addresses.items():
            if other != name:
                lines += ["[[peers]]", f'name = "{other}"']
                lines.append(f'address = "{address}"')
        (self.path / f"{name}.toml").write_text("\n".join(lines))

    def command(self, action, name):
        return (
            *(sys.executable, "-m", "auburnway.control.main", action),
            *("--settings", str(self.path / f"{name}.toml")),
        )

    def init(self):
        init_processes = [
            subprocess.Popen(self.command("init", name))
            for name in self.addresses
        ]
        assert [p.wait(TEST_TIMEOUT_S) for p in init_processes] == [0] * len(
            init_processes
        )

    def start(self, name, **options):
        self.processes[name] = subprocess.Popen(
            self.command("run", name), **options
        )

    def stop(self):
        for process in self.processes.values():
            process.kill()
            process.wait()

    def client(self, token="fleet"):
        addresses = tuple(self.addresses.values())
        clock = clock_lib.SystemClock()
        return control_client.ControlClient(addresses, token, clock)

    def status(self, client, name):
        address = self.addresses[name]
        answer = client.call("Status", pb.StatusRequest(), 500, address)
        return answer.value_or(pb.StatusReply())

    def leader(self, client):
        def find_leader():
            for name in self.processes:
                if self.status(client, name).role == "leader":
                    return name
            return None

        return _wait_until(find_leader)


@pytest.fixture
def make_group(tmp_path):
    with contextlib.ExitStack() as stack:

        def make(count):
            group = Group(tmp_path, count)
            stack.callback(group.stop)
            group.init()
            return group

        yield make


def _accept(client, number):
    text = (
        f'number = {number}\nauthor = "o"\nsummary = "s"\n'
        f'[[add.caller]]\nname = "caller{number}"\n'
    )
    request = pb.NoteRequest(text=text, author="o")

    def accept():
        reply = client.call("Apply", request, 5000)
        if not pipeline.is_successful(reply):
            return None
        assert not reply.unwrap().errors
        return reply.unwrap()

    return _wait_until(accept)


def test_three_processes_survive_a_killed_leader_and_a_lost_disk(make_group):
    # Covers election, sync, restart, repair of a lost disk, a frozen leader and
    # leadership transfer in one run.
    group = make_group(3)
    for name in group.addresses:
        group.start(name)
    with group.client() as client:
        receipt = _accept(client, 1)
        killed = group.leader(client)
        group.processes[killed].kill()
        group.processes[killed].wait()
        _accept(client, 2)
        # A resent note, as after a lost reply, gets the same receipt.
        resubmission = _accept(client, 1)
        assert resubmission.repeated_submission
        assert resubmission.revision == receipt.revision
        group.start(killed)
        _wait_until(lambda: group.status(client, killed).number == 2)

        # The same instance loses its disk.
        group.processes[killed].kill()
        group.processes[killed].wait()
        for path in (group.path / killed).iterdir():
            path.unlink()
        refused = subprocess.run(group.command("init", killed), check=False)
        assert refused.returncode == 3
        group.start(killed)

        def is_repaired():
            status = group.status(client, killed)
            voters = {v.incarnation for v in status.voters if v.role == "voter"}
            return status.incarnation in voters and len(voters) == 3

        _wait_until(is_repaired)
        assert group.status(client, killed).number == 2

        # The leader is frozen without notice and resumes later.
        frozen = group.leader(client)
        group.processes[frozen].send_signal(signal.SIGSTOP)
        _accept(client, 3)
        group.processes[frozen].send_signal(signal.SIGCONT)
        _wait_until(lambda: group.status(client, frozen).number == 3)

        stopped = group.leader(client)
        group.processes[stopped].terminate()
        assert group.processes[stopped].wait(TEST_TIMEOUT_S) == 0
        _accept(client, 4)


def test_file_size_limit_stops_the_process_and_keeps_all_receipts(make_group):
    # Guards against receipts for notes that a full disk did not store.
    group = make_group(1)

    def limit_file_size():
        resource.setrlimit(resource.RLIMIT_FSIZE, (30_000, 30_000))

    group.start("c0", preexec_fn=limit_file_size, stderr=subprocess.PIPE)
    accepted = 0
    with group.client() as client:
        _accept(client, 1)
        while group.processes["c0"].poll() is None:
            text = (
                f'number = {accepted + 2}\nauthor = "o"\nsummary = "s"\n'
                f'[[add.caller]]\nname = "caller{accepted + 2}"\n'
                f"# {'padding ' * 100}"
            )
            request = pb.NoteRequest(text=text, author="o")
            reply = client.call("Apply", request, 2000)
            if pipeline.is_successful(reply) and not reply.unwrap().errors:
                accepted += 1
        assert group.processes["c0"].returncode == 6
        assert b"Free space" in group.processes["c0"].stderr.read()
        assert accepted > 10
        group.start("c0")
        _wait_until(lambda: group.status(client, "c0").role == "leader")
        read = client.call("Read", pb.ReadRequest(), 5000).unwrap()
        assert read.number in (accepted + 1, accepted + 2)


def test_damaged_log_and_second_process_are_refused(make_group):
    group = make_group(1)
    group.start("c0")
    with group.client() as client:
        for number in (1, 2, 3):
            _accept(client, number)
        second = subprocess.run(group.command("run", "c0"), check=False)
        assert second.returncode == 3
        group.processes["c0"].kill()
        group.processes["c0"].wait()
    path = group.path / "c0" / f"{wal_lib.FILE_PREFIX}1"
    data = bytearray(path.read_bytes())
    data[data.index(frames.MAGIC, 1) + 40] ^= 1
    path.write_bytes(data)
    refused = subprocess.run(group.command("run", "c0"), check=False)
    assert refused.returncode == 7


def test_wrong_token_and_absent_instances_are_distinguished(make_group):
    # Guards against reporting `NotExecuted` for a call that may have had an
    # effect.
    group = make_group(1)
    with group.client() as client:
        answer = client.call("Claim", pb.ClaimRequest(), 300)
        assert isinstance(answer.failure(), control_errors.NotExecuted)
        group.start("c0")
        _accept(client, 1)
    with group.client("wrong") as client:
        answer = client.call("Read", pb.ReadRequest(), 2000)
        assert isinstance(answer.failure(), control_errors.BadToken)
