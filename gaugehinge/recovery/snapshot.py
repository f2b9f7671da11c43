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
MAX_SNAPSHOT_BYTES = (
    1 << 20
)  # of the file. What does not fit is left out: what was learnt first, then the list
MAGIC = b"gaugehinge recovery 1\n"


class LearntRates(msgspec.Struct, frozen=True):
    """What steady service looked like."""

    reads: float = 0.0  # a second that this router settled
    writes: float = 0.0


class ServerEntry(msgspec.Struct, frozen=True):
    """One server of the list."""

    uid: str
    endpoint: str
    zone: str
    kind: str
    cell: int
    state: str
    started: float  # as the list told it
    weight: float = 0.0


class Snapshot(msgspec.Struct, frozen=True):
    """One snapshot."""

    identity: str  # of the installation and the router in it
    run: int  # of the router that wrote it
    wall_clock: float = msgspec.field(name="wall")  # Unix time as the machine believed it
    monotonic: float = msgspec.field(name="steady")  # seconds of the machine's monotonic clock
    boot_id: str = msgspec.field(name="boot")  # of the machine
    version: int = VERSION
    epoch: int = 0  # losses of most of the fleet, counted
    runs: list[int] = []  # the highest known of each router, by number
    recent_runs: list[int] = msgspec.field(
        default=[], name="lately"
    )  # those heard within the slack, -1 for others
    list_rev: int = -1  # -1: no list
    servers: list[ServerEntry] = []
    learnt: LearntRates = LearntRates()
    control_plane_run: str = msgspec.field(default="", name="keeper_run")
    store_name: str = msgspec.field(default="", name="store")
    revision: int = 0  # of tenants, as followed
    incarnations: dict[str, str] = {}  # names by number, of all seen on that store: see staleness_rules.py
    incarnation_floor: int = msgspec.field(default=0, name="floor")  # of those numbers
    parts: dict[str, bytes] = {}  # of placement, drains: as they gave it


class SnapshotError(ValueError):
    """The file cannot be used; the text says why in some words."""


def encode(snapshot: Snapshot) -> bytes:
    """As it stands in the file. Raises ValueError where even without list and learnt it is too long."""
    for reduction in (
        {},
        {"learnt": LearntRates()},
        {"learnt": LearntRates(), "servers": [], "list_rev": -1},
    ):
        body = msgspec.msgpack.encode(msgspec.structs.replace(snapshot, **reduction))
        data = MAGIC + hashlib.blake2b(body, digest_size=16).digest() + body
        if len(data) <= MAX_SNAPSHOT_BYTES:
            return data
    raise ValueError(f"snapshot over {MAX_SNAPSHOT_BYTES} bytes")


def decode(data: bytes, identity: str) -> Snapshot:
    """Raises NotWhole."""
    if len(data) > MAX_SNAPSHOT_BYTES or not data.startswith(MAGIC):
        raise SnapshotError("not of this form")
    digest, body = data[len(MAGIC) : len(MAGIC) + 16], data[len(MAGIC) + 16 :]
    if hashlib.blake2b(body, digest_size=16).digest() != digest:
        raise SnapshotError("torn")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"not of this form: {error}") from None
    if snapshot.version != VERSION:
        raise SnapshotError(f"version {snapshot.version}")
    if snapshot.identity != identity:
        raise SnapshotError("of another installation or router")
    return snapshot


def snapshot_identity(key: bytes, installation: str, router_number: int) -> str:
    """Of one router of one installation."""
    return hashlib.blake2b(
        f"{router_number} {installation}".encode(), key=key[:64], digest_size=16
    ).hexdigest()


def read_boot_id(path: str = "/proc/sys/kernel/random/boot_id") -> str:
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

    def save(self, snapshot: Snapshot) -> None:
        """Whole or not at all, and on the disk when this returns. Raises OSError, ValueError."""
        self._file.replace(encode(snapshot))
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)  # the name, too, outlives a loss of power
        finally:
            os.close(folder)

    def load(self) -> tuple[Snapshot | None, str]:
        """The snapshot, or None and why there is none: a file that cannot be used is set aside under
        another name, and the text says which."""
        self._file.remove_abandoned_parts()
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_SNAPSHOT_BYTES + 1)
        except FileNotFoundError:
            return None, "none there"
        except OSError as error:
            return None, f"cannot be read: {type(error).__name__}"
        try:
            return decode(data, self.identity), ""
        except SnapshotError as error:
            return None, f"{error}; {self._set_aside()}"

    def _set_aside(self) -> str:
        for number in range(1, 10):
            aside = self.path.with_name(f"{self.path.name}.aside-{number}")
            if not aside.exists() or number == 9:  # the last place is used again
                try:
                    self.path.replace(aside)
                except OSError as error:
                    return f"cannot be set aside: {type(error).__name__}"
                return f"set aside as {aside.name}"
        return ""
