"""A router's handover to its next process, and servers that drain, end and restart, on real sockets."""

from __future__ import annotations

import json
import os
import signal
import socket
import struct
import threading
import time
from contextlib import asynccontextmanager, suppress
from functools import partial

import pytest
import trio

from gaugehinge.hosted.feed_snapshot import FeedSnapshot
from gaugehinge.net import connection_pool as pool_module
from gaugehinge.net import startup
from gaugehinge.net.configuration import read_configuration
from gaugehinge.net.lifecycle import Phase
from gaugehinge.net.resp import Parser, bulk
from gaugehinge.net.service import Service
from gaugehinge.net.sockets import shut
from gaugehinge.routing.types import EndpointState
from gaugehinge.tenancy.feed import Feed, TenantRow
from tests.helper import SETTINGS, Bench, Cache, Client, Web, free_port, origin_row, row

LONG_ABANDON_TRAFFIC = [{**each, "abandonTimeUs": 1_500_000} for each in SETTINGS["trafficTypes"]]
# With these settings, a router that shuts down spends some time in each phase.
LONG_ABANDON_SETTINGS = {**SETTINGS, "trafficTypes": LONG_ABANDON_TRAFFIC}
PUSHED_SETTINGS = {**SETTINGS, "discovery": "pushed"}
DIRECT_WRITE_SETTINGS = {**SETTINGS, "domain": {"mode": "", "originKind": 1}}  # writes go to servers


async def wait_until(condition, wait: float = 15.0) -> None:
    """Poll until a condition holds for which there is no event."""
    with trio.fail_after(wait):
        while not condition():
            await trio.sleep(0.002)


class DiscoveryStub:
    """A discovery service that answers a call only when the test publishes a list."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.streams: list[trio.SocketStream] = []
        self.send, self.receive = trio.open_memory_channel(99)

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
                self.streams.append(stream)
                self.calls.append(head.decode().split(" ")[1])
                await stream.send_all(answer(await self.receive.receive()))
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def publish(self, rev: int, targets, whole: bool = True) -> None:
        self.send.send_nowait({"rev": rev, "all": whole, "targets": targets})


def answer(update) -> bytes:
    body = json.dumps(update).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class RouterProcess:
    """Stands for one router process: a service of its own within the test process."""

    def __init__(self, service: Service) -> None:
        self.service, self.scope, self.ended = service, trio.CancelScope(), trio.Event()
        self.error: Exception | None = None
        self.applied_revisions: list[int] = []  # revisions of the lists that it applied
        apply = service.on_endpoint_list

        def apply_and_record(update) -> None:
            apply(update)
            self.applied_revisions.append(update.rev)

        service.on_endpoint_list = apply_and_record

    async def run(self) -> None:
        try:
            with self.scope:
                await self.service.run()
        except OSError as bad:
            self.error = bad
        self.ended.set()

    async def client(self) -> Client:
        return Client(await trio.open_tcp_stream(*self.service.configuration.listen))

    def server(self, uid: str):
        """Return the decision core's state of a server, None if it is not in the list."""
        ident = next((p.ident for p in self.service.pool.endpoints.values() if p.uid == uid), None)
        return self.service.dispatcher.router.endpoints.get(ident)


