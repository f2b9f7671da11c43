"""Discovery as a process: the list that the play tells it, kept in its file, watched by routers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import trio

from ..histories.events import Hushed, ListAsked, ListChanged, ListTold, Outage, Recorder
from ..net.timer_queue import Clock, TimerQueue
from .directory import Directory, Entry
from .doors import DirectoryDoor
from .party import DirectoryPart, Listed, say

CAPACITY = 2000.0  # calls a second
LONGEST_WAIT = 60.0  # seconds of a watch


class Kept(msgspec.Struct):
    """The file."""

    rev: int
    entries: list[Listed]


class ListParty:
    """Discovery."""

    def __init__(self, part: DirectoryPart, note: Callable[[str], None]) -> None:
        self.part, self.note = part, note
        self.recorder = recorder = Recorder(Path(part.folder), part.name)
        self.path = Path(part.files) / "list"
        clock = Clock()
        self.door: DirectoryDoor | None = None  # until it serves
        self.timers = TimerQueue(clock)
        self.directory = Directory(self.timers, part.lateness, self._noted)
        kept = self._read()
        self.directory.rev = kept.rev
        for each in kept.entries:
            if each.state == "gone":  # known, so that it can come back
                self.directory.former[each.uid] = self._entry(each)
            else:
                self.directory.put(self._entry(each))
        for each in part.entries:  # those that no file told of, with nothing said of them yet
            if each.uid not in self.directory.entries and each.uid not in self.directory.former:
                self.directory.former[each.uid] = self._entry(each)
        for each in self.directory.entries.values():  # one with an older file tells that from here on
            now = recorder.now()
            recorder.put(ListChanged(now, part.name, self.directory.rev, each.uid, each.state))
        self._keep()

    def _read(self) -> Kept:
        try:
            return msgspec.json.decode(self.path.read_bytes(), type=Kept)
        except FileNotFoundError:
            return Kept(self.part.rev, self.part.entries)
        except (OSError, msgspec.MsgspecError) as bad:
            self.note(f"list not used: {bad}")
            return Kept(self.part.rev, [])

    def _entry(self, each: Listed) -> Entry:
        return Entry(each.uid, each.host, each.kind, each.zone, each.cell, each.state, each.boot_ms)

    def _keep(self) -> None:
        known = {**self.directory.former, **self.directory.entries}
        entries = [Listed(e.uid, e.host, e.zone, e.kind, e.cell, e.state, e.boot_ms) for e in known.values()]
        try:
            part = self.path.with_name("list.part")
            part.write_bytes(msgspec.json.encode(Kept(self.directory.rev, entries)))
            part.replace(self.path)
        except OSError as bad:
            self.note(f"list not kept: {bad}")

    def _noted(self, what: str, *told: Any) -> None:
        if what == "change":
            rev, uid, state, _ = told
            self.recorder.put(ListChanged(self.recorder.now(), self.part.name, rev, uid, state))
            self._keep()
        elif what == "told":
            states = {uid: entry.state for uid, entry in self.directory.entries.items()}
            draining = [uid for uid, state in states.items() if state == "draining"]
            say(told=told[0], rev=told[1], draining=draining)

    def _called(self, what: str, router: int, call: int, *more: Any) -> None:
        """A call, its end, or a silence, for the history."""
        head = (self.recorder.now(), self.part.name, f"router-{router}", call)
        if what == "asked":
            since, wait = (int(each[0]) if each and each[0].isdigit() else None for each in more)
            self.recorder.put(ListAsked(*head, -1 if since is None else since, (wait or 0) / 1000.0))
        elif what == "told":
            self.recorder.put(ListTold(*head, *more))
        else:
            self.recorder.put(Hushed(*head))

    def order(self, told: dict[str, Any]) -> None:
        """A change of the list, or a time for which discovery answers with an error, is empty or stale; all
        connections fall silent (`hush`) or are reset; the first addresses go (`retire`)."""
        uid, now = told.get("uid"), self.timers.clock()
        if uid is not None:
            held = self.directory.entries.get(uid)
            fields = {name: told[name] for name in ("state", "boot_ms", "zone") if name in told}
            if held is None or any(getattr(held, name) != value for name, value in fields.items()):
                self.directory.change(uid, **fields)
        if "down" in told and self.door is not None:
            at = self.recorder.now()
            self.recorder.put(Outage(at, self.part.name, at + told["down"]))
            self.door.outage(now + told["down"], bool(told.get("silent")))
        if told.get("hush") and self.door is not None:
            self.door.hush()
        if told.get("retire") and self.door is not None:
            self.door.hush(first=True)
        if told.get("reset") and self.door is not None:
            self.door.cut()
        if "stale" in told:
            self.directory.freeze(now + told["stale"])
        if "empty" in told:
            self.directory.empty_until = now + told["empty"]
            self.timers.call_at(self.directory.empty_until, self._whole_again)

    def _whole_again(self) -> None:
        """Those that were told an empty list, at this version, are told the whole at a new one."""
        directory = self.directory
        if self.timers.clock() < directory.empty_until:
            return
        directory.rev += 1
        directory.changes.clear()
        waiting, directory.waiting = directory.waiting, set()
        for wake in waiting:
            wake()

    async def run(self, nursery: trio.Nursery) -> None:
        """Answer until cancelled."""
        self.door = DirectoryDoor(
            nursery, self.timers, self.directory, self.part.seed, CAPACITY, LONGEST_WAIT
        )
        self.door.addresses = [tuple(each) for each in self.part.listen]
        self.door.routers = len(self.part.listen) // 2 if self.part.moves else 0
        self.door.noted = self._called
        nursery.start_soon(self.timers.run)
        self.door.open()
        await trio.lowlevel.checkpoint()
        say(up=True)
