"""Tests of the messages that a control instance sends to a new entry."""

import contextlib
import socket
import types

from auburnway.core import clock as clock_lib
from auburnway.kernel import process
from auburnway.net import socket_set
from auburnway.registrar import data_folder
from auburnway.registrar import messages
from auburnway.registrar import node as node_lib
from auburnway.registrar import revision_file
from auburnway.registrar import settings as settings_lib
from auburnway.storage import disk as disk_lib
from auburnway.storage import frames


class Stream:
    """Fake stream that records the messages sent to an entry."""

    def __init__(self):
        self.context = None
        self.sent = []

    def send(self, value):
        self.sent.append(messages.decode(value))

    def send_packed(self, frame):
        del frame


@contextlib.contextmanager
def running_node(is_first_start, disk=None):
    """Yields an instance without a leader."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    seeds = tuple(f"127.0.0.{n}:80" for n in (1, 2, 3))
    settings = settings_lib.Settings(
        name="c",
        ip="127.0.0.1",
        data_center="z",
        data_folder="",
        public_address="127.0.0.1:80",
        internal_port=port,
        seeds=seeds,
        is_first_start=is_first_start,
    )
    disk = disk or disk_lib.FakeDisk()
    identity, store = data_folder.open_store(settings, disk)
    loop = process.Loop(clock_lib.ManualClock())
    sockets = socket_set.SocketSet(loop.poller).register(loop.root)
    with loop.stack:
        yield node_lib.Node(settings, identity, store, loop, sockets, disk)


def initial_messages(is_first_start, disk=None):
    """Returns the messages of an instance without a leader to an entry."""
    with running_node(is_first_start, disk) as node:
        stream = Stream()
        node.on_hello(messages.Hello("entry", "e"), stream)
        node.on_entry_state(messages.EntryState("e:1", "z", True), stream)
        node.on_fetch(stream)
    return stream.sent


def controls(sent):
    return [m for m in sent if isinstance(m, messages.Controls)]


def test_new_entry_receives_the_members():
    (controls_message,) = controls(initial_messages(is_first_start=True))
    assert len(controls_message.addresses) == 3


def test_instance_without_members_names_no_control_instances():
    # Guards against entries that close their streams to all other instances
    # because an instance that lost its disk knows only the seeds.
    assert controls(initial_messages(is_first_start=False)) == []


def test_saved_configuration_is_offered_before_a_leader_is_elected():
    # Guards against refusing all requests after a loss of all processes until
    # an election has ended.
    disk = disk_lib.FakeDisk()
    payload = [7, b"digest", b"content"]
    disk.replace(revision_file.FILE, frames.encode(0, payload))
    sent = initial_messages(is_first_start=True, disk=disk)
    assert messages.Revision(7) in sent
    assert sent[-1] == messages.Document(7, b"content")


def test_request_to_join_is_passed_on_to_the_leader():
    # Guards against an instance that lost its disk and never joins again,
    # because the leader is none of the seeds that it knows.
    with running_node(is_first_start=True) as node:
        leader = next(
            m for m in node.consensus.raft.members if m.address != node.address
        )
        node.consensus.raft.leader = leader.incarnation
        sent = Stream()
        node.peers.dialer(leader.address).close()
        node.peers._dialers[leader.address] = types.SimpleNamespace(
            send=sent.send, close=lambda: None, stream=None
        )
        join = messages.Join("10.0.0.9:7", "10.0.0.9:7.x", "10.0.0.9:7")
        stream = Stream()
        node.on_hello(messages.Hello("control", join.address), stream)
        node.on_join(join, stream)
        assert sent.sent == [join]
        # A request that was passed on already is not passed on again.
        stream.context = "10.0.0.8:7"
        node.on_join(join, stream)
        assert sent.sent == [join]