class Environment:
    """The servers, the discovery service and the processes of one router."""

    def __init__(self, nursery, path, caches, origin) -> None:
        self.nursery, self.path, self.caches, self.origin = nursery, path, caches, origin
        self.discovery = DiscoveryStub()
        self.targets: list[dict] = []
        self.config: dict = {}

    async def start_server(self, handler, receive_buffer: int = 0) -> str:
        """Start a server and return its address. `receive_buffer`: its size in bytes; 0: the default."""
        listeners = await self.nursery.start(partial(trio.serve_tcp, handler, 0, host="127.0.0.1"))
        if receive_buffer:
            listeners[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

    def entry(self, number: int, **changes) -> dict:
        return {**self.targets[number], **changes}

    def list_with(self, number: int, **changes) -> list[dict]:
        """Return the whole list with one server changed."""
        return [self.entry(i, **changes) if i == number else each for i, each in enumerate(self.targets)]

    async def start(self, **changes) -> RouterProcess:
        config = {**self.config, **changes}
        path = self.path / "config.json"
        path.write_text(json.dumps({name: each for name, each in config.items() if each != "absent"}))
        reread = partial(read_configuration, {"LB_CONFIG": str(path)})
        made = RouterProcess(Service(reread(), reread))
        self.nursery.start_soon(made.run)
        await trio.testing.wait_all_tasks_blocked()
        return made

    def command_counts(self) -> list[int]:
        return [len(cache.commands) for cache in self.caches]


@asynccontextmanager
async def environment(tmp_path, caches=2, settings=SETTINGS):
    caches = [Cache() for _ in range(caches)] if isinstance(caches, int) else caches
    origin = Web(lambda method, target, headers, body: (200, "", b"fetched"))
    async with trio.open_nursery() as nursery:
        made = Environment(nursery, tmp_path, caches, origin)
        for i, each in enumerate([*caches, origin]):
            kind = "origin" if each is origin else "std"
            made.targets.append(
                {
                    "uid": f"s-{i}",
                    "endpoint": await made.start_server(each.serve, getattr(each, "receive_buffer", 0)),
                    "az": "a",
                    "model": kind,
                    "pod_group": 0,
                    "state": "ready",
                    "capacity_hint": 1.0,
                    "boot_ms": 1000,
                }
            )
        made.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": await made.start_server(made.discovery.serve),
            "seed": "0a",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": settings,
            "known": {"rev": 1, "all": True, "targets": made.targets},
        }
        yield made
        nursery.cancel_scope.cancel()


def run_scenario(scenario) -> None:
    async def main():
        with trio.fail_after(60):
            await scenario()

    trio.run(main)


async def reads(client: Client, count: int = 30, first: int = 0) -> list[bytes]:
    return [await client.get(f"k{first + n}") for n in range(count)]


def answered(replies) -> bool:
    return all(reply.startswith((b"$", b"-BUSY")) for reply in replies)


# -- the old process and the new one


async def shutting_down_router(made: Environment, **changes) -> tuple[RouterProcess, Client]:
    """Return a process after SIGTERM, its listener closed, and the client of its request in flight."""
    made.caches[0].mode = made.caches[1].mode = "stall"
    old = await made.start(**changes)
    client = await old.client()
    await client.send("KV.GET", "held", "held-1", "c=read,t=acme,d=30000")
    await wait_until(lambda: sum(made.command_counts()) == 1)
    made.caches[0].mode = made.caches[1].mode = "hit"
    signal.raise_signal(signal.SIGTERM)
    await wait_until(
        lambda: old.service.lifecycle.phase is Phase.CLOSING and old.service.listening.fileno() < 0
    )
    assert not old.ended.is_set()
    return old, client


def test_the_new_process_serves_at_the_port_whose_listener_the_old_one_shut(tmp_path):
    async def scenario():
        async with environment(tmp_path, settings=LONG_ABANDON_SETTINGS) as made:
            old, client = await shutting_down_router(made)
            new = await made.start()
            assert new.error is None and new.service.lifecycle.phase is Phase.READY
            other = await new.client()
            # The id in flight at the old process is free here; the old process's counts are not known here.
            assert (await other.get("k0", ident="held-1")).startswith(b"$")
            assert not old.ended.is_set() and len(old.service.dispatcher.pending_operations) == 1
            assert (await client.answer()).startswith((b"$", b"-"))  # one final answer from the old process
            assert await client.answer() is None
            await old.ended.wait()
            assert (await other.get("k1")).startswith(b"$") and new.service.dispatcher.router.endpoints

    run_scenario(scenario)


