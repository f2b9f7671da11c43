"""What a router keeps of itself over its end, in one small file: whole or not at all.

A digest, then the body; written beside and renamed, so that a loss of power leaves the one before or the new
one. Blocking; used from a thread. What may be believed of it is said in staleness_rules.py, not here.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path

import msgspec

from ..store.atomic_file import AtomicFile

VERSION = 1
MOST_BYTES = 1 << 20  # of the file. What does not fit is left out: what was learnt first, then the list
MAGIC = b"gaugehinge recovery 1\n"


class Learnt(msgspec.Struct, frozen=True):
    """What steady service looked like."""

    reads: float = 0.0  # a second that this router settled
    writes: float = 0.0


class Entry(msgspec.Struct, frozen=True):
    """One server of the list."""

    uid: str
    endpoint: str
    zone: str
    kind: str
    cell: int
    state: str
    started: float  # as the list told it
    weight: float = 0.0


class Kept(msgspec.Struct, frozen=True):
    """One snapshot."""

    identity: str  # of the installation and the router in it
    run: int  # of the router that wrote it
    wall: float  # Unix time as the machine believed it
    steady: float  # seconds of the machine's monotonic clock
    boot: str  # of the machine
    version: int = VERSION
    epoch: int = 0  # losses of most of the fleet, counted
    runs: list[int] = []  # the highest known of each router, by number
    lately: list[int] = []  # those heard within the slack, -1 for others
    list_rev: int = -1  # -1: no list
    servers: list[Entry] = []
    learnt: Learnt = Learnt()
    keeper_run: str = ""
    store: str = ""
    revision: int = 0  # of tenants, as followed
    incarnations: dict[str, str] = {}  # names by number, of all seen on that store: see staleness_rules.py
    floor: int = 0  # of those numbers
    parts: dict[str, bytes] = {}  # of placement, drains: as they gave it


class NotWhole(ValueError):
    """The file cannot be used; the text says why in some words."""


def encode(kept: Kept) -> bytes:
    """As it stands in the file. Raises ValueError where even without list and learnt it is too long."""
    for less in ({}, {"learnt": Learnt()}, {"learnt": Learnt(), "servers": [], "list_rev": -1}):
        body = msgspec.msgpack.encode(msgspec.structs.replace(kept, **less))
        data = MAGIC + hashlib.blake2b(body, digest_size=16).digest() + body
        if len(data) <= MOST_BYTES:
            return data
    raise ValueError(f"snapshot over {MOST_BYTES} bytes")


def decode(data: bytes, identity: str) -> Kept:
    """Raises NotWhole."""
    if len(data) > MOST_BYTES or not data.startswith(MAGIC):
        raise NotWhole("not of this form")
    digest, body = data[len(MAGIC) : len(MAGIC) + 16], data[len(MAGIC) + 16 :]
    if hashlib.blake2b(body, digest_size=16).digest() != digest:
        raise NotWhole("torn")
    try:
        kept = msgspec.msgpack.decode(body, type=Kept)
    except msgspec.MsgspecError as bad:
        raise NotWhole(f"not of this form: {bad}") from None
    if kept.version != VERSION:
        raise NotWhole(f"version {kept.version}")
    if kept.identity != identity:
        raise NotWhole("of another installation or router")
    return kept


def identity_of(key: bytes, name: str, me: int) -> str:
    """Of one router of one installation."""
    return hashlib.blake2b(f"{me} {name}".encode(), key=key[:64], digest_size=16).hexdigest()


def boot_of(path: str = "/proc/sys/kernel/random/boot_id") -> str:
    """The machine's boot, empty where it does not tell."""
    try:
        return Path(path).read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


class SnapshotFile:
    """The file on disk."""

    def __init__(self, path: str, identity: str) -> None:
        self.path = Path(path)
        self.identity = identity
        self._file = AtomicFile(path)

    def save(self, kept: Kept) -> None:
        """Whole or not at all, and on the disk when this returns. Raises OSError, ValueError."""
        self._file.replace(encode(kept))
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)  # the name, too, outlives a loss of power
        finally:
            os.close(folder)

    def load(self) -> tuple[Kept | None, str]:
        """The snapshot, or None and why there is none: a file that cannot be used is set aside under
        another name, and the text says which."""
        self._file.remove_abandoned_partial_files()
        try:
            with self.path.open("rb") as file:
                data = file.read(MOST_BYTES + 1)
        except FileNotFoundError:
            return None, "none there"
        except OSError as bad:
            return None, f"cannot be read: {type(bad).__name__}"
        try:
            return decode(data, self.identity), ""
        except NotWhole as bad:
            return None, f"{bad}; {self._set_aside()}"

    def _set_aside(self) -> str:
        for number in range(1, 10):
            aside = self.path.with_name(f"{self.path.name}.aside-{number}")
            if not aside.exists() or number == 9:  # the last place is used again
                try:
                    self.path.replace(aside)
                except OSError as bad:
                    return f"cannot be set aside: {type(bad).__name__}"
                return f"set aside as {aside.name}"
        return ""
