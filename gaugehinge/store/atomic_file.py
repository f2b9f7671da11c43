"""A file that is replaced atomically, also by several processes. All methods block.

The new content is written to a partial file in the same directory, which is then renamed over the target. The
writer holds a lock on its partial file until then. The operating system releases the lock when the process
ends, so an abandoned partial file can be distinguished from one that is still being written.
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
        """`path`: the target file; partial files are written to the same directory."""
        self.path = Path(path)
        # The name is unique: the previous process may still be writing, and both would write to one file.
        self._partial_path = self.path.with_name(f"{self.path.name}.{secrets.token_hex(4)}.part")

    def replace(self, content: bytes) -> None:
        """Replace the file; its content is on the disk when this returns. Raises OSError."""
        with os.fdopen(self._open_partial_file(), "wb") as partial_file:
            partial_file.write(content)
            partial_file.flush()
            os.fsync(partial_file.fileno())
            self._partial_path.replace(self.path)

    def _open_partial_file(self) -> int:
        """Return the descriptor of an empty partial file that this process has locked."""
        while True:
            descriptor = os.open(self._partial_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, OWNER_ONLY)
            try:
                with suppress(OSError):  # the file system does not support locks
                    fcntl.flock(descriptor, fcntl.LOCK_EX)
                if _is_same_file(descriptor, self._partial_path):
                    return descriptor
            except BaseException:
                os.close(descriptor)
                raise
            os.close(descriptor)  # another process removed it as abandoned before it was locked

    def remove_abandoned_partial_files(self) -> None:
        """Remove the partial files of processes that ended while writing them."""
        for partial_path in self.path.parent.glob(f"{self.path.name}.*.part"):
            with suppress(OSError):
                _remove_unless_locked(partial_path)


def _remove_unless_locked(partial_path: Path) -> None:
    """Raise OSError if the file is still being written or no longer exists."""
    descriptor = os.open(partial_path, os.O_RDWR)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        # If it is another file, the writer renamed its own and may be writing the next one.
        if _is_same_file(descriptor, partial_path):
            partial_path.unlink()
    finally:
        os.close(descriptor)


def _is_same_file(descriptor: int, path: Path) -> bool:
    """Whether a path still refers to the open file."""
    with suppress(FileNotFoundError):
        return os.path.samestat(os.fstat(descriptor), path.stat())
    return False
