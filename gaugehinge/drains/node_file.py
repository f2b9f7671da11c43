"""A router's state file: it identifies a node across its runs and allows one run at a time.

A lock file next to it is held for the life of the process, even while the process is stopped: a later run on
the same state file proves that the run before it has ended. The state file is replaced atomically, at startup
or from a thread.
"""

from __future__ import annotations

import fcntl
import os
import secrets
from contextlib import suppress
from pathlib import Path

import msgspec
from loguru import logger

from .checksum import seal, unseal

IDENTITY_BYTES = 8  # random bytes of a node's identity


class NodeFileLockedError(OSError):
    """Another process holds the lock of this state file."""


class NodeState(
    msgspec.Struct,
    frozen=True,
    rename={"admitted_by": "admitted", "restart_token": "rolled", "close_timeout": "closing"},
):
    """Content of the state file."""

    ident: str  # the node's identity, in hexadecimal
    run_number: int = 0  # counts the runs on this file
    admitted_by: str = ""  # incarnation of the store that admitted this node; empty: not admitted
    floors: dict[str, int] = {}
    restart_token: str = ""  # of the rolling restart that last shut down a run
    # Seconds within which upstreams close connections left by an earlier run; 0: unknown.
    close_timeout: float = 0.0


class NodeFile:
    """The state file, locked by one run."""

    def __init__(self, path: str) -> None:
        """Lock the file and increment its run number.

        If the file is unusable, this becomes a new node, which may open no connections until it is admitted.
        Raises NodeFileLockedError.
        """
        self.path = Path(path)
        self.writable = True
        self._lock = -1
        try:
            self._take_lock()
            previous = self._read()
            self.state = msgspec.structs.replace(previous, run_number=previous.run_number + 1)
            self._write(self.state)
        except NodeFileLockedError:
            raise
        except OSError as error:
            logger.warning("drains: state file {} is unusable, running as a new node: {}", path, error)
            self.state, self.writable = msgspec.structs.replace(_new_state(), run_number=1), False

    def _take_lock(self) -> None:
        self._lock = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise NodeFileLockedError(f"{self.path}: another process holds its lock") from None

    def _read(self) -> NodeState:
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return _new_state()
        try:
            return msgspec.json.decode(unseal(data), type=NodeState)
        except (ValueError, msgspec.MsgspecError) as error:
            quarantine_path = self.path.with_name(f"{self.path.name}.bad")
            self.path.replace(quarantine_path)
            logger.warning(
                "drains: invalid state file {} renamed to {}, running as a new node: {}",
                self.path,
                quarantine_path.name,
                error,
            )
            return _new_state()

    def _write(self, state: NodeState) -> None:
        temporary_path = self.path.with_name(self.path.name + ".part")
        descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        with os.fdopen(descriptor, "wb") as file:
            file.write(seal(msgspec.json.encode(state)))
            file.flush()
            os.fsync(file.fileno())
        temporary_path.replace(self.path)
        directory = os.open(self.path.parent, os.O_RDONLY)
        with suppress(OSError):
            os.fsync(directory)
        os.close(directory)

    def save(self, state: NodeState) -> bool:
        """Replace the state; False if it could not be written. Blocks on disk I/O."""
        if not self.writable:
            return False
        try:
            self._write(state)
        except OSError as error:
            logger.warning("drains: state file {} not written: {}", self.path, error)
            return False
        self.state = state
        return True

    def close(self) -> None:
        """Release the lock for the next run."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


def _new_state() -> NodeState:
    return NodeState(secrets.token_hex(IDENTITY_BYTES))