def test_the_new_process_starts_with_the_peer_address_that_the_old_one_still_holds(tmp_path):
    async def scenario():
        async with environment(tmp_path, settings=LONG_ABANDON_SETTINGS) as made:
            own, peer = (f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(2))
            told = {"peer_listen": own, "peers": [own, peer]}
            old, client = await shutting_down_router(made, **told)
            new = await made.start(**told)
            try:
                assert new.error is None, new.error
                assert (await (await new.client()).get("k0")).startswith(b"$")
            finally:
                await client.answer()
                await old.ended.wait()
                shut(old.service.gossip.sock)

    run_scenario(scenario)


def test_the_new_process_accepts_gossip_from_configured_peers_only(tmp_path):
    """A gossip message holds the whole table of this deployment's tenants, or is ignored."""

    async def scenario():
        async with environment(tmp_path) as made:
            with (
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer,
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
            ):
                for each in (peer, stranger):
                    each.bind(("127.0.0.1", 0))
                own = f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
                told = {"peer_listen": own, "peers": [own, f"127.0.0.1:{peer.getsockname()[1]}"]}
                old = await made.start(**told)
                where = old.service.configuration.peer_listen
                # This message is unread in the old process's socket when it ends, and is lost.
                old.scope.cancel()
                stamp = old.service.gossip.stamp
                peer.sendto(stamp + struct.pack("<f", 77.0), where)
                await old.ended.wait()
                shut(old.service.gossip.sock)  # as the exit of its process would
                shut(old.service.listening)
                new = await made.start(**told)
                assert new.error is None, new.error
                router = new.service.dispatcher.router
                assert not router.gossip.peers
                bad = [
                    b"",
                    b"x",
                    b"x" * 300,
                    struct.pack("<ff", 3.0, 4.0),
                    struct.pack("<f", -1.0),
                    struct.pack("<f", float("nan")),
                    struct.pack("<f", float("inf")),
                ]
                for payload in bad:
                    peer.sendto(stamp + payload, where)
                stranger.sendto(stamp + struct.pack("<f", 5.0), where)
                peer.sendto(stamp + struct.pack("<f", 9.0), where)  # arrives after the others
                await wait_until(lambda: router.gossip.peers)
                assert {number: rates for number, (_, rates) in router.gossip.peers.items()} == {1: (9.0,)}
                assert (await (await new.client()).get("k0")).startswith(b"$")

    run_scenario(scenario)


def test_gossip_of_a_peer_with_another_tenant_order_is_ignored(tmp_path):
    """The order of the tenants differs, their number does not: no rate may count for the other tenant."""

    def of(names) -> dict:
        parties = [{"name": name, "share": 0.5, "allowancePerS": 50.0} for name in names]
        return {**SETTINGS, "parties": parties}

    async def scenario():
        async with environment(tmp_path) as made:
            first, second = (f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(2))
            peers = [first, second]
            new = await made.start(peer_listen=first, peers=peers, settings=of(["acme", "bolt"]))
            behind = await made.start(
                peer_listen=second,
                peers=peers,
                listen=f"127.0.0.1:{free_port()}",
                settings={**of(["bolt", "acme"]), "me": 1},
            )
            client, dispatcher = await behind.client(), behind.service.dispatcher
            told, heard, publish = [], [], dispatcher.send_gossip

            def noted(numbers, payload) -> None:
                publish(numbers, payload)
                told.append(payload)

            dispatcher.send_gossip = noted
            while len(told) < 3:
                await client.get(f"k{len(told)}", labels="c=read,t=acme,d=900")
                heard += [rates for _, rates in new.service.dispatcher.router.gossip.peers.values()]
            used = dispatcher.router.quotas.usage
            assert used[0] == 0.0 and used[1] > 1.0  # no operation of tenant bolt arrived
            assert not any(rates[1] for rates in heard), heard[-1]  # and bolt is the second tenant here

    run_scenario(scenario)


