"""Trials: how a request that may crash backend servers is run again.

A request that ran on a backend server when its connection was lost has a
strike. Many innocent requests share that strike, so a strike alone refuses
nothing: the request runs next as a trial, one at a time in the whole fleet.
Only a trial that loses another backend server refuses the request.
"""

import dataclasses
import typing

REFUSAL_MS = 10 * 60_000
# A struck request that nobody sends again is forgotten after this time.
STRIKE_RETENTION_MS = 7 * 24 * 3_600_000
# Other trials wait for a running one at most this long; its holder may be
# frozen.
TRIAL_EXCLUSION_MS = 3_000
OUTCOMES = ("passed", "lost", "not_run")


@dataclasses.dataclass(frozen=True)
class Record:
    """One struck fingerprint.

    Attributes:
      fingerprint: Digest of caller, kind and query.
      struck: Pairs of backend server and incarnation that were lost, in
        order, each once.
      struck_wall_ms: Instant of the last strike or refusal.
      holder: Name and incarnation of the entry that runs a trial.
      struck_before_trial: Length of `struck` when the trial was granted.
      refused_until_wall_ms: End of the refusal; 0 when never refused.
      granted_wall_ms: Instant of the last grant of a trial.
    """

    fingerprint: str
    lost_servers: tuple[tuple[str, str], ...] = ()
    last_strike_wall_ms: int = 0
    holder: tuple[str, str] | None = None
    losses_before_trial: int = 0
    refused_until_wall_ms: int = 0
    granted_wall_ms: int = 0


class TrialTable:
    """All struck fingerprints; changed in place."""

    def __init__(self, records: typing.Iterable[Record] = ()):
        self._records = {record.fingerprint: record for record in records}

    def records(self) -> list[Record]:
        """Returns all records by fingerprint."""
        return [self._records[key] for key in sorted(self._records)]

    def find(self, fingerprint: str) -> Record:
        """Returns the record; an empty one when there is no strike."""
        return self._records.get(fingerprint) or Record(fingerprint)

    def state(self, fingerprint: str, wall_ms: int) -> str:
        """Returns `clear`, `refused`, `busy` or `trial_required`."""
        record = self._records.get(fingerprint)
        if record is None:
            return "clear"
        if wall_ms < record.refused_until_wall_ms:
            return "refused"
        return "trial_required" if record.holder is None else "busy"

    def strike(
        self, fingerprint: str, server: tuple[str, str], wall_ms: int
    ) -> None:
        """Adds a strike.

        Args:
          fingerprint: Request that ran on the server.
          server: Lost backend server (name, incarnation); counted once.
          wall_ms: The leader's stamp.
        """
        record = self.find(fingerprint)
        if server not in record.lost_servers:
            record = dataclasses.replace(
                record,
                lost_servers=(*record.lost_servers, server),
                last_strike_wall_ms=wall_ms,
            )
            self._records[fingerprint] = record

    def grant(
        self, fingerprint: str, entry: tuple[str, str], wall_ms: int
    ) -> str:
        """Grants the trial when one is required and none is running.

        Trials of different requests run one after another. Otherwise the
        trial of an innocent request may run on the backend server that the
        cause crashes in its own trial, and both would count as lost.

        Args:
          fingerprint: Request to try.
          entry: Entry (name, incarnation) that asks.
          wall_ms: The leader's stamp.

        Returns:
          `granted`, or the state that forbids it, as from `state`.
        """
        state = self.state(fingerprint, wall_ms)
        if state != "trial_required":
            return state
        if any(
            other.holder is not None
            and wall_ms - other.granted_wall_ms < TRIAL_EXCLUSION_MS
            for other in self._records.values()
        ):
            return "busy"
        record = self.find(fingerprint)
        self._records[fingerprint] = dataclasses.replace(
            record,
            holder=entry,
            losses_before_trial=len(record.lost_servers),
            granted_wall_ms=wall_ms,
        )
        return "granted"

    def end(
        self,
        fingerprint: str,
        entry_incarnation: str,
        outcome: str,
        server: tuple[str, str],
        wall_ms: int,
    ) -> bool:
        """Ends a trial; without effect for anyone but its holder.

        Args:
          fingerprint: Request that was tried.
          entry_incarnation: Incarnation of the holder.
          outcome: One of `OUTCOMES`.
          server: Backend server (name, incarnation) that was lost.
          wall_ms: The leader's stamp.

        Returns:
          True when the request is refused from now on.
        """
        record = self._records.get(fingerprint)
        if record is None or record.holder is None:
            return False
        if record.holder[1] != entry_incarnation:
            return False
        if outcome == "passed":
            del self._records[fingerprint]
            return False
        if outcome == "not_run":
            self._records[fingerprint] = dataclasses.replace(
                record, holder=None
            )
            return False
        # A trial that met a server whose loss was known before it began
        # proves nothing against the request.
        is_new = server not in record.lost_servers[: record.losses_before_trial]
        self.strike(fingerprint, server, wall_ms)
        return self._end_lost_trial(fingerprint, wall_ms, is_new)

    def abandon(self, entry: tuple[str, str], wall_ms: int) -> tuple[str, ...]:
        """Counts the trials of a vanished entry as lost.

        Returns:
          The fingerprints, all refused from now on.
        """
        fingerprints = [
            r.fingerprint for r in self.records() if r.holder == entry
        ]
        for fingerprint in fingerprints:
            self._end_lost_trial(fingerprint, wall_ms, True)
        return tuple(fingerprints)

    def prune(self, wall_ms: int) -> None:
        """Forgets fingerprints without a trial or strike for long."""
        for record in self.records():
            age_ms = wall_ms - record.last_strike_wall_ms
            if record.holder is None and age_ms > STRIKE_RETENTION_MS:
                del self._records[record.fingerprint]

    def _end_lost_trial(
        self, fingerprint: str, wall_ms: int, refuse: bool
    ) -> bool:
        record = dataclasses.replace(self._records[fingerprint], holder=None)
        if refuse:
            record = dataclasses.replace(
                record,
                last_strike_wall_ms=wall_ms,
                refused_until_wall_ms=wall_ms + REFUSAL_MS,
            )
        self._records[fingerprint] = record
        return refuse
