"""A toy platform to try a router with: three cache servers, an origin and discovery, all on loopback.

    python example/toy.py serve             the platform, until interrupted
    python example/toy.py get KEY           one read through the router
    python example/toy.py set KEY VALUE     one write that must never run twice
"""

import json
import sys
import uuid

import h11
import trio

from gaugehinge.net.resp import Parser, bulk

CACHES = {"s-one": 7101, "s-two": 7102, "s-three": 7103}
ORIGIN, DISCOVERY, ROUTER = 7200, 7300, 6379
HOST = "127.0.0.1"


class Toy:
    """All values of the platform; a cache server that missed gets what the origin then answers."""

    def __init__(self) -> None:
        self.kept: dict[str, dict[bytes, bytes]] = {uid: {} for uid in CACHES}
        self.stored: dict[bytes, bytes] = {}
        self.missed: dict[bytes, list[str]] = {}  # by operation, until the origin answered it

    async def cache(self, uid: str, stream: trio.SocketStream) -> None:
        parser = Parser()
        async for data in stream:
            parser.feed(data)
            while (message := parser.next()) is not None:
                words = [part.body for part in message.top.body]
                await stream.send_all(self.cache_answer(uid, words))

    def cache_answer(self, uid: str, words: list[bytes]) -> bytes:
        if words[0] == b"PING":
            return b"+PONG\r\n"
        if words[0] not in (b"KV.GET", b"KV.SET"):
            return b"-ERR unknown command\r\n"
        key, ident = words[1:3]
        value = self.kept[uid].get(key)
        print(f"{uid}: {'hit' if value is not None else 'miss'} {key.decode()} ({words[3].decode()})")
        if value is None:
            self.missed.setdefault(ident, []).append(uid)
            return b"*3\r\n$-1\r\n" + bulk(b"miss") + b"$-1\r\n"
        return b"*3\r\n" + bulk(value) + bulk(b"hit") + b"$-1\r\n"

    def origin(self, request: h11.Request, body: bytes) -> bytes:
        key, ident = request.target[1:], dict(request.headers)[b"x-txn"]
        print(f"origin: {request.method.decode()} {key.decode()}")
        if request.method == b"PUT":
            self.stored[key] = body
            for kept in self.kept.values():
                kept.pop(key, None)
            return b"receipt " + ident
        value = self.stored.setdefault(key, b"first value of " + key)
        for uid in self.missed.pop(ident, []):
            self.kept[uid][key] = value
        return value

    def discovery(self, request: h11.Request, body: bytes) -> bytes:
        entry = {"az": "a", "pod_group": 0, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0}
        servers = [(uid, port, "toy") for uid, port in CACHES.items()] + [("s-origin", ORIGIN, "origin")]
        targets = [{"uid": uid, "endpoint": f"{HOST}:{port}", "model": model, **entry}
                   for uid, port, model in servers]
        return json.dumps({"rev": 1, "all": True, "targets": targets}).encode()


async def http(answer, wait: float, stream: trio.SocketStream) -> None:
    """One HTTP connection; `answer` turns a request into a body. A watch is answered after `wait`."""
    talk = h11.Connection(h11.SERVER)
    request, body = None, b""
    while True:
        event = talk.next_event()
        if event is h11.NEED_DATA:
            talk.receive_data(await stream.receive_some())
        elif isinstance(event, h11.Request):
            request, body = event, b""
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            if b"wait=" in request.target:
                await trio.sleep(wait)
            value = answer(request, body)
            head = h11.Response(status_code=200, headers=[("Content-Length", str(len(value)))])
            await stream.send_all(
                talk.send(head) + talk.send(h11.Data(data=value)) + talk.send(h11.EndOfMessage())
            )
            talk.start_next_cycle()
        else:
            return


async def serve() -> None:
    toy = Toy()

    async def listen(port: int, handler, *given) -> None:
        async def guarded(stream: trio.SocketStream) -> None:
            try:
                await handler(*given, stream)
            except (trio.BrokenResourceError, h11.RemoteProtocolError):
                return

        await trio.serve_tcp(guarded, port, host=HOST)

    async with trio.open_nursery() as nursery:
        for uid, port in CACHES.items():
            nursery.start_soon(listen, port, toy.cache, uid)
        nursery.start_soon(listen, ORIGIN, http, toy.origin, 0.0)
        nursery.start_soon(listen, DISCOVERY, http, toy.discovery, 2.0)
        print("serving; start the router in another terminal")


async def ask(words: list[bytes]) -> None:
    stream = await trio.open_tcp_stream(HOST, ROUTER)
    await stream.send_all(b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words))
    parser = Parser()
    message = None
    while message is None:
        parser.feed(await stream.receive_some())
        message = parser.next()
    print((message.top.body or b"null").decode())


def main(words: list[str]) -> int:
    ident = uuid.uuid4().hex[:16].encode()
    match words:
        case ["serve"]:
            trio.run(serve)
        case ["get", key]:
            trio.run(ask, [b"KV.GET", key.encode(), ident, b"c=read,t=acme,d=2000"])
        case ["set", key, value]:
            trio.run(ask, [b"KV.SET", key.encode(), ident, b"c=book,t=acme,d=2000", value.encode()])
        case _:
            print(__doc__, file=sys.stderr)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
