"""Trials: safe repetition of requests that may crash backend servers.

A request gets a strike when the connection to its backend server is lost while
the request runs. Innocent requests on the same server get the same strike, so
a strike alone does not cause a refusal. Instead, the request next runs as a
trial, and only one trial runs at a time across all entries. If the trial loses
another backend server, the request is refused for `REFUSAL_MS`.
"""

import dataclasses
import typing

REFUSAL_MS = 10 * 60_000
# Time after the last strike after which the record of a request is removed.
STRIKE_RETENTION_MS = 7 * 24 * 3_600_000
# Maximum time for which a running trial blocks the trials of other requests.
# It is limited because the holder of the trial may be frozen.
TRIAL_EXCLUSION_MS = 3_000
OUTCOMES = ("passed", "lost", "not_run")


@dataclasses.dataclass(frozen=True)
class Record:
    """Strikes and trial of one request fingerprint.

    Attributes:
      fingerprint: Digest of caller, kind and query.
      lost_servers: Lost backend servers as unique pairs (name, incarnation),
        in order of loss.
      last_strike_wall_ms: Time of the last strike or refusal.
      holder: Name and incarnation of the entry that runs the trial; None when
        no trial is running.
      losses_before_trial: Length of `lost_servers` when the trial was granted.
      refused_until_wall_ms: Time until which the request is refused; 0 when it
        was never refused.
      granted_wall_ms: Time of the last grant of a trial.
    """

    fingerprint: str
    lost_servers: tuple[tuple[str, str], ...] = ()
    last_strike_wall_ms: int = 0
    holder: tuple[str, str] | None = None
    losses_before_trial: int = 0
    refused_until_wall_ms: int = 0
    granted_wall_ms: int = 0


class TrialTable:
    """Records of all fingerprints with strikes; changed in place."""

    def __init__(self, records: typing.Iterable[Record] = ()):
        self._records = {record.fingerprint: record for record in records}

    def records(self) -> list[Record]:
        """Returns all records, sorted by fingerprint."""
        return [self._records[key] for key in sorted(self._records)]

    def find(self, fingerprint: str) -> Record:
        """Returns the record of a fingerprint; a new one without strikes."""
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
          fingerprint: Fingerprint of the request that ran on the server.
          server: Lost backend server (name, incarnation); counted once.
          wall_ms: Timestamp of the leader.
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
        """Grants a trial if one is required and no trial is running.

        Trials of different requests run one after another. Otherwise the trial
        of an innocent request could run on the backend server that the guilty
        request crashes in its own trial, and both trials would count as lost.

        Args:
          fingerprint: Fingerprint of the request.
          entry: Entry (name, incarnation) that requests the trial.
          wall_ms: Timestamp of the leader.

        Returns:
          `granted`, or the state that prevents the trial, as from `state`.
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
        """Ends a trial; has no effect unless its holder reports the end.

        Args:
          fingerprint: Fingerprint of the request.
          entry_incarnation: Incarnation of the entry that reports the end.
          outcome: One of `OUTCOMES`.
          server: Backend server (name, incarnation) that was lost.
          wall_ms: Timestamp of the leader.

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
        # If the loss of the server was already recorded when the trial was
        # granted, the trial is no evidence against the request.
        is_new_loss = (
            server not in record.lost_servers[: record.losses_before_trial]
        )
        self.strike(fingerprint, server, wall_ms)
        return self._end_lost_trial(fingerprint, wall_ms, is_new_loss)

    def abandon(self, entry: tuple[str, str], wall_ms: int) -> tuple[str, ...]:
        """Counts the trials of a removed entry as lost.

        Returns:
          The fingerprints of these trials, all refused from now on.
        """
        fingerprints = [
            r.fingerprint for r in self.records() if r.holder == entry
        ]
        for fingerprint in fingerprints:
            self._end_lost_trial(fingerprint, wall_ms, True)
        return tuple(fingerprints)

    def prune(self, wall_ms: int) -> None:
        """Removes records without a trial or a recent strike."""
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
