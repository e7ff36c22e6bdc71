"""Tests of what control tells entries of requests that crash servers."""

import types

from auburnway.core import clock as clock_lib
from auburnway.policy import crash_containment
from auburnway.registrar import crash_reports
from auburnway.registrar import messages

KEY = crash_containment.fingerprint(b"x")


class Harness:
    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.pushed, self.sent = [], []
        self.reports = crash_reports.CrashReports(
            types.SimpleNamespace(push=self.pushed.append), self.clock
        )
        self.stream = types.SimpleNamespace(
            context="entry",
            send=lambda value: self.sent.append(messages.decode(value)),
        )

    def strike(self, *servers):
        for server in servers:
            self.reports.on_strike(messages.Strike(KEY, server), self.stream)


def test_entries_hear_of_a_quarantine_only():
    # Guards against a message to all entries for each request that ran on a
    # server that was lost for another reason.
    harness = Harness()
    harness.strike("a/1")
    harness.reports.on_cleared(messages.Cleared(KEY))
    assert harness.pushed == []
    harness.strike("a/1", "b/1")
    assert harness.pushed == [messages.Quarantine(KEY, 2, 0.0)]
    harness.reports.on_cleared(messages.Cleared(KEY))
    assert harness.pushed[1:] == [messages.Cleared(KEY)]


def test_new_entry_hears_of_all_quarantined_requests():
    # Guards against an entry that starts and runs what others know as harmful.
    harness = Harness()
    harness.strike("a/1", "b/1")
    harness.clock.advance(500.0)
    harness.reports.send_all(harness.stream)
    assert harness.sent == [messages.Quarantine(KEY, 2, 500.0)]


def test_one_trial_at_a_time_after_the_pause():
    harness = Harness()
    harness.strike("a/1", "b/1")
    question = messages.AskTrial(KEY, 2, 0.0)
    harness.reports.on_ask_trial(question, harness.stream)
    harness.clock.advance(crash_containment.FIRST_PAUSE_MS)
    harness.reports.on_ask_trial(question, harness.stream)
    harness.reports.on_ask_trial(question, harness.stream)
    assert [answer.is_granted for answer in harness.sent] == [
        False,
        True,
        False,
    ]


def test_instance_that_knows_nothing_learns_from_the_question():
    # Guards against a trial at each entry after control has started again.
    harness = Harness()
    question = messages.AskTrial(KEY, 3, 1_000.0)
    harness.reports.on_ask_trial(question, harness.stream)
    (answer,) = harness.sent
    assert not answer.is_granted
    assert answer.wait_ms == crash_containment.pause_ms(3) - 1_000.0
