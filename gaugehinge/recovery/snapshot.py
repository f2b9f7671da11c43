"""A router's state that outlives a restart, stored in one small file that is replaced atomically.

The file holds a digest and then the body. It is written beside the old one and renamed, so that a power loss
leaves either the previous snapshot or the new one. Blocking; used from a thread. How far its content is
trusted is decided in staleness_rules.py.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path

import msgspec

from ..store.atomic_file import AtomicFile

VERSION = 1
# Size limit of the file. If the content does not fit, the learnt rates are omitted first, then the list.
MAX_SNAPSHOT_BYTES = 1 << 20
MAGIC = b"gaugehinge recovery 1\n"


class LearntRates(msgspec.Struct, frozen=True):
    """The load in steady service."""

    reads: float = 0.0  # per second, completed by this router
    writes: float = 0.0  # the same


class ServerEntry(msgspec.Struct, frozen=True):
    """One server of the endpoint list."""

    uid: str
    endpoint: str
    zone: str
    kind: str
    cell: int
    state: str
    started: float  # as reported in the list
    weight: float = 0.0


class Snapshot(msgspec.Struct, frozen=True):
    """The stored state of one router. The fields' outer names are those in the file."""

    identity: str  # of the installation and of the router in it; see `snapshot_identity`
    run: int  # run number of the router that wrote it
    wall_clock: float = msgspec.field(name="wall")  # Unix time by the machine's clock when this was written
    monotonic: float = msgspec.field(name="steady")  # the machine's monotonic clock then, seconds
    boot_id: str = msgspec.field(name="boot")  # identifies the boot of the machine; empty: unknown
    version: int = VERSION
    epoch: int = 0  # number of losses of most of the fleet
    runs: list[int] = []  # by router number, the highest known run
    # By router number, the run heard within the slack (see restart_scope.py), or -1.
    recent_runs: list[int] = msgspec.field(default=[], name="lately")
    list_rev: int = -1  # -1: no list
    servers: list[ServerEntry] = []
    learnt: LearntRates = LearntRates()
    control_plane_run: str = msgspec.field(default="", name="keeper_run")
    store_name: str = msgspec.field(default="", name="store")
    revision: int = 0  # of the tenant table, as far as it was followed
    # Tenant names by number, all that were seen on that store; see staleness_rules.py.
    incarnations: dict[str, str] = {}
    incarnation_floor: int = msgspec.field(default=0, name="floor")  # numbers up to this one are forgotten
    parts: dict[str, bytes] = {}  # state of placement and drains, as they provided it


class SnapshotError(ValueError):
    """The file cannot be used; the message gives the reason."""


def encode(snapshot: Snapshot) -> bytes:
    """The content of the file.

    Raises ValueError if it is too long even without the learnt rates and the list.
    """
    for reduction in (
        {},
        {"learnt": LearntRates()},
        {"learnt": LearntRates(), "servers": [], "list_rev": -1},
    ):
        body = msgspec.msgpack.encode(msgspec.structs.replace(snapshot, **reduction))
        data = MAGIC + hashlib.blake2b(body, digest_size=16).digest() + body
        if len(data) <= MAX_SNAPSHOT_BYTES:
            return data
    raise ValueError(f"snapshot exceeds {MAX_SNAPSHOT_BYTES} bytes")


def decode(data: bytes, identity: str) -> Snapshot:
    """Reads the content of the file. Raises SnapshotError."""
    if len(data) > MAX_SNAPSHOT_BYTES or not data.startswith(MAGIC):
        raise SnapshotError("not a snapshot file")
    digest, body = data[len(MAGIC) : len(MAGIC) + 16], data[len(MAGIC) + 16 :]
    if hashlib.blake2b(body, digest_size=16).digest() != digest:
        raise SnapshotError("digest mismatch")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"invalid content: {error}") from None
    if snapshot.version != VERSION:
        raise SnapshotError(f"unsupported version {snapshot.version}")
    if snapshot.identity != identity:
        raise SnapshotError("written by another installation or router")
    return snapshot


def snapshot_identity(key: bytes, installation: str, router_number: int) -> str:
    """Identifies one router of one installation."""
    return hashlib.blake2b(
        f"{router_number} {installation}".encode(), key=key[:64], digest_size=16
    ).hexdigest()


def read_boot_id(path: str = "/proc/sys/kernel/random/boot_id") -> str:
    """The id of the machine's present boot; empty if it cannot be read."""
    try:
        return Path(path).read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        return ""


class SnapshotFile:
    """The snapshot file on disk."""

    def __init__(self, path: str, identity: str) -> None:
        self.path = Path(path)
        self.identity = identity
        self._file = AtomicFile(path)

    def save(self, snapshot: Snapshot) -> None:
        """Replaces the file atomically; it is on the disk when this returns. Raises OSError, ValueError."""
        self._file.replace(encode(snapshot))
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)  # so that the rename, too, survives a power loss
        finally:
            os.close(folder)

    def load(self) -> tuple[Snapshot | None, str]:
        """The snapshot, or None and the reason.

        An unusable file is renamed, and the reason includes the new name.
        """
        self._file.remove_abandoned_partial_files()
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_SNAPSHOT_BYTES + 1)
        except FileNotFoundError:
            return None, "file does not exist"
        except OSError as error:
            return None, f"cannot be read: {type(error).__name__}"
        try:
            return decode(data, self.identity), ""
        except SnapshotError as error:
            return None, f"{error}; {self._set_aside()}"

    def _set_aside(self) -> str:
        for number in range(1, 10):
            aside = self.path.with_name(f"{self.path.name}.aside-{number}")
            if not aside.exists() or number == 9:  # the last name is reused
                try:
                    self.path.replace(aside)
                except OSError as error:
                    return f"cannot be renamed: {type(error).__name__}"
                return f"renamed to {aside.name}"
        return ""
