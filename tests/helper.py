"""Shared by the tests: a router under a hand-moved clock, and a real one between stand-ins on loopback."""

import itertools
import json
import os
import socket
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from functools import partial

import pytest
import trio
import trio.testing

from gaugehinge.emulator.ports import reserve
from gaugehinge.net.configuration import read_configuration
from gaugehinge.net.resp import MAX_REPLY_BYTES, Parser, bulk
from gaugehinge.net.service import Service
from gaugehinge.routing.router import Router
from gaugehinge.routing.types import (
    Action,
    Decision,
    DeduplicationScope,
    Deployment,
    Effect,
    EndpointEntry,
    EndpointState,
    Operation,
    Outcome,
    Tenant,
    TrafficType,
)

READ = TrafficType(0, Effect.IDEMPOTENT, DeduplicationScope.ALL, 0.0, 1.0, 1.0, 0.0)
MARKED = TrafficType(1, Effect.WITH_IDEMPOTENCY_KEY, DeduplicationScope.ALL, 0.8, 1.0, 2.0, 0.2)
ONCE = TrafficType(2, Effect.NON_IDEMPOTENT, DeduplicationScope.CELL, 0.0, 1.0, 2.0, 0.2)
ORIGIN = 999
COUNT = itertools.count()

PLAIN = Deployment(
    seed=7,
    router_number=0,
    router_count=2,
    traffic_types=(READ, MARKED, ONCE),
    tenants=(),
    cache_aside=True,
    origin_kind="origin",
    clock_granularity=0.005,
    max_attempts=5,
    cold_capacity=0.2,
    warm_up_time=20.0,
    overload_multiple=2.0,
    overload_time=2.0,
    may_cancel=True,
    may_gossip=False,
    must_poll=False,
    max_retry_after=0.0,
    over_quota_weight=1.0,
    weight_by_work=False,
)


def row(
    ident: int, presence=EndpointState.UP, started=0.0, kind="std", zone="a", cell=0, weight=0.0
) -> EndpointEntry:
    return EndpointEntry(ident, zone, kind, cell, presence, started, weight)


def origin_row(presence=EndpointState.UP) -> EndpointEntry:
    return row(ORIGIN, presence, kind="origin")


class Bench:
    """A router, its clock and the operations in hand."""

    def __init__(self, caches: int = 8, **changes) -> None:
        self.now = 100.0
        self.router = Router(replace(PLAIN, **changes), self.now)
        self.hear([row(i) for i in range(1, caches + 1)] + [origin_row()])
        self.count = 0

    def hear(self, rows, whole=True, held=False) -> None:
        self.router.on_endpoints_changed(rows, whole, held, self.now)

    def ask(self, key="k", traffic=READ, left=1.5, tenant=-1) -> tuple[Operation, Decision]:
        self.count += 1
        write = traffic is not READ
        operation = Operation(
            str(self.count), traffic, key.encode(), tenant, write, False, self.now, self.now + left
        )
        return operation, self.router.route(operation, self.now)

    def ask_for_pool(self, clock, key="k", traffic=READ) -> tuple[Operation, Decision]:
        """One whose attempt is given to a pool: its deadline is by the pool's clock."""
        operation, decision = self.ask(key, traffic)
        operation.deadline = clock() + 60.0
        return operation, decision

    def end(self, attempt, outcome: Outcome, elapsed=0.02):
        self.now += elapsed
        return self.router.on_attempt_finished(
            attempt, outcome, elapsed, outcome is Outcome.SUCCEEDED, self.now
        )

    def settle(self, key="k", elapsed=0.02) -> int:
        """One read answered by the cache that was chosen; returns that cache's number."""
        _, answer = self.ask(key)
        assert answer.action is Action.SEND
        self.end(answer.attempt, Outcome.SUCCEEDED, elapsed)
        return answer.attempt.endpoint.ident


