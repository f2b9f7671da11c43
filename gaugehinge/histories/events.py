"""The forms of events, and the files that they are written to. One file a party, one JSON line an event.

All times are `time.monotonic()` of the machine, which all processes on it share; what a process believes of
wall clocks stands in fields of its own. An operation's begin and end are events apart, so that what was open
when its party was killed can be seen as open.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec


class Event(msgspec.Struct, frozen=True, tag_field="what"):
    """What all events have."""

    at: float  # seconds, monotonic
    party: str  # `client-3`, `server-2`, `origin`, `keeper`, `router-1`, `play`


class OpBegan(Event, frozen=True, tag="op_began"):
    """A client wrote the last byte of an operation."""

    ident: str
    router: str
    tenant: str
    traffic: str
    effect: str  # `idempotent`, `deduplicated`, `unrepeatable`
    key: str  # as the client says it
    write: bool
    wait: float  # seconds that it waits: the abandon time is `at + wait`
    mark: str = ""  # of a deduplicated write
    repeat_of: str = ""  # ident of the operation that it repeats (`r=1`); empty: a first one
    value: str = ""  # that it writes, a different one each time; empty: its tenant and ident, `TENANT|IDENT`


class OpEnded(Event, frozen=True, tag="op_ended"):
    """A client read an answer, or saw its connection end. More than one for an ident is a break."""

    ident: str
    outcome: str  # `settled`, `bounced`, `forfeited`, `lost` (ended or nothing before the abandon time),
    # `crossed` (the connection ended with no byte of an answer: taken for unread, and sent once more)
    value: str = ""  # of a read or a receipt
    come_back: float = -1.0  # seconds that a bounce told; -1: none


class Gone(Event, frozen=True, tag="gone"):
    """A client closed a connection; what it still waited for there nobody waits for any more."""

    router: str
    idents: list[str]


class Attempt(Event, frozen=True, tag="leg"):
    """A server or the origin got the last byte of a command."""

    server: str
    zone: str
    ident: str  # as its client wrote it, without the tenant's own space
    key: str  # with the tenant's own space before it, as it came
    write: bool
    mark: str = ""  # likewise
    effect: bool = False  # whether it changed what is stored; a repeat of a known mark does not
    cold: bool = False  # the server had started less than its warm-up ago
    draining: bool = False  # the list had told so, to the router that sent it (`told_at`)
    told_at: float = 0.0


class Connections(Event, frozen=True, tag="connections"):
    """How many connections a limited store counts as open, itself, after each change of that number."""

    store: str  # `origin` or a server's name
    count: int
    by: dict[str, int] = {}  # by router, as the address tells


class Link(Event, frozen=True, tag="link"):
    """A link between two parties changed."""

    one: str
    other: str
    state: str  # as in emulator.link.State


class Process(Event, frozen=True, tag="process"):
    """A party's process changed."""

    name: str
    state: str  # `started`, `ready`, `killed`, `told_to_end`, `told_anew` (SIGHUP, its file is another),
    # `ended`, `stopped`, `continued`
    files: str = ""  # `same`, `older`, `torn`, `empty`, `unwritable`, `none`


class Change(Event, frozen=True, tag="change"):
    """A call to the keeper's API began (no `status`) or ended (`status` 0: nobody knows whether made)."""

    ident: str
    method: str
    path: str
    body: str = ""
    if_match: str = ""
    status: int = -1  # -1: it begins
    answer: str = ""
    revision: int = 0
    key: str = ""  # `Idempotency-Key`: calls with the same one are one change


class Placed(Event, frozen=True, tag="placed"):
    """The keeper said of a shard, when asked (E.g. `confined`)."""

    tenant: str
    shard: str
    stage: str
    regions: list[str]
    zones: list[str]  # of the regions, at that time
    prefixes: list[str]  # as keys stand at servers, the tenant's space before them
    only: bool


class ListChanged(Event, frozen=True, tag="list_changed"):
    """Discovery's list has something new: from here on it is told."""

    rev: int
    server: str
    state: str  # `ready`, `draining`, `gone`


class ListAsked(Event, frozen=True, tag="list_asked"):
    """A router's call for the list came to discovery."""

    router: str
    call: int  # its number
    since: int  # version; -1: the whole list
    wait: float  # seconds that it may stand open; 0: it is to be answered at once


class ListTold(Event, frozen=True, tag="list_told"):
    """A call is over: its answer is written, or its connection has ended."""

    router: str
    call: int
    rev: int = 0  # up to which it tells
    status: int = 0  # 200, 503; 0: no answer


class Hushed(Event, frozen=True, tag="hushed"):
    """A router's connection to discovery fell silent and stays open: nothing comes on it any more."""

    router: str
    call: int = 0  # that stood open on it; 0: none


class Outage(Event, frozen=True, tag="outage"):
    """Discovery is down from here on; watches end, calls fail."""

    until: float


class Stall(Event, frozen=True, tag="stall"):
    """The play's own loop, on which clients and links run, stood for so long: the machine was too busy."""

    lasted: float  # seconds, up to `at`


class Note(Event, frozen=True, tag="note"):
    """Whatever else a party says, for the person who reads a break."""

    text: str


AnyEvent = (
    OpBegan
    | OpEnded
    | Gone
    | Attempt
    | Connections
    | Link
    | Process
    | Change
    | Placed
    | Stall
    | Note
    | ListChanged
    | ListAsked
    | ListTold
    | Hushed
    | Outage
)


class Recorder:
    """One party's file. Each event is with the machine before `put` returns: a killed process loses none."""

    def __init__(self, folder: Path, party: str) -> None:
        self.party = party
        self._file: BinaryIO = (folder / f"{party}.history").open("ab", buffering=0)

    def put(self, event: AnyEvent) -> None:
        """Append one. `at` and `party` are the caller's."""
        self._file.write(msgspec.json.encode(event) + b"\n")

    def now(self) -> float:
        """The time to write into an event."""
        return time.monotonic()

    def close(self) -> None:
        """No more."""
        self._file.close()


def read_history(folder: Path) -> Iterator[AnyEvent]:
    """All events of a play in the order of their times. A torn last line of a killed party is left out."""
    found: list[AnyEvent] = []
    for path in sorted(folder.glob("*.history")):
        body = path.read_bytes()
        whole = body if body.endswith(b"\n") else body[: body.rfind(b"\n") + 1]
        found += [msgspec.json.decode(line, type=AnyEvent) for line in whole.splitlines()]
    return iter(sorted(found, key=lambda event: event.at))
