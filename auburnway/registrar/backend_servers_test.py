"""Tests of how a control instance saves what others ask it to save."""

import types

from auburnway.core import clock as clock_lib
from auburnway.core import server_table
from auburnway.kernel import process
from auburnway.registrar import backend_servers
from auburnway.registrar import departures as departures_lib
from auburnway.registrar import entry_news
from auburnway.registrar import messages


class Saver:
    """Fake saver, whose saves the test ends."""

    def __init__(self):
        self.is_busy = False
        self.on_saved = None
        self.saves = []

    def save(self, rows):
        self.is_busy = True
        self.saves.append(tuple(rows))

    def end(self, is_written=True):
        self.is_busy = False
        self.on_saved(self.saves[-1] if is_written else None)


class Harness:
    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.loop = process.Loop(self.clock)
        self.saver = Saver()
        self.sent = []
        table = server_table.Table()
        peers = types.SimpleNamespace(
            own_address="a", copies_needed=lambda: 2, send=self.sent.append
        )
        self.servers = backend_servers.BackendServers(
            peers,
            entry_news.EntryNews(table, "z"),
            table,
            self.saver,
            self.loop.timers,
            self.clock,
            1_000.0,
        )
        self.stream = types.SimpleNamespace(
            send=lambda value: self.sent.append(messages.decode(value))
        )

    def ask(self, server_id):
        row = server_table.Row(
            server_id,
            1,
            1,
            "s",
            "10.0.0.1:80",
            "z",
            3,
            server_table.State.DRAINING,
        )
        question = messages.SaveRows((server_table.encode_row(row),))
        self.servers.on_save_rows(question, self.stream)

    def advance(self, duration_ms=30.0):
        self.clock.advance(duration_ms)
        self.loop.timers.run_due()

    @property
    def confirmed(self):
        return [
            departure[0]
            for message in self.sent
            if isinstance(message, messages.RowsSaved)
            for departure in message.departures
        ]


def test_question_during_a_save_is_answered_after_the_next_one():
    # Guards against drains that are refused because a save that had begun
    # before them ended after they were asked.
    harness = Harness()
    harness.ask("i-1")
    harness.advance()
    harness.ask("i-2")
    harness.saver.end()
    assert harness.confirmed == ["i-1"]
    harness.advance()
    harness.saver.end()
    assert harness.confirmed == ["i-1", "i-2"]


def test_questions_share_a_save():
    # Guards against a write for each server of a release.
    harness = Harness()
    for number in range(5):
        harness.ask(f"i-{number}")
    harness.advance()
    harness.saver.end()
    assert len(harness.saver.saves) == 1
    assert len(harness.confirmed) == 5


def test_nothing_is_confirmed_while_the_disk_fails():
    # Guards against questions that are kept without end on a full disk.
    harness = Harness()
    harness.ask("i-1")
    harness.advance()
    harness.saver.end(is_written=False)
    assert harness.confirmed == []
    harness.advance(departures_lib.TIMEOUT_MS)
    harness.ask("i-2")
    harness.advance()
    harness.saver.end()
    assert harness.confirmed == ["i-2"]
