"""The audit log: every change of the store, in order."""

from __future__ import annotations

from ..store.async_store import AsyncStore
from .errors import GoneError
from .types import AuditEntry, redact_hashes


class AuditLog:
    """The log of one store."""

    def __init__(self, store_writer: AsyncStore) -> None:
        self._store_writer = store_writer

    async def read(self, since: int, limit: int, wait: float = 0.0) -> list[AuditEntry]:
        """Up to `limit` changes after a revision.

        Args:
            since: The revision after which to begin.
            limit: The most changes to return.
            wait: Seconds to wait for a change if there is none yet.

        Raises:
            GoneError: The log begins after that revision.
        """
        changes = await self._store_writer.changes(since, limit, wait)
        if changes is None:
            raise GoneError("the log no longer goes back so far: take the whole state")
        return [
            AuditEntry(
                change.revision,
                change.timestamp,
                change.actor,
                change.kind,
                change.item_id,
                change.body is None,
                redact_hashes(change.body),
            )
            for change in changes
        ]