def test_two_processes_that_write_one_snapshot_file_leave_it_whole(tmp_path, monkeypatch):
    """The old and the new process of a hosted router write the same file at the same time."""
    old, new = (FeedSnapshot(str(tmp_path / "tenants.json")) for _ in range(2))
    rows = [TenantRow(f"t{n}", n + 1, n, "active", 1.0, 1.0) for n in range(200)]
    feeds = {"old": Feed("s", 5, True, rows, []), "new": Feed("s", 6, True, rows[:100], [])}
    opened, written = {name: threading.Event() for name in feeds}, threading.Event()
    real_open, real_fsync, errors = os.open, os.fsync, []

    def open_(*given) -> int:
        number, name = real_open(*given), threading.current_thread().name
        if name in opened:
            opened[name].set()
            (opened["new"] if name == "old" else written).wait(10)
        return number

    def fsync(number: int) -> None:
        real_fsync(number)
        if threading.current_thread().name == "old":
            written.set()

    def save(snapshot: FeedSnapshot, feed: Feed) -> None:
        try:
            snapshot.save(feed)
        except OSError as bad:  # the router logs it and continues
            errors.append(bad)

    monkeypatch.setattr(os, "open", open_)
    monkeypatch.setattr(os, "fsync", fsync)
    pairs = (("old", old), ("new", new))
    threads = [threading.Thread(target=save, name=name, args=(each, feeds[name])) for name, each in pairs]
    threads[0].start()
    assert opened["old"].wait(10)
    threads[1].start()
    for thread in threads:
        thread.join(20)
    monkeypatch.undo()
    assert new.load() in feeds.values()


# -- the cached list


@pytest.mark.parametrize("state", ["draining", "gone", "anew"])
def test_the_cached_list_is_used_only_until_the_first_list_of_discovery(tmp_path, state):
    async def scenario():
        async with environment(tmp_path) as made:
            new = await made.start()
            assert new.service.lifecycle.phase is Phase.READY and made.discovery.calls == [
                "/discovery/hosts?index=1&wait=500"
            ]
            client = await new.client()
            assert answered(await reads(client)) and all(
                made.command_counts()
            )  # both servers, by the cached list
            changes = {"boot_ms": time.time() * 1000} if state == "anew" else {"state": state}
            made.discovery.publish(2, [made.entry(0, **changes)], whole=False)
            await wait_until(lambda: new.applied_revisions == [2])
            before = made.command_counts()
            assert answered(await reads(client, first=100))
            after = made.command_counts()
            assert after[1] > before[1]
            if state == "anew":
                assert new.server("s-0").warm_up_share < 0.01  # cold,
                assert after[0] - before[0] <= 1  # and gets attempts within its warm-up budget only
                fresh = after[0] - before[0]
                await wait_until(lambda: made.caches[0].ended == made.caches[0].connections - fresh)
            else:
                assert after[0] == before[0]

    run_scenario(scenario)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_servers_draining_or_gone_in_the_cached_list_get_no_attempts(tmp_path, state):
    async def scenario():
        async with environment(tmp_path) as made:
            known = {"rev": 7, "all": True, "targets": made.list_with(0, state=state)}
            new = await made.start(known=known)
            assert answered(await reads(await new.client()))
            assert made.command_counts()[0] == 0 and made.command_counts()[1] > 0
            # Once discovery lists it as ready, it is used.
            made.discovery.publish(8, made.targets)
            await wait_until(lambda: new.applied_revisions == [8])
            assert answered(await reads(await new.client(), first=100)) and made.command_counts()[0] > 0

    run_scenario(scenario)


def test_a_server_just_started_in_the_cached_list_is_cold(tmp_path):
    async def scenario():
        async with environment(tmp_path) as made:
            targets = made.list_with(0, boot_ms=time.time() * 1000)
            new = await made.start(known={"rev": 7, "all": True, "targets": targets})
            assert answered(await reads(await new.client()))
            assert made.command_counts()[0] <= 1 and new.server("s-0").warm_up_share < 0.01

    run_scenario(scenario)