WAIT = {"abandonTimeUs": 500_000}  # a stop need not wait for longer
SETTINGS = {
    "allowed": {
        "mostLegs": 4,
        "mayCancel": True,
        "peers": True,
        "retryAfter": True,
        "maxRetryAfterUs": 2_000_000,
        "connectTimeoutUs": 2_000_000,
        "connIdleUs": 10_000_000,
    },
    "discovery": "on_request",
    "domain": {"mode": "aside", "originKind": 1},
    "granularityUs": 5000,
    "me": 0,
    "replicasOfMe": 2,
    "shapes": ["std", "origin"],
    "parties": [{"name": "acme", "share": 1.0, "allowancePerS": 1000.0}],
    "rules": {"coldFrom": 0.3, "coldUs": 8_000_000, "fallMultiple": 2.5, "fallUs": 3_000_000},
    "trafficTypes": [
        {"name": "read", "effect": "repeatable", "promisedTimeUs": 3_000_000, "overduePayoff": 0.2, **WAIT},
        {
            "name": "mark",
            "effect": "by_key",
            "group": "all",
            "windowUs": 9_000_000,
            "promisedTimeUs": 3_000_000,
            "overduePayoff": 0.2,
            **WAIT,
        },
        {"name": "once", "effect": "once", "promisedTimeUs": 3_000_000, "overduePayoff": 0.2, **WAIT},
    ],
}


# Below those that the system gives to connections, any of which could take a free one before it is used.
PORTS = range(10_000, 20_000)  # below those of gaugehinge.emulator.ports
PORTS_OF_A_PROCESS = 1009  # from where one process begins to where the next does
PORT_COUNT = itertools.count(PORTS_OF_A_PROCESS * os.getpid())


def free_port(kind=socket.SOCK_STREAM) -> int:
    """A free port at 127.0.0.1, reserved for a server that sets SO_REUSEADDR."""
    for number in itertools.islice(PORT_COUNT, len(PORTS)):
        port = PORTS[number % len(PORTS)]
        with suppress(OSError):
            reserve(["127.0.0.1"], port, kind)
            return port
    raise AssertionError("no port is free")


