"""Tests of what a control instance sends to the entries."""

import msgpack

from auburnway.core import server_table
from auburnway.registrar import entry_news
from auburnway.registrar import messages


class Stream:
    """Fake stream that records messages."""

    def __init__(self):
        self.sent = []

    def send(self, value):
        self.sent.append(messages.decode(value))

    def send_packed(self, frame):
        value = msgpack.unpackb(frame[4:], use_list=False)
        self.sent.append(messages.decode(value))

    def take(self):
        sent, self.sent = self.sent, []
        return sent


def row(name, state=server_table.State.READY):
    return server_table.Row(name, 1, 1, "s", f"{name}:80", "z", 3, state)


def connected(count=1):
    table = server_table.Table()
    news = entry_news.EntryNews(table, "z")
    streams = [Stream() for _ in range(count)]
    for n, stream in enumerate(streams):
        news.put_state(stream, messages.EntryState(f"e{n}:1", "z", True))
    return table, news, streams


def test_control_instances_are_sent_only_when_they_change():
    # Guards against the whole list to each entry with each configuration.
    _, news, (stream,) = connected()
    first = messages.Controls("c", ("a:1", "b:1"))
    for _ in range(3):
        news.push_controls(first)
    news.push_controls(None)
    assert stream.take() == [first]
    second = messages.Controls("c", ("a:1",))
    news.push_controls(second)
    assert stream.take() == [second]


def test_first_heartbeats_are_sent_together():
    # Guards against a message to each entry for each server that starts.
    _, news, (stream,) = connected()
    news.add_heard("s1")
    news.add_heard("s2")
    assert not stream.sent
    news.flush()
    news.flush()
    assert stream.take() == [messages.Heard(("s1", "s2"), True)]


def test_digest_goes_to_watchers_when_the_table_changes():
    table, news, (watcher, other) = connected(2)
    news.on_watch(messages.Watch(True), watcher)
    empty = messages.TableDigest(table.digest())
    assert watcher.take() == [empty]
    table.put(row("s1"), 0.0)
    news.flush()
    news.flush()
    assert watcher.take() == [messages.TableDigest(table.digest())]
    news.on_watch(messages.Watch(False), watcher)
    table.put(row("s2"), 0.0)
    news.flush()
    assert not watcher.sent
    assert not other.sent


def test_request_for_the_table_gets_it_if_it_differs():
    # An entry that misses news subscribes for a moment to get all rows.
    table, news, (stream,) = connected()
    table.put(row("s1"), 0.0)
    news.on_subscribe(messages.Subscribe(True, "other"), stream)
    news.on_subscribe(messages.Subscribe(False, ""), stream)
    (rows,) = stream.take()
    assert [fields[0] for fields in rows.rows] == ["s1"]
    news.on_subscribe(messages.Subscribe(True, table.digest()), stream)
    assert not stream.sent


def test_end_of_a_server_is_in_the_table_that_is_sent():
    # Guards against a cached table without the end of a server that this
    # instance never knew, which the entry would go on using.
    table, news, (stream,) = connected()
    table.put(row("s1"), 0.0)
    news.send_table(stream)
    table.put(row("s2", server_table.State.ENDED), 0.0)
    news.send_table(stream)
    assert len(stream.take()[-1].rows) == 2
