"""A router's own file: by it a node is known over its runs, and one run at a time stands on it.

A lock beside it is held for the life of the process, also while that stands still: a later run on the same
file proves that the one before has ended. Written whole or not at all, at the start or from a thread.
"""

from __future__ import annotations

import fcntl
import os
import secrets
from contextlib import suppress
from pathlib import Path

import msgspec
from loguru import logger
from xxhash import xxh3_128_hexdigest


class NodeFileLockedError(OSError):
    """Another process stands on this file."""


class NodeState(msgspec.Struct, frozen=True):
    """What is in it."""

    ident: str
    run_number: int = 0
    admitted: str = ""  # the store whose keeper admitted this node; empty: none did
    floors: dict[str, int] = {}
    rolled: str = ""  # what told a run to end last
    closing: float = 0.0  # seconds within which stores close what an earlier run left, as the keeper told


class NodeFile:
    """The file of one run."""

    def __init__(self, path: str) -> None:
        """Take it, and count this run. Raises NodeFileLockedError. A file that cannot be used makes this
        another node, which has nothing until a keeper admits it."""
        self.path = Path(path)
        self.writes = True
        self._lock = -1
        try:
            self._lock = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT, 0o600)
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(self._lock)
                raise NodeFileLockedError(f"{path}: another process stands on it") from None
            before = self._read()
            self.kept = msgspec.structs.replace(before, run_number=before.run_number + 1)
            self._write(self.kept)
        except NodeFileLockedError:
            raise
        except OSError as bad:
            logger.warning("drains: {} cannot be used, this is a new node: {}", path, bad)
            self.kept, self.writes = NodeState(secrets.token_hex(8), 1), False

    def _read(self) -> NodeState:
        try:
            told, _, body = self.path.read_bytes().partition(b"\n")
        except FileNotFoundError:
            return NodeState(secrets.token_hex(8))
        try:
            if told.decode("ascii", "replace") != xxh3_128_hexdigest(body):
                raise ValueError("not whole")
            return msgspec.json.decode(body, type=NodeState)
        except (ValueError, msgspec.MsgspecError) as bad:
            aside = self.path.with_name(f"{self.path.name}.bad")
            self.path.replace(aside)
            logger.warning("drains: {} set aside as {}, this is a new node: {}", self.path, aside.name, bad)
            return NodeState(secrets.token_hex(8))

    def _write(self, kept: NodeState) -> None:
        body = msgspec.json.encode(kept)
        part = self.path.with_name(self.path.name + ".part")
        number = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        with os.fdopen(number, "wb") as file:
            file.write(xxh3_128_hexdigest(body).encode() + b"\n" + body)
            file.flush()
            os.fsync(file.fileno())
        part.replace(self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        with suppress(OSError):
            os.fsync(folder)
        os.close(folder)

    def save(self, kept: NodeState) -> bool:
        """Whether it stands there now."""
        if not self.writes:
            return False
        try:
            self._write(kept)
        except OSError as bad:
            logger.warning("drains: {} not written: {}", self.path, bad)
            return False
        self.kept = kept
        return True

    def close(self) -> None:
        """Let the next run have it."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