CACHED_LISTS = {
    "absent": "absent",
    "null": None,
    "text": "x",
    "row": [],
    "nought": 0,
    "false": False,
    "bare": {},
    "no targets": {"rev": 3, "all": True},
    "rev that is no number": {"rev": "x", "all": True, "targets": []},
    "entry with no endpoint": {"rev": 3, "all": True, "targets": [{"uid": "s-0", "state": "ready"}]},
    "entry with a name": {"rev": 3, "all": True, "targets": [{"uid": "s-0", "endpoint": "host:1"}]},
    "entry with no uid": {"rev": 3, "all": True, "targets": [{"endpoint": "127.0.0.1:1"}]},
    "boot_ms below nought": {
        "rev": 3,
        "all": True,
        "targets": [{"uid": "s-0", "endpoint": "127.0.0.1:1", "boot_ms": -5}],
    },
    "empty": {"rev": 3, "all": True, "targets": []},
}


@pytest.mark.parametrize("known", CACHED_LISTS)
def test_without_a_valid_cached_list_the_router_waits_for_the_first_list(tmp_path, known):
    async def scenario():
        async with environment(tmp_path) as made:
            new = await made.start(known=CACHED_LISTS[known])
            assert new.error is None and new.service.lifecycle.phase is Phase.STARTING
            client = await new.client()
            assert await client.ask("PING") == b"-ERR starting\r\n"
            assert (await client.get("k0")).startswith(b"-BUSY") and sum(made.command_counts()) == 0
            # An unreadable list is no base for incremental changes: the whole list is requested.
            asked = "/discovery/hosts" + ("?index=3&wait=500" if known == "empty" else "")
            assert made.discovery.calls == [asked]
            made.discovery.publish(4, made.targets)
            await wait_until(lambda: new.applied_revisions == [4])
            assert await client.ask("PING") == b"+PONG\r\n"
            assert (await client.get("k0")).startswith(b"$") and sum(made.command_counts()) == 1

    run_scenario(scenario)


def test_with_pushed_lists_the_cached_list_does_not_replace_the_agents_list(tmp_path, monkeypatch):
    monkeypatch.setattr(startup, "STARTUP_TIMEOUT", 0.2)

    async def scenario():
        async with environment(tmp_path, settings=PUSHED_SETTINGS) as made:
            new = await made.start()
            client = await new.client()
            assert made.discovery.calls == ["/discovery/hosts"]
            assert new.service.lifecycle.phase is Phase.STARTING
            assert (await client.get("k0")).startswith(b"-BUSY") and sum(made.command_counts()) == 0
            made.discovery.publish(5, made.list_with(0, state="draining"))
            await wait_until(lambda: new.applied_revisions == [5])
            due, passed = new.service.clock() + 0.2, trio.Event()
            new.service.timers.call_at(due, passed.set)
            await passed.wait()  # by now the cached list would have been used
            assert (
                answered(await reads(client))
                and made.command_counts()[0] == 0
                and made.command_counts()[1] > 0
            )

    run_scenario(scenario)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_with_pushed_lists_a_late_agents_list_replaces_the_cached_list(tmp_path, monkeypatch, state):
    monkeypatch.setattr(startup, "STARTUP_TIMEOUT", 0.1)

    async def scenario():
        async with environment(tmp_path, settings=PUSHED_SETTINGS) as made:
            new = await made.start()
            await wait_until(lambda: new.service.lifecycle.phase is Phase.READY)
            client = await new.client()
            assert answered(await reads(client)) and all(made.command_counts())
            made.discovery.publish(0, made.list_with(0, state=state))  # it starts its versions again from 0
            await wait_until(lambda: new.applied_revisions == [0])
            before = made.command_counts()
            assert answered(await reads(client, first=100))
            assert made.command_counts()[0] == before[0] and made.command_counts()[1] > before[1]

    run_scenario(scenario)


