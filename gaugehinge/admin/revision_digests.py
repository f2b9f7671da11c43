"""Digests of revisions: they tell apart equal revisions of two copies of a store."""

from __future__ import annotations

from ..store.async_store import AsyncStore

MAX_DIGESTS = 1024  # remembered at a time; the one that was used longest ago goes first


class RevisionDigests:
    """The digests of the revisions that this run sent to routers."""

    def __init__(self, store_writer: AsyncStore) -> None:
        self._store_writer = store_writer
        self._digests: dict[int, str] = {}  # by revision

    def issue(self, revision: int) -> str:
        """The digest of a revision that is about to be sent; called on the store's thread."""
        digest = self._digests.pop(revision, None) or self._store_writer.store.revision_digest(revision)
        self._digests[revision] = digest
        while len(self._digests) > MAX_DIGESTS:
            del self._digests[next(iter(self._digests))]
        return digest

    def was_issued(self, revision: int, digest: str) -> bool:
        """Whether this run is known to have sent a revision with that digest."""
        return self._digests.get(revision) == digest
