"""The origin as a process: runs writes, counts its connections itself, fills the servers that missed."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import unquote_to_bytes

import h11
import msgspec
import trio

from ..histories.events import Attempt, Recorder
from ..net.sockets import receive, send_all
from .cacheparty import Filled
from .doors import parse_labels
from .origin import http_answer
from .party import Bench, Doorkeeper, MarkBook, OriginPart, own, say

MOST_KEPT = 100_000  # keys; the one written longest ago goes first
MOST_BODY = 1 << 20
MOST_FILL = 60_000  # bytes of a value that goes into a datagram
TURNED_AWAY = b"X-Turned-Away: 1\r\n"


class OriginParty:
    """The origin."""

    def __init__(self, part: OriginPart, recorder: Recorder, note: Callable[[str], None]) -> None:
        self.part, self.recorder, self.note = part, recorder, note
        self.doors = Doorkeeper(part, recorder, part.bears)
        self.bench = Bench(part.cores, part.queue)
        self.marks = MarkBook(Path(part.files) / "marks", part.memory, recorder.now(), note)
        self.data: dict[str, bytes] = {}  # MOST_KEPT of them
        self.file = None
        path = Path(part.files) / "data"
        try:
            for line in path.read_bytes().splitlines() if path.exists() else ():
                try:
                    key, value = msgspec.json.decode(line, type=tuple[str, bytes])
                except msgspec.MsgspecError:
                    note("a line of the data is not whole")
                    continue
                self.data[key] = value
            self.file = path.open("ab", buffering=0)
        except OSError as bad:
            note(f"data is not kept: {bad}")
        self.fills = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.fills.setblocking(False)

    def order(self, told: dict[str, Any]) -> None:
        """What the play says: nothing so far that an origin hears."""

    async def run(self, nursery: trio.Nursery) -> None:
        """Serve until cancelled."""
        nursery.start_soon(self.doors.run, nursery, self.serve)
        while self.doors.listening is None:
            await trio.sleep(0.001)
        say(up=True)

    async def serve(self, raw: socket.socket, who: str, too_many: bool) -> None:
        """One connection: a request at a time."""
        talk = h11.Connection(h11.SERVER)
        head, body = None, bytearray()
        while True:
            with trio.move_on_after(self.part.keep_idle) as limit:
                data = await receive(raw)
            if limit.cancelled_caught:
                return
            try:
                talk.receive_data(data)
                while (event := talk.next_event()) is not h11.NEED_DATA:
                    if isinstance(event, h11.ConnectionClosed):
                        return
                    if isinstance(event, h11.Request):
                        head, body = event, bytearray()
                    elif isinstance(event, h11.Data):
                        body += event.data
                        if len(body) > MOST_BODY:
                            return
                    elif isinstance(event, h11.EndOfMessage):
                        if too_many:
                            more = TURNED_AWAY + b"Connection: close\r\n"
                            await send_all(raw, http_answer(503, b"too many connections", more))
                            return
                        await send_all(raw, await self.answer(head, bytes(body)))
                        talk.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
                        talk.send(h11.EndOfMessage())
                        talk.start_next_cycle()
            except h11.RemoteProtocolError:
                return

    async def answer(self, head: h11.Request, body: bytes) -> bytes:
        """One request's answer. What it does is done, and on record, before any time passes."""
        headers = dict(head.headers)
        ident, told = headers.get(b"x-txn"), headers.get(b"x-labels")
        if ident is None or told is None or head.method not in (b"GET", b"PUT"):
            return http_answer(400, b"no operation")
        if self.bench.cores.statistics().tasks_waiting >= self.part.queue:
            return http_answer(503, b"queue full", TURNED_AWAY)
        write, now = head.method == b"PUT", self.recorder.now()
        key = unquote_to_bytes(head.target[1:]).decode("latin-1")
        name, mark = ident.decode("latin-1"), parse_labels(told).get("k", "") if write else ""
        receipt, before = "done " + own(name), None
        if mark:
            before = self.marks.first(mark, receipt, now)
        self.recorder.put(
            Attempt(
                now,
                self.part.name,
                self.part.name,
                "",
                own(name),
                key,
                write,
                own(mark),
                write and before is None,
            )
        )
        if not write:
            value = self.data.get(key, b"of " + key.encode("latin-1"))
            self._tell(Filled(key, name, value))
        else:
            value = (before or receipt).encode()
            if before is None:
                self._store(key, body)
        if not await self.bench.work(self.part.work):
            await trio.sleep(self.part.work)  # it ran before the queue filled
        return http_answer(200, value)

    def _store(self, key: str, value: bytes) -> None:
        self.data.pop(key, None)
        self.data[key] = value
        if len(self.data) > MOST_KEPT:
            del self.data[next(iter(self.data))]
        if self.file is not None:
            self.file.write(msgspec.json.encode((key, value)) + b"\n")
        self._tell(Filled(key, "", b""))

    def _tell(self, filled: Filled) -> None:
        if len(filled.value) > MOST_FILL:
            return
        data = msgspec.msgpack.encode(filled)
        for where in self.part.servers:
            try:
                self.fills.sendto(data, where)
            except OSError:
                continue  # that server is not there