# -- a server that drains, ends, restarts or moves


async def change(made: Environment, new: RouterProcess, number: int, how: str, rev: int = 2) -> None:
    """Publish a change of one server and wait until the router has applied it."""
    changes = {
        "draining": {"state": "draining"},
        "gone": {"state": "gone"},
        "anew": {"boot_ms": time.time() * 1000},
        "moved": {"endpoint": made.targets[1 - number]["endpoint"]},
    }[how]
    made.discovery.publish(rev, [made.entry(number, **changes)], whole=False)
    await wait_until(lambda: rev in new.applied_revisions)


async def key_served_by(made: Environment, client: Client, number: int) -> str:
    """Find a key that the given server serves."""
    for n in range(200):
        before = made.command_counts()[number]
        assert (await client.get(f"home{n}")).startswith(b"$")
        if made.command_counts()[number] > before:
            return f"home{n}"
    raise AssertionError("no key of that server")


@pytest.mark.parametrize("how", ["draining", "gone", "anew", "moved"])
def test_nothing_is_sent_on_a_connection_established_after_the_change(tmp_path, monkeypatch, how):
    held, released, connected = [], trio.Event(), pool_module.connect

    async def slow(raw, address) -> None:
        await connected(raw, address)
        if held and address[1] == held[0]:
            held.append(raw)
            await released.wait()

    monkeypatch.setattr(pool_module, "connect", slow)

    async def scenario():
        async with environment(tmp_path) as made:
            new = await made.start()
            client = await new.client()
            key = await key_served_by(made, client, 0)
            server_pool = next(p for p in new.service.pool.endpoints.values() if p.uid == "s-0")
            while server_pool.idle:  # the next attempt needs a connection of its own
                new.service.pool._close(server_pool.idle.pop())
            held.append(server_pool.address[1])
            before = made.command_counts()
            await client.send("KV.GET", key, "slow-1", "c=read,t=acme,d=4000")
            await wait_until(lambda: len(held) == 2)
            await change(made, new, 0, how)
            held[0] = -1  # further connections are not delayed
            released.set()
            reply = await client.answer()
            assert reply.startswith((b"$", b"-BUSY")), reply
            assert made.command_counts()[0] == before[0], made.caches[0].commands[before[0] :]
            assert await client.ask("PING") == b"+PONG\r\n"  # one final answer

    run_scenario(scenario)


class SlowReader:
    """A server that reads only once released, over connections with a small receive buffer."""

    receive_buffer = 2048

    def __init__(self) -> None:
        self.released, self.commands, self.bytes, self.connections = trio.Event(), [], 0, 0

    async def serve(self, stream) -> None:
        self.connections += 1
        parser = Parser(1 << 20)
        try:
            await self.released.wait()
            while data := await stream.receive_some():
                self.bytes += len(data)
                parser.feed(data)
                while (message := parser.next()) is not None:
                    command = [part.body for part in message.top.body]
                    if command[0] == b"SELECT":
                        await stream.send_all(b"+OK\r\n")
                        continue
                    self.commands.append(command)
                    await stream.send_all(b"*3\r\n" + bulk(b"done") + b"$3\r\nhit\r\n$-1\r\n")
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return


