"""Encodes the replicated state for snapshots of the log."""

import dataclasses

import msgpack

from auburnway.core import audit as audit_lib
from auburnway.core import claims as claims_lib
from auburnway.core import configuration as configuration_lib
from auburnway.core import replicated_state
from auburnway.core import trials as trials_lib

_FORMAT_VERSION = 1


def encode(state: replicated_state.State) -> bytes:
    """Returns the canonical msgpack form of a state."""
    return msgpack.packb(
        [
            _FORMAT_VERSION,
            state.index,
            state.wall_ms,
            state.retention_ms,
            state.floor_ms,
            configuration_lib.encode(state.configuration),
            _encode_records(state.receipts[n] for n in sorted(state.receipts)),
            _encode_records(state.claims.records()),
            _encode_records(state.trials.records()),
            _encode_records(
                state.entries[name] for name in sorted(state.entries)
            ),
            _encode_records(state.audit),
        ]
    )


def decode(data: bytes) -> replicated_state.State:
    """Decodes a state from its msgpack form.

    Raises:
      ValueError, TypeError: The bytes are not a state in this format.
    """
    version, *fields = msgpack.unpackb(data, use_list=False)
    if version != _FORMAT_VERSION:
        raise ValueError(
            f"state has format {version}, expected {_FORMAT_VERSION}"
        )
    index, wall_ms, retention_ms, floor_ms, configuration, *encoded_records = (
        fields
    )
    receipts, claim_rows, trial_rows, entries, rows = encoded_records
    return replicated_state.State(
        index=index,
        wall_ms=wall_ms,
        retention_ms=retention_ms,
        floor_ms=floor_ms,
        configuration=configuration_lib.decode(configuration),
        receipts={row[0]: replicated_state.Receipt(*row) for row in receipts},
        claims=claims_lib.ClaimTable(
            claims_lib.Record(*row) for row in claim_rows
        ),
        trials=trials_lib.TrialTable(
            trials_lib.Record(*row) for row in trial_rows
        ),
        entries={row[0]: replicated_state.Entry(*row) for row in entries},
        audit=[audit_lib.Row(*row) for row in rows],
    )


def _encode_records(records) -> list[list]:
    # dataclasses.astuple makes deep copies and takes several times as long.
    return [
        [getattr(record, field.name) for field in dataclasses.fields(record)]
        for record in records
    ]
