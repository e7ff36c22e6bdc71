"""Logs how many voters may still be lost, and elections that nobody wins."""

import loguru

from auburnway.core import clock as clock_lib
from auburnway.core import raft as raft_lib
from auburnway.core import raft_records as records

# Time without a leader after which this is logged. An election takes a
# fraction of it while a majority of voters runs.
NO_LEADER_MS = 2_000.0


class VoterHealth:
    """Watches the voters of one control instance.

    Args:
      raft: Raft node of this instance.
      clock: Source of time.
    """

    def __init__(self, raft: raft_lib.Raft, clock: clock_lib.Clock):
        self._raft = raft
        self._clock = clock
        self._logged_losses: int | None = None
        self._leader_seen_ms: float | None = clock.now_ms()

    def check(self) -> None:
        """Logs what has changed; call it periodically."""
        if self._raft.leader_state is None:
            self._logged_losses = None
        else:
            self._check_losses()
        self._check_leader()

    def _check_losses(self) -> None:
        leader = self._raft.leader_state
        losses = leader.survivable_losses()
        if losses == self._logged_losses:
            return
        self._logged_losses = losses
        loguru.logger.bind(
            survivable_losses=losses,
            silent_ms={
                state.member.incarnation: round(state.silent_ms)
                for state in leader.member_states()
                if state.member.voter
            },
        ).info("number of survivable losses changed")

    def _check_leader(self) -> None:
        """Logs once per loss that no leader has been elected for long."""
        now_ms = self._clock.now_ms()
        if self._raft.has_leader_contact():
            self._leader_seen_ms = now_ms
        elif (
            self._leader_seen_ms is not None
            and now_ms - self._leader_seen_ms >= NO_LEADER_MS
        ):
            self._leader_seen_ms = None
            loguru.logger.bind(
                term=self._raft.term,
                voters=[m.incarnation for m in self._raft.members if m.voter],
                votes=self._raft.granted_votes,
                last_index=self._raft.log.last_index,
                last_term=self._raft.log.last_term,
            ).warning("no leader is elected")


def log_members(members: records.Members) -> None:
    """Logs a member set that was committed."""
    loguru.logger.bind(
        voters=[m.incarnation for m in members if m.voter],
        learners=[m.incarnation for m in members if not m.voter],
    ).info("member set was committed")
