"""A file that is replaced whole or not at all, also by several processes. Blocking.

Its content is written to a part beside it, which takes its place. The writer holds a lock on its part until
then. The system frees it when the process ends: so an abandoned part is told from one that is being written.
"""

from __future__ import annotations

import fcntl
import os
import secrets
from contextlib import suppress
from pathlib import Path

OWNER_ONLY = 0o600  # the permissions of the file


class AtomicFile:
    """One process's access to the file."""

    def __init__(self, path: str) -> None:
        """`path`: the file; parts of it are written beside it."""
        self.path = Path(path)
        # A name of its own: the process before may be amid the same, and both would write into one file.
        self._part = self.path.with_name(f"{self.path.name}.{secrets.token_hex(4)}.part")

    def replace(self, content: bytes) -> None:
        """Replace the file; its content is on the disk when this returns. Raises OSError."""
        with os.fdopen(self._open_part(), "wb") as part:
            part.write(content)
            part.flush()
            os.fsync(part.fileno())
            self._part.replace(self.path)

    def _open_part(self) -> int:
        """The descriptor of an empty part that this process has locked."""
        while True:
            descriptor = os.open(self._part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, OWNER_ONLY)
            try:
                with suppress(OSError):  # a file system that knows no locks
                    fcntl.flock(descriptor, fcntl.LOCK_EX)
                if _is_still(descriptor, self._part):
                    return descriptor
            except BaseException:
                os.close(descriptor)
                raise
            os.close(descriptor)  # removed as abandoned before it was locked

    def remove_abandoned_parts(self) -> None:
        """Remove the parts of processes that ended amid writing them."""
        for part in self.path.parent.glob(f"{self.path.name}.*.part"):
            with suppress(OSError):
                _remove_unless_locked(part)


def _remove_unless_locked(part: Path) -> None:
    """Raises OSError: it is being written, or has gone."""
    descriptor = os.open(part, os.O_RDWR)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        if _is_still(descriptor, part):  # else its writer has finished it, and may have begun the next one
            part.unlink()
    finally:
        os.close(descriptor)


def _is_still(descriptor: int, path: Path) -> bool:
    """Whether a path leads to the file that is open."""
    with suppress(FileNotFoundError):
        return os.path.samestat(os.fstat(descriptor), path.stat())
    return False
