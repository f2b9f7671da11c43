"""HTTP by h11: the exchange that origin and discovery share, and legs to the origin."""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import quote

import h11

from ..terms import Outcome
from .pool import CHUNK, Broken, Cargo, Line, Reply
from .resp import MOST_VALUE, bulk
from .sockets import Stream

MOST_HEAD = 32 * 1024


class Answer(NamedTuple):
    """A whole HTTP answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep: bool  # whether the connection goes on


def parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)


def request(
    connection: h11.Connection, method: str, target: str, headers: list[tuple[str, bytes]],
    body: bytes | None = None,
) -> bytes:
    """The bytes of one request."""
    if body is not None:
        headers = [*headers, ("Content-Length", b"%d" % len(body))]
    data = connection.send(h11.Request(method=method, target=target, headers=headers))
    if body:
        data += connection.send(h11.Data(data=body))
    return data + connection.send(h11.EndOfMessage())


async def read_answer(stream: Stream, connection: h11.Connection, most: int) -> Answer:
    """One whole answer; raises Broken where it ends early, is garbage or holds more than `most`."""
    head: h11.Response | None = None
    body = bytearray()
    try:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.recv(CHUNK))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > most:
                    raise Broken("answer too long")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise Broken("ended")
    except h11.RemoteProtocolError as bad:
        raise Broken(str(bad)) from None
    keep = connection.our_state is h11.DONE and connection.their_state is h11.DONE
    if keep:
        connection.start_next_cycle()
    return Answer(head.status_code, dict(head.headers), bytes(body), keep)


class OriginDialect:
    """The origin's protocol."""

    def parser(self) -> h11.Connection:
        return parser()

    def command(self, line: Line, cargo: Cargo, left: float) -> bytes:
        host, port = line.place.endpoint
        headers = [
            ("Host", f"{host}:{port}".encode()), ("X-Txn", cargo.ident), ("X-Labels", cargo.told),
        ]
        method = "GET" if cargo.value is None else "PUT"
        return request(line.parser, method, "/" + quote(cargo.key, safe=""), headers, cargo.value)

    async def answer(self, line: Line) -> Reply:
        got = await read_answer(line.stream, line.parser, MOST_VALUE)
        return Reply(read_status(got), bulk(got.body) if got.status == 200 else None, got.keep)


def read_status(got: Answer) -> Outcome:
    """An origin's answer, by the protocol's words: whatever is not told as never run may have."""
    if got.status == 200:
        return Outcome.SETTLED
    if got.status in (503, 504) and got.headers.get(b"x-turned-away") == b"1":
        return Outcome.TURNED_AWAY
    return Outcome.ERRORED
