"""A played cache server that keeps what is written, for many tenants: one store behind all of a fleet.

Every command is on record as it came, so that a judge sees whose keys, marks and ids met where.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from ..net.resp import Malformed, Parser, bulk
from .doors import parse_labels

HIT, REPORT = b"$3\r\nhit\r\n", b"$-1\r\n"


@dataclass(slots=True, frozen=True)
class Seen:
    """One command at one server."""

    server: str
    write: bool
    key: bytes
    ident: bytes
    labels: dict[str, str]
    value: bytes | None
    repeat: bool  # its mark was known: it took no effect
    at: float


@dataclass(slots=True, eq=False)
class Shelves:
    """What all servers of a fleet keep together. As large as the keys and marks that were written."""

    clock: Callable[[], float]
    work: float = 0.0
    data: dict[bytes, bytes] = field(default_factory=dict)
    marks: dict[str, bytes] = field(default_factory=dict)  # receipts
    seen: list[Seen] = field(default_factory=list)
    recording: bool = True

    def answer(self, server: str, words: list[bytes]) -> bytes:
        """One command's effect and answer."""
        if words[0] == b"PING":
            return b"+PONG\r\n"
        if words[0] == b"SELECT":
            return b"+OK\r\n"
        write = words[0] == b"KV.SET"
        if words[0] not in (b"KV.GET", b"KV.SET") or len(words) != 4 + write:
            return b"-ERR unknown command\r\n"
        key, ident, told = words[1:4]
        labels = parse_labels(told)
        mark, repeat = labels.get("k", ""), False
        if write:
            repeat = bool(mark) and mark in self.marks
            if not repeat:
                self.data[key] = words[4]
                receipt = b"done " + ident
                if mark:
                    self.marks[mark] = receipt
            value = self.marks[mark] if repeat else receipt
        else:
            value = self.data.get(key, b"")
        if self.recording:
            given = words[4] if write else None
            self.seen.append(Seen(server, write, key, ident, labels, given, repeat, self.clock()))
        return b"*3\r\n" + bulk(value) + HIT + REPORT

    async def serve(self, server: str, stream: trio.SocketStream) -> None:
        """One connection."""
        parser = Parser()
        try:
            while data := await stream.receive_some():
                parser.feed(data)
                while (message := parser.next()) is not None:
                    reply = self.answer(server, [part.body for part in message.top.body])
                    if self.work:
                        await trio.sleep(self.work)
                    await stream.send_all(reply)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, Malformed):
            return
