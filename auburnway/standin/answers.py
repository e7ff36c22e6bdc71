"""Builds the reply bodies of the stand-in from the catalogue."""

import functools
import json
import typing

from auburnway.standin import catalogue as catalogue_lib
from auburnway.standin import settings

Body = dict[str, typing.Any]


def find_held_snapshot(server_settings: settings.ServerSettings, body: Body):
    """Returns the held snapshot that a run request reads.

    Args:
      server_settings: Settings of the server.
      body: Body of the run request.

    Returns:
      `SnapshotSettings`, or None if the server does not hold the snapshot or
      the shard.
    """
    snapshot, shard = body.get("snapshot"), body.get("shard")
    if snapshot is None:
        # A request without a shard, such as a booking, runs on any server.
        return settings.SnapshotSettings(0, 1, ())
    for candidate in server_settings.snapshots:
        if candidate.snapshot == snapshot and (
            shard is None or shard in candidate.shards
        ):
            return candidate
    return None


def encode_answer(
    catalogue: catalogue_lib.Catalogue,
    held_snapshot: settings.SnapshotSettings,
    body: Body,
    request_id: str,
    claim_id: str,
) -> bytes:
    """Returns the body of a 200 reply.

    Args:
      catalogue: Records of the server.
      held_snapshot: Held snapshot that the request reads.
      body: Body of the run request.
      request_id: Request id to include in the reply.
      claim_id: Claim of a non-repeatable run; the answer to a claim is a
        receipt instead of records.
    """
    shard = body.get("shard")
    query = body.get("query") or {}
    weight = 0
    records = "[]"
    if shard is not None:
        manifest = catalogue.manifest(
            held_snapshot.snapshot, held_snapshot.shard_count
        )
        weight = manifest.weights[shard][1]
    if claim_id:
        records = json.dumps([{"id": f"receipt-{query.get('marker', '')}"}])
    elif shard is not None:
        field_values = frozenset(
            (name, value)
            for name, value in query.items()
            if isinstance(value, str)
        )
        records = _records_json(
            catalogue,
            held_snapshot.snapshot,
            held_snapshot.shard_count,
            shard,
            field_values,
        )
    header = json.dumps(
        {
            "request_id": request_id,
            "snapshot": body.get("snapshot"),
            "shard": shard,
            "weight": weight,
        }
    )
    return f'{header[:-1]}, "records": {records}}}'.encode()


@functools.lru_cache(maxsize=20_000)
def _records_json(catalogue, snapshot, shard_count, shard, query) -> str:
    return json.dumps(
        catalogue.matching_records(dict(query), snapshot, shard_count, (shard,))
    )
