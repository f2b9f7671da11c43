"""Exceptions raised by the store."""

from __future__ import annotations

from pathlib import Path


class StoreError(Exception):
    """Base class of all errors of the store."""


class StoreUnusableError(StoreError):
    """The store file cannot be used. The message is one line that names the file and the reason."""

    def __init__(self, path: Path, reason: str) -> None:
        """Build the message from the file and the reason."""
        super().__init__(f"{path}: {reason}")


class StoreCorruptedError(StoreUnusableError):
    """The contents of the file are damaged. The message also names the newest intact snapshot."""


class IncompatibleStoreError(StoreUnusableError):
    """The file belongs to another program, or was written by a newer version of this one."""


class StoreUnavailableError(StoreUnusableError):
    """Another process has locked the file, or its disk accepts no writes.

    This does not indicate damaged contents, so nothing should be restored.
    """


class IntegrityCheckError(StoreError):
    """A check of the contents failed. Internal: callers of `Store` get a `StoreCorruptedError` instead."""


class RevisionConflictError(StoreError):
    """An item is not at the revision that a mutation expected."""

    def __init__(self, current_revision: int) -> None:
        """Build the message from the item's current revision, 0 if there is no such item."""
        super().__init__(f"it is at revision {current_revision}")
        self.current_revision = current_revision


class ItemTooLargeError(StoreError, ValueError):
    """The body of an item exceeds the size limit."""

    def __init__(self, kind: str, item_id: str, limit: int) -> None:
        """Build the message from the item and the limit in bytes."""
        super().__init__(f"{kind} {item_id}: over {limit} bytes")


class CompactionError(StoreError, ValueError):
    """The log cannot be compacted up to the requested revision: its newest row must be kept."""

    def __init__(self) -> None:
        """Build the fixed message."""
        super().__init__("the newest log row cannot be removed")


class DiskFullError(StoreError):
    """The disk accepted no more data; the transaction was rolled back."""


class StoreOverloadedError(StoreError):
    """Too many calls are queued; the call was rejected before it ran."""

    def __init__(self) -> None:
        """Build the fixed message."""
        super().__init__("the store is busy")
