"""Control instance: consensus on configurations, and updates to the entries.

Each control instance accepts heartbeats of backend servers and pushes changes
to all entries and to the other control instances. An entry keeps a stream to
every control instance, so the loss of one causes no delay. A process that
connects sends its rows of backend servers, so a control instance that starts
with an empty table receives all rows again.
"""

from collections import abc

import loguru
from returns import pipeline
from returns import result

from auburnway.control import node as consensus
from auburnway.control import store as store_lib
from auburnway.core import errors
from auburnway.core import raft_records
from auburnway.core import raft_wire
from auburnway.core import server_table
from auburnway.kernel import process
from auburnway.net import socket_set
from auburnway.net import stream as stream_lib
from auburnway.registrar import backend_servers
from auburnway.registrar import copy_writer
from auburnway.registrar import crash_reports
from auburnway.registrar import data_folder
from auburnway.registrar import entry_news
from auburnway.registrar import message_handlers
from auburnway.registrar import messages
from auburnway.registrar import peers as peers_lib
from auburnway.registrar import replies
from auburnway.registrar import revision_file
from auburnway.registrar import revision_machine
from auburnway.registrar import settings as settings_lib
from auburnway.registrar import table_file
from auburnway.storage import disk as disk_lib

TICK_MS = 250.0
# Entries need about this long to connect after a start of all processes; an
# earlier list of entries would lack most of them.
FIRST_LIST_MS = 500.0
# After a start of all processes, no request is served before an election ends.
# Control instances are few and near each other, so short timeouts suffice.
RAFT_HEARTBEAT_MS = 75.0
ELECTION_MIN_MS = 300.0
ELECTION_MAX_MS = 600.0
FIRST_ELECTION_MAX_MS = 200.0
# Period in which the table of backend servers is saved.
SAVE_MS = 1_000.0


class _RaftLink:
    """Sends Raft messages over the stream to one control instance."""

    def __init__(self, node: "Node", address: str):
        self._node = node
        self._address = address

    def send(self, message: raft_records.Message) -> None:
        dialer = self._node.peers.dialer(self._address)
        wire = messages.Raft(self._node.address, raft_wire.encode(message))
        dialer.send(messages.encode(wire))

    def close(self) -> None:
        """Does nothing, because the node owns the stream."""