async def fail(stream, mode: str, half: bytes) -> None:
    """One of the ways in which a server goes wrong after it has read."""
    if mode == "stall":
        await trio.sleep_forever()
    elif mode == "half":
        await stream.send_all(half[: len(half) // 2])
    elif mode == "garbage":
        await stream.send_all(b"\x00no protocol of ours\r\n\r\n")
        await trio.sleep_forever()
    elif mode == "reset":
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    await stream.aclose()


FAILURES = ["close", "half", "garbage", "reset", "stall"]


@dataclass
class Cache:
    """A cache server: answers by `mode`, which may be a function of the command."""

    mode: object = "hit"
    commands: list = field(default_factory=list)
    connections: int = 0
    ended: int = 0  # connections that the router closed

    async def serve(self, stream) -> None:
        self.connections += 1
        parser = Parser()
        if self.mode == "shut":
            return
        try:
            while data := await stream.receive_some():
                parser.feed(data)
                while (message := parser.next()) is not None:
                    command = [part.body for part in message.top.body]
                    if command[0] == b"SELECT":
                        await stream.send_all(b"+OK\r\n")
                        continue
                    self.commands.append(command)
                    await self.answer(stream, command)
            self.ended += 1
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            self.ended += 1

    async def answer(self, stream, command) -> None:
        mode = self.mode(command) if callable(self.mode) else self.mode
        value = b"*3\r\n" + bulk(b"of " + command[1]) + b"$3\r\nhit\r\n$-1\r\n"
        words = {
            "hit": value,
            "miss": b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n",
            "error": b"-ERR failed\r\n",
            "busy": b"-BUSY\r\n",
        }
        if mode in words:
            await stream.send_all(words[mode])
        elif mode == "late":
            await trio.sleep(0.2)
            await stream.send_all(value)
        else:
            await fail(stream, mode, value)


@dataclass
class Web:
    """An HTTP server: `reply(method, target, headers, body)` gives status, headers and body, or a failure."""

    reply: object
    seen: list = field(default_factory=list)

    async def serve(self, stream) -> None:
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = await stream.receive_some()
                    if not data:
                        return
                    buffer += data
                head, buffer = buffer.split(b"\r\n\r\n", 1)
                lines = head.decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines[1:])
                length = int(headers.get("content-length", 0))
                while len(buffer) < length:
                    buffer += await stream.receive_some()
                body, buffer = buffer[:length], buffer[length:]
                method, target, _ = lines[0].split(" ")
                self.seen.append((method, target, headers, body))
                await self.answer(stream, self.reply(method, target, headers, body))
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def answer(self, stream, told) -> None:
        if isinstance(told, str):
            await fail(stream, told, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789")
            return
        status, extra, body = told
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode()
        await stream.send_all(head + body)


class Client:
    """A client's connection."""

    def __init__(self, stream) -> None:
        self.stream = stream
        self.parser = Parser(MAX_REPLY_BYTES)

    async def send(self, *words) -> None:
        words = [word if isinstance(word, bytes) else word.encode() for word in words]
        await self.stream.send_all(b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words))

    async def answer(self) -> bytes | None:
        """The next answer's bytes; None at the end of the connection."""
        with trio.fail_after(20):
            while True:
                message = self.parser.next()
                if message is not None:
                    return message.raw
                try:
                    data = await self.stream.receive_some()
                except trio.BrokenResourceError:
                    return None
                if not data:
                    return None
                self.parser.feed(data)

    async def ask(self, *words) -> bytes | None:
        await self.send(*words)
        return await self.answer()

    async def get(self, key="k1", ident=None, labels="c=read,t=acme,d=4000") -> bytes | None:
        return await self.ask("KV.GET", key, ident or f"new-{next(COUNT)}", labels)

    async def put(self, ident=None, labels="c=once,t=acme,d=4000", key="k1") -> bytes | None:
        return await self.ask("KV.SET", key, ident or f"new-{next(COUNT)}", labels, "new value")


@dataclass
class Fleet:
    """A router in service and what stands round it."""

    service: Service
    caches: list
    origin: Web
    port: int
    targets: list
    scope: trio.CancelScope
    ended: trio.Event
    path: object  # of its configuration

    async def client(self) -> Client:
        return Client(await trio.open_tcp_stream("127.0.0.1", self.port))


SCENE_TIMEOUT = 60.0  # seconds


def run(scene, *arguments) -> None:
    """Run an async test to its end."""

    async def main():
        with trio.fail_after(SCENE_TIMEOUT):
            await scene(*arguments)

    trio.run(main)


# A test with it runs once with each way of reading clients' connections.
both = pytest.mark.usefixtures("reading")

# Stands for `new_door` where a test names none: tests of connections run once with each way of reading.
DOOR = None


@asynccontextmanager
async def fleet(
    tmp_path,
    caches=(),
    origin=None,
    discovery=None,
    sockets=256,
    settings=None,
    peers=(),
    new_door=None,
    build_extensions=None,
):
    """Start stand-ins and a router; the router ends by itself or with the block."""
    origin = Web(origin or (lambda method, target, headers, body: (200, "", b"fetched")))
    caches = list(caches) or [Cache()]
    async with trio.open_nursery() as nursery:

        async def stand(handler) -> str:
            listeners = await nursery.start(_serve, handler)
            return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

        kinds = ["std"] * len(caches) + ["origin"]
        targets = [
            {
                "uid": f"s-{i}",
                "endpoint": await stand(each.serve),
                "az": "a",
                "model": kind,
                "pod_group": 0,
                "state": "ready",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for i, (each, kind) in enumerate(zip([*caches, origin], kinds, strict=True))
        ]
        web = Web(discovery or (lambda *call: "stall"))
        port = free_port()
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": await stand(web.serve),
            "seed": "0a",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "settings": settings or SETTINGS,
            "known": {"rev": 1, "all": True, "targets": targets},
            **dict(peers),
        }
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config))
        environment = {"LB_CONFIG": str(path)}
        again = partial(read_configuration, environment)
        service = Service(
            read_configuration(environment), again, new_door or DOOR, build_extensions=build_extensions
        )
        made = Fleet(service, caches, origin, port, targets, trio.CancelScope(), trio.Event(), path)
        nursery.start_soon(_run, made)
        await trio.testing.wait_all_tasks_blocked()
        yield made
        nursery.cancel_scope.cancel()


async def _serve(handler, task_status) -> None:
    await trio.serve_tcp(handler, 0, host="127.0.0.1", task_status=task_status)


async def _run(made: Fleet) -> None:
    with made.scope:
        await made.service.run()
    made.ended.set()


__all__ = [
    "FAILURES",
    "MARKED",
    "ONCE",
    "ORIGIN",
    "PLAIN",
    "READ",
    "SETTINGS",
    "Decision",
    "Bench",
    "Cache",
    "Outcome",
    "EndpointState",
    "Tenant",
    "Action",
    "Web",
    "fleet",
    "free_port",
    "origin_row",
    "row",
]
