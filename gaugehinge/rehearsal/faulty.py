"""Stand-in routers that each break one rule, so that the referee itself is tried.

`python -m gaugehinge.rehearsal.faulty INSTALLATION.toml MODE`. It routes by plain hashing, one attempt, no
repeats, and does the wrong thing with every tenth operation: `double` answers twice, `late` after the abandon
time, `mute` never, `twice` runs a write twice, `drains` goes on with servers that drain, `pushes` sends all
to the server that started last.
"""

from __future__ import annotations

import sys
import time
from contextlib import suppress
from urllib.parse import quote
from zlib import crc32

import trio

from ..forms import toml
from ..installation.build import configuration_of
from ..installation.form import Installation
from ..net.configuration import Configuration
from ..net.discovery_watch import ENDPOINTS_PATH, PollError, Watch
from ..net.endpoint_list import EndpointTarget
from ..net.http_exchange import HttpExchange
from ..net.resp import MAX_REPLY_BYTES, Message, Parser, bulk
from ..net.timer_queue import TimerQueue
from ..routing.types import EndpointState

EACH = 10  # one of so many operations is done wrong
LIST_EVERY = 0.1
ATTEMPT_TIME = 5.0
PUSHES = 20  # attempts that each operation sends to the server that started last
PUSH_TIME = 0.3  # until their connection is closed
OVER = 0.2  # behind the abandon time
FAILED = b"-ERR failed\r\n"


class Faulty:
    """One faulty router."""

    def __init__(self, configuration: Configuration, mode: str, timers: TimerQueue) -> None:
        self.configuration = configuration
        self.mode = mode
        self.watch = Watch(configuration.discovery, timers)
        self.servers: dict[str, EndpointTarget] = {}
        self.count = 0
        self.nursery: trio.Nursery

    async def run(self) -> None:
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self._follow)
            while not self.servers:
                await trio.sleep(LIST_EVERY)
            host, port = self.configuration.listen
            await trio.serve_tcp(self._client, port, host=host)

    async def _follow(self) -> None:
        while True:
            with suppress(PollError):
                update = await self.watch.poll(ENDPOINTS_PATH, ATTEMPT_TIME)
                self.servers = {target.uid: target for target in update.targets}
            await trio.sleep(LIST_EVERY)

    def _caches(self) -> list[EndpointTarget]:
        origin = self.configuration.settings.deployment.origin_kind
        wanted = (EndpointState.UP, EndpointState.DRAINING) if self.mode == "drains" else (EndpointState.UP,)
        servers = sorted(self.servers.values(), key=lambda target: target.uid)
        return [t for t in servers if t.entry.kind != origin and t.entry.state in wanted]

    def _origin(self) -> EndpointTarget | None:
        origin = self.configuration.settings.deployment.origin_kind
        return next((t for t in self.servers.values() if t.entry.kind == origin), None)

    # -- clients

    async def _client(self, stream: trio.SocketStream) -> None:
        parser = Parser()
        try:
            async for data in stream:
                parser.feed(data)
                while (message := parser.next()) is not None:
                    await self._command(stream, message)
        except (OSError, trio.BrokenResourceError):
            return

    async def _command(self, stream: trio.SocketStream, message: Message) -> None:
        words = [part.body for part in message.top.body]
        if words[0] not in (b"KV.GET", b"KV.SET"):
            await stream.send_all(b"+PONG\r\n")
            return
        self.count += 1
        wrong = self.count % EACH == 0
        if wrong and self.mode == "mute":
            return
        answer = await self._operation(words, message.raw, wrong)
        if wrong and self.mode == "late":
            wait = dict(part.split(b"=") for part in words[3].split(b","))[b"d"]
            await trio.sleep(int(wait) / 1000.0 + OVER)
        await stream.send_all(answer)
        if wrong and self.mode == "double":
            await stream.send_all(answer)

    async def _operation(self, words: list[bytes], raw: bytes, wrong: bool) -> bytes:
        if words[0] == b"KV.SET":
            answer = await self._ask_origin(words)
            return await self._ask_origin(words) if wrong and self.mode == "twice" else answer
        caches = self._caches()
        if not caches:
            return FAILED
        if self.mode == "pushes":
            newest = max(caches, key=lambda target: target.entry.started)
            if newest.entry.started:
                self.nursery.start_soon(self._push, newest, raw)
        found = await self._ask_cache(caches[crc32(words[1]) % len(caches)], raw)
        return found if found is not None else await self._ask_origin(words)

    # -- servers

    async def _ask_cache(self, target: EndpointTarget, raw: bytes) -> bytes | None:
        """The value as it came; None for a miss."""
        parser = Parser(MAX_REPLY_BYTES)
        try:
            with trio.move_on_after(ATTEMPT_TIME):
                async with await trio.open_tcp_stream(*target.address) as stream:
                    await stream.send_all(raw)
                    async for data in stream:
                        parser.feed(data)
                        message = parser.next()
                        if message is not None:
                            return self._value(message)
        except (OSError, trio.BrokenResourceError):
            pass
        return FAILED

    async def _push(self, target: EndpointTarget, raw: bytes) -> None:
        """Many attempts on one connection, whose answers nobody reads."""
        try:
            async with await trio.open_tcp_stream(*target.address) as stream:
                await stream.send_all(raw * PUSHES)
                await trio.sleep(PUSH_TIME)
        except (OSError, trio.BrokenResourceError):
            return

    @staticmethod
    def _value(message: Message) -> bytes | None:
        if not isinstance(message.top.body, list):
            return message.raw  # an error
        value = message.top.body[0]
        return None if value.body is None else bulk(value.body)

    async def _ask_origin(self, words: list[bytes]) -> bytes:
        target = self._origin()
        if target is None:
            return FAILED
        talk = HttpExchange(MAX_REPLY_BYTES)
        body = words[4] if words[0] == b"KV.SET" else None
        head = [(b"Host", b"origin"), (b"X-Txn", words[2]), (b"X-Labels", words[3])]
        data = talk.request("GET" if body is None else "PUT", "/" + quote(words[1], safe=""), head, body)
        try:
            with trio.move_on_after(ATTEMPT_TIME):
                async with await trio.open_tcp_stream(*target.address) as stream:
                    await stream.send_all(data)
                    async for came in stream:
                        answer = talk.receive(came)
                        if answer is not None:
                            return bulk(answer.body) if answer.status == 200 else FAILED
        except (OSError, trio.BrokenResourceError):
            pass
        return FAILED


async def serve(configuration: Configuration, mode: str) -> None:
    """Until ended."""
    timers = TimerQueue(time.monotonic)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timers.run)
        await Faulty(configuration, mode, timers).run()


def main() -> int:
    configuration = configuration_of(toml.read(sys.argv[1], Installation))
    trio.run(serve, configuration, sys.argv[2])
    return 0


if __name__ == "__main__":
    sys.exit(main())