class Node:
    """One control instance.

    Args:
      settings: Settings of the instance.
      identity: Identity in the data folder.
      store: Open data folder.
      loop: Event loop of this node.
      sockets: Set that the streams are registered with.
      disk: Data folder, in which a copy of the table is saved.

    Attributes:
      address: Address for control instances and entries, ip:port.
      table: Table of backend servers.
      peers: Streams to the other control instances.
      servers: Handles the calls of backend servers.
      crash_reports: Handles what entries report of crashing requests.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        identity: store_lib.Identity,
        store: store_lib.Store,
        loop: process.Loop,
        sockets: socket_set.SocketSet,
        disk: disk_lib.Disk,
    ):
        self.address = f"{settings.ip}:{settings.internal_port}"
        self.table = server_table.Table()
        self._settings = settings
        self._identity = identity
        self._loop = loop
        self._clock = loop.clock
        self._sockets = sockets
        self._started_ms = self._clock.now_ms()
        self.peers = peers_lib.Peers(
            self.address,
            settings.tolerated_losses,
            lambda: len(self.consensus.raft.members),
            self._dial,
        )
        self._entries = entry_news.EntryNews(self.table, settings.data_center)
        self._saved_state = revision_file.load(disk)
        self._sent_revision = self._saved_state.revision
        self.consensus = consensus.Node(
            identity,
            self.address,
            store,
            loop,
            lambda address, post: _RaftLink(self, address),
            revision_machine.RevisionMachine(),
            self._ask_to_join,
            raft_records.Config(
                identity.incarnation,
                RAFT_HEARTBEAT_MS,
                ELECTION_MIN_MS,
                ELECTION_MAX_MS,
                FIRST_ELECTION_MAX_MS,
                remove_silent_ms=settings.remove_silent_ms,
                replace_silent_ms=settings.replace_silent_ms,
                min_voters=2 * settings.tolerated_losses + 1,
            ),
        )
        self.consensus.on_applied = self._on_applied
        self._listener = stream_lib.Listener(
            self.address,
            sockets,
            loop.timers,
            self._clock,
            self._on_message,
            self._on_lost,
        )
        loop.stack.callback(self._listener.close)
        loop.stack.callback(self.peers.close)
        self._sync_dialers()
        writer = copy_writer.CopyWriter(disk, loop.stack, self.consensus.post)
        self.servers = backend_servers.BackendServers(
            self.peers,
            self._entries,
            self.table,
            table_file.TableSaver(writer),
            loop.timers,
            self._clock,
            settings.heartbeat_ms,
        )
        self.crash_reports = crash_reports.CrashReports(
            self._entries, self._clock
        )
        self._revision_saver = revision_file.RevisionSaver(
            writer, self._saved_state
        )
        for row in table_file.load(disk):
            self.table.put(row, self._started_ms)
        loop.timers.every(TICK_MS, self._tick)
        loop.timers.every(SAVE_MS, self._save)

    @property
    def entry_count(self) -> int:
        """Number of entries that are connected."""
        return len(self._entries)

    # Operators.

    def put_configuration(
        self,
        command: revision_machine.PutRevision,
        on_reply: abc.Callable[[result.Result], None],
    ) -> None:
        """Proposes a valid configuration; a majority must have it on disk.

        Args:
          command: Revision with its digest and stored form.
          on_reply: Called with Success(None), `RevisionConflict`, `SeeLeader`
            or `NotAvailable`.
        """
        leader_error = self._leader_error()
        if leader_error is not None:
            on_reply(result.Failure(leader_error))
            return

        def on_applied(reply: result.Result):
            if not pipeline.is_successful(reply):
                error = replies.NotAvailable("the outcome is not known")
                on_reply(result.Failure(error))
            elif reply.unwrap():
                on_reply(result.Success(None))
            else:
                error = replies.RevisionConflict(f"revision {command.revision}")
                on_reply(result.Failure(error))

        self.consensus.post(lambda: self.consensus.propose(command, on_applied))

    def read_configuration(
        self, on_reply: abc.Callable[[result.Result], None]
    ) -> None:
        """Performs a linearizable read of the configuration in force.

        Args:
          on_reply: Called with the `revision_machine.State`, `SeeLeader` or
            `NotAvailable`.
        """
        leader_error = self._leader_error()
        if leader_error is not None:
            on_reply(result.Failure(leader_error))
            return

        def on_ready(reply: result.Result):
            state = self.consensus.state
            if not pipeline.is_successful(reply):
                error = replies.NotAvailable("leadership was lost")
                on_reply(result.Failure(error))
            elif state.revision < 0:
                error = replies.NotAvailable("there is no configuration yet")
                on_reply(result.Failure(error))
            else:
                on_reply(result.Success(state))

        self.consensus.post(lambda: self.consensus.linearizable_read(on_ready))

    def _leader_error(self) -> errors.Error | None:
        if self.consensus.is_leader:
            return None
        leader = self.consensus.leader_address
        if not leader or not self.consensus.raft.has_leader_contact():
            return replies.NotAvailable("no leader is known")
        return replies.SeeLeader(leader.rpartition(":")[0])

    # Streams.

    def _dial(self, address: str) -> stream_lib.Dialer:
        return stream_lib.Dialer(
            address,
            self._sockets,
            self._loop.timers,
            self._clock,
            self._on_open,
            self._on_message,
            lambda stream: self.servers.repeat_recent(),
        )

    def _on_open(self, stream: stream_lib.Stream) -> None:
        hello = messages.Hello("control", self.address)
        stream.send(messages.encode(hello))
        self._entries.send_table(stream)

    def _on_message(self, stream: stream_lib.Stream, value) -> None:
        try:
            message = messages.decode(value)
        except (KeyError, TypeError, ValueError) as error:
            loguru.logger.bind(peer=stream.peer_ip).warning(
                "ignored an undecodable message: {}", repr(error)
            )
            return
        message_handlers.handle(message, stream, self)

    def _on_lost(self, stream: stream_lib.Stream) -> None:
        if self._entries.drop(stream):
            # The next tick removes the entry from the list, unless it has
            # connected again: a reset connection is no lost entry.
            loguru.logger.bind(entry=str(stream.context)).warning(
                "lost the stream of an entry"
            )

    def on_hello(
        self, hello: messages.Hello, stream: stream_lib.Stream
    ) -> None:
        """Handles the first message of a connected process."""
        stream.context = hello.name
        if hello.kind == "control":
            self._entries.send_table(stream)

    def on_entry_state(
        self, state: messages.EntryState, stream: stream_lib.Stream
    ) -> None:
        """Records the state of an entry; sends all state to a new entry."""
        is_new, is_urgent = self._entries.put_state(stream, state)
        if is_urgent:
            self._push_entries()
        if is_new:
            self._entries.send_state(
                stream,
                self._controls(),
                self.servers.heard_ids,
                self._newest_state().revision,
            )
            self.crash_reports.send_all(stream)

    def on_subscribe(
        self, subscribe: messages.Subscribe, stream: stream_lib.Stream
    ) -> None:
        """Starts or ends the news of backend servers to an entry."""
        self._entries.on_subscribe(subscribe, stream)

    def on_watch(
        self, watch: messages.Watch, stream: stream_lib.Stream
    ) -> None:
        """Starts or ends the digests of the table to an entry."""
        self._entries.on_watch(watch, stream)

    def on_fetch(self, stream: stream_lib.Stream) -> None:
        """Sends the newest configuration that this instance has applied."""
        state = self._newest_state()
        if state.revision >= 0:
            document = messages.Document(state.revision, state.content)
            stream.send(messages.encode(document))

    def _newest_state(self) -> revision_machine.State:
        """Returns the newest configuration that is known to be committed."""
        states = (self._saved_state, self.consensus.state)
        return max(states, key=lambda state: state.revision)

    def on_raft(self, raft: messages.Raft) -> None:
        """Passes a Raft message to the consensus node."""
        message = raft_wire.decode(raft.message)
        self.consensus.post(
            lambda: self.consensus.receive(raft.sender, (message,))
        )

    def on_join(self, join: messages.Join, stream: stream_lib.Stream) -> None:
        """Adds a control instance, or passes its request on to the leader.

        An instance that lost its disk knows only the seeds, and the leader may
        be none of them. Only the first receiver passes a request on.
        """
        is_direct = stream.context == join.address
        leader = self.consensus.leader_address
        if not self.consensus.is_leader and is_direct and leader:
            self.peers.dialer(leader).send(messages.encode(join))
            return
        member = raft_records.Member(
            join.name, join.incarnation, join.address, voter=False
        )
        self.consensus.post(lambda: self.consensus.add_learner(member))

    def _push_entries(self) -> None:
        if self._clock.now_ms() - self._started_ms >= FIRST_LIST_MS:
            self._entries.push_entries()

    # Periodic work.

    def _tick(self) -> None:
        self.servers.check()
        self.crash_reports.purge()
        self._push_entries()
        self._entries.flush()
        self._sync_dialers()

    def _save(self) -> None:
        self.servers.save()
        self._revision_saver.save(self.consensus.state)

    def _controls(self) -> messages.Controls | None:
        """Returns the control instances; None before they are known.

        An instance that lost its disk knows only the seeds until it has joined
        again. Entries must not close their streams to the others because of it.
        """
        addresses = sorted(m.address for m in self.consensus.raft.members)
        if not addresses:
            return None
        return messages.Controls(self.address, tuple(addresses))

    def _sync_dialers(self) -> None:
        expected_addresses = {m.address for m in self.consensus.raft.members}
        expected_addresses |= data_folder.internal_addresses(self._settings)
        self.peers.keep(expected_addresses - {self.address})

    def _ask_to_join(self) -> None:
        join = messages.Join(
            self._identity.name, self._identity.incarnation, self.address
        )
        self.peers.send(join)

    def _on_applied(self) -> None:
        revision = self.consensus.state.revision
        if revision > self._sent_revision:
            self._sent_revision = revision
            self._revision_saver.save(self.consensus.state)
            self._entries.push(messages.Revision(revision))
            loguru.logger.bind(revision=revision).info(
                "configuration is committed"
            )
        self._entries.push_controls(self._controls())