@pytest.mark.parametrize("how", ["draining", "gone", "anew"])
@pytest.mark.parametrize("kind", ["once", "read"])
def test_a_partly_written_attempt_gets_one_answer_and_at_most_one_effect(tmp_path, monkeypatch, how, kind):
    made_tcp = pool_module.tcp

    def narrow(address) -> socket.socket:
        raw = made_tcp(address)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        return raw

    monkeypatch.setattr(pool_module, "tcp", narrow)

    async def scenario():
        slow = SlowReader()
        async with environment(tmp_path, [slow], settings=DIRECT_WRITE_SETTINGS) as made:
            new = await made.start()
            client, pool = await new.client(), new.service.pool
            await client.send("KV.SET", "k", "big-1", f"c={kind},t=acme,d=4000", b"v" * 60_000)
            await wait_until(
                lambda: any(
                    each.connection is not None and not each.connection.request_sent
                    for each in pool.pending.values()
                )
            )
            await wait_until(lambda: slow.connections == 1)
            [pending] = pool.pending.values()
            connection_in_use = pending.connection
            # A part is written: the rest waits until the socket is writable.
            await trio.testing.wait_all_tasks_blocked()
            assert connection_in_use.request_sent is False and pending in pool.pending.values()
            await change(made, new, 0, how)
            slow.released.set()
            reply = await client.answer()
            assert reply.startswith((b"$", b"-")), reply
            assert await client.ask("PING") == b"+PONG\r\n"  # one final answer
            whole = [command for command in slow.commands if command[1] == b"k"]
            assert len(whole) <= 1
            if reply.startswith(b"$"):
                assert len(whole) == 1
            if reply.startswith(b"-BUSY"):
                assert not whole  # rejected: a client may retry
            # Nothing more is sent to that process, on this connection or a new one.
            count = len(slow.commands)
            again = await client.ask("KV.SET", "k2", "small-1", f"c={kind},t=acme,d=900", b"v")
            if how != "anew":
                assert len(slow.commands) == count and again.startswith(b"-BUSY")
            else:
                assert (
                    all(connection_in_use not in server_pool.idle for server_pool in pool.endpoints.values())
                    and connection_in_use.closed
                )

    run_scenario(scenario)


@pytest.mark.parametrize("how", ["draining", "gone", "anew", "moved"])
def test_idle_connections_to_a_servers_former_process_are_not_used(tmp_path, how):
    async def scenario():
        async with environment(tmp_path) as made:
            new = await made.start()
            client = await new.client()
            key = await key_served_by(made, client, 0)
            server_pool = next(p for p in new.service.pool.endpoints.values() if p.uid == "s-0")
            idle = list(server_pool.idle)
            assert idle
            before, opened = made.command_counts(), made.caches[0].connections
            await change(made, new, 0, how)
            assert (await client.get(key)).startswith((b"$", b"-BUSY"))
            if how == "draining":
                assert made.command_counts()[0] == before[0]
                return
            assert all(connection_in_use.closed for connection_in_use in idle)
            await wait_until(lambda: made.caches[0].ended >= len(idle))
            if how == "anew":
                assert made.command_counts()[0] - before[0] <= 1 and new.server("s-0").warm_up_share < 0.01
                assert made.caches[0].connections - opened == made.command_counts()[0] - before[0]
            else:
                assert made.command_counts()[0] == before[0]

    run_scenario(scenario)


# -- an older list after a newer one


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("state", ["draining", "gone"])
def test_an_older_list_of_discovery_does_not_replace_a_newer_one(tmp_path, whole, state):
    async def scenario():
        async with environment(tmp_path) as made:
            new = await made.start()
            made.discovery.publish(9, made.list_with(0, state=state))
            await wait_until(lambda: new.applied_revisions == [9])
            # From the same discovery service, by a replica that lags behind.
            made.discovery.publish(5, made.targets if whole else [made.targets[0]], whole)
            await wait_until(
                lambda: len(made.discovery.calls) == 3
            )  # the list has been read, since the next call was made
            assert answered(await reads(await new.client()))
            assert made.command_counts()[0] == 0 and made.command_counts()[1] > 0, made.command_counts()

    run_scenario(scenario)


