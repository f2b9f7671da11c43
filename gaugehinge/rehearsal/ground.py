"""What a company stands on: addresses that no other company on the machine has, processes, their files."""

from __future__ import annotations

import ctypes
import os
import shutil
import signal
import socket
import sqlite3
import subprocess
import sys
from collections.abc import Callable, Sequence
from contextlib import closing, suppress
from dataclasses import dataclass, field
from pathlib import Path

import trio

FIRST_NET, LAST_NET = 16, 250  # second byte of the loopback addresses of one company
GUARD_PORT = 19_999
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)
ROOT = Path(__file__).resolve().parents[2]  # whose code the processes run
REAPED_BY = 20.0  # seconds: a killed process is gone by then, on a machine with whatever load
Address = tuple[str, int]


class Ground:
    """The addresses of one company: 127.N.*.*, with N its own for as long as the guard stands.

    `127.N.R+1.*` is the network as router R sees it, `127.N.201.*` and up are the parties' own addresses.
    """

    def __init__(self) -> None:
        """Raises OSError where no network is left."""
        count = LAST_NET - FIRST_NET + 1
        for step in range(count):
            self.net = FIRST_NET + (os.getpid() + step) % count
            self.guard = socket.socket()
            try:
                self.guard.bind((f"127.{self.net}.0.1", GUARD_PORT))
                self.guard.listen(1)
                return
            except OSError:
                self.guard.close()
        raise OSError("no loopback network is free for a company")

    def at(self, third: int, fourth: int) -> str:
        return f"127.{self.net}.{third}.{fourth}"

    # -- parties' own addresses

    def keeper(self) -> Address:
        return self.at(201, 1), 7400

    def discovery(self, router: int) -> Address:
        """Discovery has one for each router, and tells them apart by that."""
        return self.at(202, router + 1), 7300

    def origin(self) -> Address:
        return self.at(203, 1), 8000

    def server(self, number: int) -> Address:
        return self.at(204, number + 1), 6379

    def router(self, number: int) -> Address:
        return self.at(205, number + 1), 6379

    def router_peers(self, number: int) -> Address:
        return self.at(205, number + 1), 7946

    # -- the links' addresses

    def seen(self, router: int, what: int, port: int) -> Address:
        """Where a router finds something: 1 keeper, 2 discovery, 3 origin, 10 and up servers, 120 and up
        peers."""
        return self.at(router + 1, what), port

    def door(self, router: int) -> Address:
        """Where clients find a router."""
        return self.at(210, router + 1), 6379

    def desk(self) -> Address:
        """Where operators find the keeper."""
        return self.at(211, 2), 7400

    def close(self) -> None:
        self.guard.close()


def _die_with_parent() -> None:
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True, eq=False)
class Child:
    """One party's process, through its starts."""

    name: str
    zone: str
    words: Sequence[str]  # of the command
    folder: Path  # of all of the play
    speaks: bool = False  # says on standard output what it does, and hears orders
    process: subprocess.Popen | None = None
    up: trio.Event = field(default_factory=trio.Event)  # of this start
    over: trio.Event = field(default_factory=trio.Event)
    starts: int = 0
    paused: bool = False
    killed: bool = False  # perhaps not gone yet
    wall_off: float = 0.0  # seconds, of its wall clock
    environment: dict[str, str] = field(default_factory=dict)  # beyond what every party has

    @property
    def files(self) -> Path:
        """Its own files, where histories and configuration are not."""
        return self.folder / "files" / self.name

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def spawn(self) -> None:
        """Start it; a former one must have ended."""
        words = list(self.words)
        if self.wall_off and words[0] == "gaugehinge.cli":
            words[:1] = ["gaugehinge.rehearsal.skewed", repr(self.wall_off)]
        self.starts += 1
        self.up, self.over = trio.Event(), trio.Event()
        self.paused = self.killed = False
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *words],
                stdin=subprocess.PIPE if self.speaks else subprocess.DEVNULL,
                stdout=subprocess.PIPE if self.speaks else log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1", **self.environment},
                cwd=ROOT,
                start_new_session=True,
                preexec_fn=_die_with_parent,
            )
        if self.speaks:  # one that stands still does not read; nobody may wait for it
            os.set_blocking(self.process.stdin.fileno(), False)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.killed = True
        self.signal(signal.SIGKILL)

    def reap(self) -> None:
        """Until it is gone, after a kill."""
        if self.process is not None:
            self.process.wait(REAPED_BY)
            for pipe in (self.process.stdin, self.process.stdout):
                if pipe is not None:
                    with suppress(OSError):
                        pipe.close()

    async def ended(self, number: int) -> None:
        """Until it has ended, whoever ended it. `number`: of its process descriptor, closed here."""
        process = self.process
        try:
            await trio.lowlevel.wait_readable(number)
        finally:
            os.close(number)
        process.wait()

    def tell(self, line: bytes) -> None:
        """An order to a party that hears them; one that has ended hears nothing."""
        if self.runs and self.process.stdin is not None:
            with suppress(OSError, ValueError):
                os.write(self.process.stdin.fileno(), line + b"\n")

    # -- files

    def keep_copy(self) -> None:
        """Its files as they are now. A database is copied whole even while it is written."""
        copy = self.folder / "copies" / self.name
        shutil.rmtree(copy, ignore_errors=True)
        copy.mkdir(parents=True)
        for path in sorted(self.files.iterdir()) if self.files.is_dir() else ():
            if path.suffix == ".db":
                source, to = sqlite3.connect(path), sqlite3.connect(copy / path.name)
                with closing(source), closing(to):
                    source.backup(to)
            elif path.is_file() and not path.name.startswith("store.db"):
                with suppress(FileNotFoundError):  # a part of a file that was just put in place
                    shutil.copy2(path, copy / path.name)

    def prepare(self, files: str) -> None:
        """Make its files what a start is told. Raises ValueError, and FileNotFoundError where no copy is."""
        made = FILES.get(files)
        if made is None:
            raise ValueError(f"files {files!r}: one of {', '.join(FILES)}")
        if self.files.is_file():  # it was unwritable; the disk is back
            self.files.unlink()
            self.files.with_suffix(".aside").rename(self.files)
        self.files.mkdir(parents=True, exist_ok=True)
        made(self)

    def forget(self, *names: str) -> None:
        """What a machine without power loses of its files: those that nobody synced."""
        for name in names:
            (self.files / name).unlink(missing_ok=True)


def _older(child: Child) -> None:
    copy = child.folder / "copies" / child.name
    if not copy.is_dir():
        raise FileNotFoundError(f"no copy of the files of {child.name} was kept")
    shutil.rmtree(child.files)
    shutil.copytree(copy, child.files)


def _torn(child: Child) -> None:
    for path in child.files.iterdir():
        if path.is_file():
            os.truncate(path, path.stat().st_size // 2)


def _empty(child: Child) -> None:
    for path in child.files.iterdir():
        if path.is_file():
            os.truncate(path, 0)


def _none(child: Child) -> None:
    shutil.rmtree(child.files)
    child.files.mkdir()


def _unwritable(child: Child) -> None:
    # Rights do not stop root: where the folder should be there is a file, and nothing can be opened in it.
    child.files.rename(child.files.with_suffix(".aside"))
    child.files.write_bytes(b"")


FILES: dict[str, Callable[[Child], None]] = {
    "same": lambda child: None,
    "older": _older,
    "torn": _torn,
    "empty": _empty,
    "unwritable": _unwritable,
    "none": _none,
}
