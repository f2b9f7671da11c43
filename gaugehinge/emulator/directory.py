"""Discovery's list: versions, changes, lateness, and what each router was told. No I/O."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .virtual import Schedule

MOST_CHANGES = 1024  # remembered; a router further behind gets the whole list


@dataclass(slots=True)
class Entry:
    """One server of the list."""

    uid: str
    host: str  # with {router} for the number of the router's own address
    kind: str
    zone: str
    cell: int
    state: str = "ready"
    boot_ms: int = 0
    capacity: float = 1.0

    def told(self, router: int) -> dict[str, Any]:
        """In discovery's form, with the address that this router reaches it at."""
        return {
            "uid": self.uid,
            "endpoint": self.host.format(router=router + 1),
            "az": self.zone,
            "model": self.kind,
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": self.capacity,
            "boot_ms": self.boot_ms,
        }


class Directory:
    """The list and those who wait for news of it."""

    def __init__(self, schedule: Schedule, lateness: float, note: Callable[..., None]) -> None:
        self.schedule = schedule
        self.clock = schedule.clock
        self.lateness = lateness
        self.note = note
        self.rev = 1
        self.entries: dict[str, Entry] = {}
        self.former: dict[str, Entry] = {}  # those that left, as many as a script has servers
        self.changes: list[tuple[int, dict[str, Any], str]] = []  # newest last: rev, what, uid
        self.frozen_until = 0.0  # `stale`: news is held back until then
        self.empty_until = 0.0
        self.late_until, self.late_by = 0.0, 0.0
        self.down_until = 0.0
        self._held: list[tuple[str, dict[str, Any]]] = []
        self.waiting: set[Callable[[], None]] = set()  # called once when there is news

    # -- what is true

    def put(self, entry: Entry) -> None:
        """At the start, before anybody asks."""
        self.entries[entry.uid] = entry

    def change(self, uid: str, **fields: Any) -> None:
        """Something is so now; the list tells it after its lateness."""
        now = self.clock()
        late = self.lateness + (self.late_by if now < self.late_until else 0.0)
        self.schedule.call_at(now + late, self._tell, uid, fields)

    def _tell(self, uid: str, fields: dict[str, Any]) -> None:
        if self.clock() < self.frozen_until:
            self._held.append((uid, fields))
            return
        entry = self.entries.get(uid)
        if entry is None and fields.get("state") == "gone":
            return
        if entry is None:
            like = self._known(fields.get("like", uid))
            entry = self.entries[uid] = Entry(uid, like.host, like.kind, like.zone, like.cell)
        for name, value in fields.items():
            if name != "like":
                setattr(entry, name, value)
        self.rev += 1
        self.changes.append((self.rev, dict(fields), uid))
        del self.changes[:-MOST_CHANGES]
        self.note("change", self.rev, uid, entry.state, self.clock())
        if entry.state == "gone":
            self.former[uid] = self.entries.pop(uid)
        waiting, self.waiting = self.waiting, set()
        for wake in waiting:
            wake()

    def _known(self, uid: str) -> Entry:
        return self.entries.get(uid) or self.former[uid]

    # -- faults

    def freeze(self, until: float) -> None:
        """The list is stale until then; after that all comes at once."""
        self.frozen_until = until
        self.schedule.call_at(until, self._thaw)

    def _thaw(self) -> None:
        if self.clock() < self.frozen_until:
            return
        held, self._held = self._held, []
        for uid, fields in held:
            self._tell(uid, fields)

    def down(self) -> bool:
        return self.clock() < self.down_until

    # -- what is told

    def news(self, since: int | None) -> bool:
        """Whether there is something newer than that version."""
        return since is None or since != self.rev

    def answer(self, router: int, since: int | None) -> bytes:
        """The whole list, or what changed since a version, as JSON."""
        if self.clock() < self.empty_until:
            return json.dumps({"rev": self.rev, "all": True, "targets": []}).encode()
        oldest = self.changes[0][0] - 1 if self.changes else self.rev
        whole = since is None or since > self.rev or since < oldest
        if whole:
            targets = [entry.told(router) for entry in self.entries.values()]
        else:
            changed = {uid: None for rev, _, uid in self.changes if rev > since}
            targets = [
                self.entries[uid].told(router)
                if uid in self.entries
                else {"uid": uid, "state": "gone", "endpoint": "", "az": "", "model": "", "pod_group": 0}
                for uid in changed
            ]
        return json.dumps({"rev": self.rev, "all": whole, "targets": targets}).encode()

    def told(self, router: int) -> None:
        """An answer with the newest version was written to a router."""
        self.note("told", router, self.rev, self.clock())
