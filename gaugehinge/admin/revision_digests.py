"""Digests of revisions, which distinguish equal revision numbers of diverged copies of a store."""

from __future__ import annotations

from ..store.async_store import AsyncStore

MAX_DIGESTS = 1024  # kept in memory; the least recently issued one is evicted first


class RevisionDigests:
    """The digests of revisions that this run of the control plane sent to routers."""

    def __init__(self, store_writer: AsyncStore) -> None:
        self._store_writer = store_writer
        self._digests: dict[int, str] = {}  # by revision

    def issue(self, revision: int) -> str:
        """Return and remember the digest of a revision about to be sent; called on the store's thread."""
        digest = self._digests.pop(revision, None) or self._store_writer.store.revision_digest(revision)
        self._digests[revision] = digest
        while len(self._digests) > MAX_DIGESTS:
            del self._digests[next(iter(self._digests))]
        return digest

    def was_issued(self, revision: int, digest: str) -> bool:
        """Whether this run sent the revision with this digest and still remembers it."""
        return self._digests.get(revision) == digest
