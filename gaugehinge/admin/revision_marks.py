"""Marks of revisions: digests of the log that tell apart equal revisions of two copies of a store."""

from __future__ import annotations

from ..store.keeper import StoreKeeper

MAX_MARKS = 1024  # remembered at a time; the one that was used longest ago goes first


class RevisionMarks:
    """The marks of the revisions that this run told routers."""

    def __init__(self, store_writer: StoreKeeper) -> None:
        self._store_writer = store_writer
        self._marks: dict[int, str] = {}  # by revision

    def issue(self, revision: int) -> str:
        """The mark of a revision that is about to be told; called on the store's thread."""
        mark = self._marks.pop(revision, None) or self._store_writer.store.mark(revision)
        self._marks[revision] = mark
        while len(self._marks) > MAX_MARKS:
            del self._marks[next(iter(self._marks))]
        return mark

    def was_issued(self, revision: int, mark: str) -> bool:
        """Whether this run is known to have told a revision with that mark."""
        return self._marks.get(revision) == mark
