"""Checks on a tenant's change to a shard: the version that it is based on, shard names and prefixes."""

from __future__ import annotations

import re
from collections.abc import Mapping

from ..admin.errors import (
    InvalidRequestError,
    PreconditionFailedError,
    PreconditionRequiredError,
    ResourceConflictError,
)
from .api_types import ShardWanted
from .records import ShardRecord, StoredShard
from .shard_table import DEFAULT_SHARD

SHARD_NAME = re.compile("[a-z][a-z0-9-]{0,62}")


def check_version(record: ShardRecord | None, expected_version: int | None, shard: str) -> None:
    """Check that a change is based on the current version of the shard. Raises ApiError if it is not."""
    record = None if record is not None and record.is_ending else record
    if record is None and expected_version is not None:
        raise PreconditionFailedError(f"no shard {shard}")
    if record is not None and expected_version is None:
        raise PreconditionRequiredError("it stands: send its ETag as If-Match", etag=record.version)
    if record is not None and record.version != expected_version:
        detail = f"it is at revision {record.version}"
        raise PreconditionFailedError(detail, etag=record.version)


def check_prefixes(
    shard: str,
    wanted: ShardWanted,
    record: ShardRecord | None,
    shards: Mapping[str, StoredShard],
) -> tuple[str, ...]:
    """Check the prefixes of a change, and return those of the shard: its first ones, which never change.

    Raises ApiError.
    """
    prefixes = tuple(wanted.prefixes)
    if len(set(prefixes)) < len(prefixes):
        raise InvalidRequestError("one is told twice", "prefixes")
    if record is not None:
        if (prefixes or record.is_ending) and set(prefixes) != set(record.prefixes):
            raise ResourceConflictError("prefixes stay as they were made until it is gone", "prefixes")
        return record.prefixes
    if not SHARD_NAME.fullmatch(shard):
        raise InvalidRequestError("a shard's name is of lower case letters, digits and dashes", "shard")
    if (shard == DEFAULT_SHARD) is bool(prefixes):
        raise InvalidRequestError("every shard but `default` has prefixes, and only these", "prefixes")
    for other, (existing, _) in shards.items():
        taken = sorted(set(existing.prefixes) & set(prefixes))
        if taken:
            raise ResourceConflictError(f"{taken[0]!r} is shard {other}'s", "prefixes")
    return prefixes