@pytest.mark.parametrize("when", ["before", "with", "behind"])
def test_a_list_of_the_former_discovery_does_not_replace_that_of_the_new_one(tmp_path, when):
    """The old watch is answered before the reload, in the same scheduler step, or after the new list."""

    async def scenario():
        async with environment(tmp_path) as made:
            new = await made.start()
            await wait_until(lambda: len(made.discovery.calls) == 1)
            old, made.discovery = made.discovery, DiscoveryStub()
            where = await made.start_server(made.discovery.serve)
            path = made.path / "config.json"
            path.write_text(json.dumps({**made.config, "discovery": where}))
            late = answer({"rev": 99, "all": True, "targets": made.targets})
            if when == "before":
                old.publish(99, made.targets)
                await wait_until(lambda: new.applied_revisions == [99])
            if when == "with":
                old.streams[0].socket._sock.send(late)  # sent but unread when the reload happens
                new.service.reload()
            else:
                signal.raise_signal(signal.SIGHUP)
            await wait_until(lambda: len(made.discovery.calls) == 1)
            made.discovery.publish(3, made.list_with(0, state="draining"))
            await wait_until(lambda: new.applied_revisions[-1:] == [3])
            if when == "behind":
                with suppress(trio.BrokenResourceError):
                    await old.streams[0].send_all(late)
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert new.applied_revisions == ([99, 3] if when == "before" else [3])
            assert answered(await reads(await new.client()))
            assert made.command_counts()[0] == 0 and made.command_counts()[1] > 0

    run_scenario(scenario)


def test_an_entry_of_a_servers_former_process_does_not_undo_the_drain_of_the_new_one(tmp_path):
    async def scenario():
        async with environment(tmp_path) as made:
            new = await made.start()
            made.discovery.publish(2, [made.entry(0, boot_ms=5000, state="draining")], whole=False)
            await wait_until(lambda: new.applied_revisions == [2])
            made.discovery.publish(3, [made.entry(0, boot_ms=4000)], whole=False)
            await wait_until(lambda: new.applied_revisions == [2, 3])
            assert answered(await reads(await new.client()))
            assert made.command_counts()[0] == 0 and made.command_counts()[1] > 0, made.command_counts()

    run_scenario(scenario)


def test_an_entry_of_a_servers_former_process_does_not_restore_its_endpoint(tmp_path):
    async def scenario():
        async with environment(tmp_path, 3) as made:
            there = made.targets[2]["endpoint"]
            targets = made.targets[:2] + made.targets[3:]
            new = await made.start(known={"rev": 1, "all": True, "targets": targets})
            made.discovery.publish(2, [made.entry(0, boot_ms=5000, endpoint=there)], whole=False)
            await wait_until(lambda: new.applied_revisions == [2])
            assert (
                answered(await reads(await new.client()))
                and made.command_counts()[0] == 0
                and made.command_counts()[2] > 0
            )
            made.discovery.publish(3, [made.entry(0, boot_ms=4000)], whole=False)
            await wait_until(lambda: new.applied_revisions == [2, 3])
            assert answered(await reads(await new.client(), first=100))
            assert made.command_counts()[0] == 0, made.command_counts()

    run_scenario(scenario)


def test_an_entry_of_a_servers_former_process_leaves_the_new_one_cold():
    bench = Bench(caches=3)
    bench.hear([row(1, started=99.0)], whole=False)
    assert bench.router.endpoints[1].warm_up_share < 0.01
    bench.hear([row(1, started=50.0)], whole=False)
    assert bench.router.endpoints[1].started == 99.0 and bench.router.endpoints[1].warm_up_share < 0.01


@pytest.mark.parametrize("between", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_server_that_restarts_after_a_drain_is_cold(between):
    bench = Bench(caches=3)
    for _ in range(30):
        bench.settle()
    bench.hear([row(1, between, started=10.0)], whole=False)
    bench.hear([row(i, started=99.9 if i == 1 else 0.0) for i in range(1, 4)] + [origin_row()])
    cache = bench.router.endpoints[1]
    assert cache.state is EndpointState.UP and cache.warm_up_share < 0.01 and cache.warm_up_budget <= 1.0
    assert cache.latency.count == 0.0 and cache.completion_rate.value == 0.0 and cache.failure_score == 0.0
