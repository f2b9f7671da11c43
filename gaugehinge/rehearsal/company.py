"""A play of many processes: one keeper, routers, servers, discovery and origin as processes of their own,
with links between them that can be broken and histories that are checked afterwards.

    async with company(folder, seed=7, plan=Plan(routers=5, servers=6, zones=("a", "b", "c"))) as all_:
        await all_.ready()
        all_.load(rate=80.0, lasts=6.0)             # clients, in the background, recorded
        all_.link("router-0", "keeper", Fault(State.SILENT))
        all_.kill("router-1"); all_.start("router-1", files="older")
        all_.stop("router-2"); all_.go_on("router-2")
        all_.power_loss(); await all_.power_back(gaps=1.0)
        await all_.load_over()
    assert not check(list(read_history(folder)), all_.bounds())

docs/company.md is the guide.
"""

from __future__ import annotations

import json
import os
import random
import resource
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx
import msgspec
import tomli_w
import trio
from loguru import logger

from ..admin.control_plane import ControlPlane
from ..admin.types import NewTenant
from ..drains.high_water_mark import HighWaterMarkFile
from ..emulator.link import Fault, Links, State
from ..emulator.party import KEEP_IDLE, DirectoryPart, Listed, OriginPart, Part, ServerPart
from ..histories.checks import Bounds
from ..histories.events import Change, Link, Process, Recorder, Stall
from ..net.resp import bulk
from ..net.sockets import connect, receive, send_all, shut, tcp
from ..store.async_store import AsyncStore
from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import SecretHasher
from ..tenancy.lifecycle import TenantAction
from .crowd import Crowd, Shape
from .ground import Child, Ground

CHEAP = SecretHasher(time_cost=1, memory_kib=64)  # of the secrets here: a hash says itself how it is checked
MEMORY = 9.0  # seconds for which marks are remembered
WAIT = 2.0  # longest wait of a client, seconds
BEAT = 0.05  # seconds between two looks at whether the play's own loop stands
STALL = 0.1  # seconds that it stood beyond that are on record
LOOK = 0.02  # seconds between two looks whether a process serves
TRY_TIME = 2.0  # seconds of one of them
NOTICE = 0.5  # seconds until discovery knows that a server has ended
LATENESS = 0.05  # seconds until its list tells what it knows
OLD_LIST = 2.0  # seconds for which a discovery that is back with older files tells these
READY_BY = 60.0  # seconds in which a process starts, on a machine with whatever load
ROOT_TOLD = "operator root, shown this once: "
TENANTS_MOST = 64
ORIGIN_PART = 10.0  # the origin's work beside a server's
REV_STEP = 1000  # between the versions of two starts of a discovery that lost its file
ALL_TYPES = {"promised_time": "0.5s", "abandon_time": f"{WAIT}s", "late_payoff": 0.2}
TRAFFIC = (
    {"name": "read", "effect": "idempotent"},
    {"name": "put", "effect": "idempotent"},
    {"name": "move", "effect": "deduplicated", "memory": f"{MEMORY}s"},
    {"name": "book", "effect": "unrepeatable"},
)


@dataclass(slots=True, frozen=True)
class Plan:
    """What plays."""

    routers: int = 5
    servers: int = 6
    zones: tuple[str, ...] = ("a", "b", "c")  # servers and routers stand in them in turn
    tenants: tuple[str, ...] = ("acme", "bolt")
    asks_origin: bool = True  # servers only store, misses and writes go to the origin
    work: float = 0.002  # seconds of a hit at a server; the origin takes ten times as long
    origin_bears: int = 0  # connections that the origin bears; 0: not limited
    server_bears: int = 0  # that each server bears from all routers
    warm_up: float = 2.0  # seconds for which a server that has just started counts as cold
    keep_idle: float = KEEP_IDLE  # seconds after which servers and origin close a connection that is idle
    falls: bool = False  # a cold server that is pushed past 2.5 times what it can do falls over
    lease: float = 1.5  # seconds that the keeper gives routers
    allowance: float = 1000.0  # operations a second of each tenant that are inside its share
    wall_off: tuple[tuple[str, float], ...] = ()  # seconds by which a party's wall clock is off
    keep: dict[str, Any] = field(default_factory=dict)  # further tables of the keeper's file, as in TOML
    serve: dict[str, Any] = field(default_factory=dict)  # further tables of each router's file; in texts of
    # both `{name}` is the party, `{files}` the folder of its own files, `{number}` a router's number
    serve_of: dict[int, dict[str, Any]] = field(default_factory=dict)  # further ones of single routers' files


class Recorded(httpx.AsyncHTTPTransport):
    """Calls of the API, each on record before it is sent and after its answer."""

    def __init__(self, recorder: Recorder) -> None:
        super().__init__()
        self.recorder = recorder
        self.calls = 0

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """One call. What breaks off may have been made: status 0."""
        self.calls += 1
        put, now, party = self.recorder.put, self.recorder.now, self.recorder.party
        what = (f"{party}-{self.calls}", request.method, request.url.raw_path.decode())
        body, told = request.content.decode(), request.headers.get("if-match", "")
        key = request.headers.get("idempotency-key", "")
        put(Change(now(), party, *what, body, told, key=key))
        status, answer, revision = 0, "", 0
        try:
            response = await super().handle_async_request(request)
            await response.aread()
            status, answer = response.status_code, response.text
            tag = response.headers.get("etag", "").strip('"')
            revision = int(tag) if tag.isdigit() else 0
            return response
        finally:
            put(Change(now(), party, *what, body, told, status, answer, revision, key))


class Company:
    """All that plays. Names: `keeper`, `discovery`, `origin`, `router-N`, `server-N`. Links lead from
    `clients` to each router, from each router to keeper, discovery, origin, servers and other routers, and
    from `operators` to the keeper."""

    def __init__(self, folder: Path, seed: int, plan: Plan, nursery: trio.Nursery, ground: Ground) -> None:
        self.folder, self.seed, self.plan = folder, seed, plan
        self.nursery, self.ground = nursery, ground
        self.draw = random.Random(f"{seed} company")
        self.recorder = Recorder(folder, "play")
        self.recorders: list[Recorder] = [self.recorder]
        self.links = Links(nursery, seed, self._link_changed)
        self.secrets: dict[str, str] = {}  # by tenant
        self.root = ""  # the first operator's secret
        self.children: dict[str, Child] = {}
        self.listed: dict[str, Listed] = {}  # what is true of servers and origin
        self.drains: dict[str, set[str]] = {}  # servers that each router was told to be draining
        self.dark: set[str] = set()  # killed with their machines, and not back
        self.desks = 0
        self.crowd = Crowd(
            nursery,
            seed,
            [ground.door(number) for number in range(plan.routers)],
            self.secrets,
            self.record_of,
            ground.at(211, 1),
        )

    def record_of(self, party: str) -> Recorder:
        """A further party's history; closed with the play."""
        recorder = Recorder(self.folder, party)
        self.recorders.append(recorder)
        return recorder

    # -- all of it made

    async def begin(self) -> None:
        """Files, links, then every process at once."""
        (self.folder / "files").mkdir(parents=True, exist_ok=True)
        self._children()
        self._links()
        await self._store()
        self._write_files()
        for name in self.children:
            self._start(name, "none" if not self.children[name].files.exists() else "same")

    def _children(self) -> None:
        plan, zones = self.plan, self.plan.zones
        offs = dict(plan.wall_off)

        def add(name: str, zone: str, words: list[str], speaks: bool) -> None:
            self.children[name] = Child(name, zone, words, self.folder, speaks, wall_off=offs.get(name, 0.0))

        def played(name: str, zone: str = "") -> None:
            add(name, zone, ["gaugehinge.emulator.party", str(self.folder / f"{name}.json")], True)

        def shipped(name: str, command: str, zone: str = "") -> None:
            add(name, zone, ["gaugehinge.cli", command, str(self.folder / f"{name}.toml")], False)

        shipped("keeper", "control-plane")
        played("discovery")
        played("origin")
        for number in range(plan.servers):
            played(f"server-{number}", zones[number % len(zones)])
        for number in range(plan.routers):
            shipped(f"router-{number}", "serve", zones[number % len(zones)])

    def _links(self) -> None:
        plan, ground, tcp_link = self.plan, self.ground, self.links.tcp
        for number in range(plan.routers):
            router, source = f"router-{number}", ground.at(number + 1, 1)
            tcp_link("clients", router, ground.door(number), ground.router(number), ground.at(211, 1))
            tcp_link(router, "keeper", ground.seen(number, 1, 7400), ground.keeper(), source)
            tcp_link(router, "discovery", ground.seen(number, 2, 7300), ground.discovery(number), source)
            tcp_link(router, "origin", ground.seen(number, 3, 8000), ground.origin(), source)
            for server in range(plan.servers):
                at = ground.seen(number, 10 + server, 6379)
                tcp_link(router, f"server-{server}", at, ground.server(server), source)
            for other in range(number):
                self.links.udp(
                    f"router-{other}",
                    router,
                    ground.seen(other, 120 + number, 7946),
                    ground.seen(number, 120 + other, 7946),
                    ground.router_peers(other),
                    ground.router_peers(number),
                )
        tcp_link("operators", "keeper", ground.desk(), ground.keeper(), ground.at(211, 1))

    async def _store(self) -> None:
        """Operators, tenants and secrets, made in the store before its keeper starts."""
        files = self.children["keeper"].files
        files.mkdir(parents=True, exist_ok=True)
        keeper = AsyncStore(files / "store.db")
        try:
            desk = ControlPlane(keeper, CHEAP, AttemptLimiter(1, keeper.clock()))
            await desk.prepare()
            self.root = await desk.operators.create_first() or self.root
            tier = await desk.operators.create("tier", "router", "", "play")
            (self.folder / "secret").write_text(tier.secret)
            for name in self.plan.tenants:
                new = NewTenant(name, allowance=self.plan.allowance, memory=MEMORY)
                made = await desk.tenants.create(new, "play")
                await desk.tenants.transition(name, TenantAction.ACTIVATE, made.revision, "play")
                self.secrets[name] = (await desk.tenants.add_credential(name, 0.0, "play")).secret
        finally:
            keeper.close()

    def _write_files(self) -> None:
        ground, plan = self.ground, self.plan
        keeper: dict[str, Any] = {
            "store": str(self.children["keeper"].files / "store.db"),
            "listen": _told(ground.keeper()),
            "leases": {"on": True, "time": f"{plan.lease}s"},
        }
        _write(self.children["keeper"], keeper, plan.keep, 0)
        for number in range(plan.routers):
            child = self.children[f"router-{number}"]
            _write(child, self._router_file(number, child), self._more(number), number)
        names = {ground.at(number + 1, 1): f"router-{number}" for number in range(plan.routers)}

        def common(name: str, address: tuple[str, int]) -> tuple[Any, ...]:
            return name, str(self.folder), str(self.children[name].files), *address, names

        for number in range(plan.servers):
            name = f"server-{number}"
            host = ground.at(0, 10 + number).replace(".0.", ".{router}.")
            zone = self.children[name].zone
            self.listed[name] = Listed(name, f"{host}:6379", zone, "std", 0 if plan.asks_origin else number)
            self._write_part(
                ServerPart(
                    *common(name, ground.server(number)),
                    zone,
                    plan.asks_origin,
                    plan.work,
                    plan.server_bears,
                    plan.warm_up,
                    MEMORY,
                    False,
                    plan.falls,
                    keep_idle=plan.keep_idle,
                )
            )
        host = ground.at(0, 3).replace(".0.", ".{router}.")
        if plan.asks_origin:
            self.listed["origin"] = Listed("origin", f"{host}:8000", "", "origin", 0)
        self._write_part(
            OriginPart(
                *common("origin", ground.origin()),
                plan.work * ORIGIN_PART,
                plan.origin_bears,
                MEMORY,
                [ground.server(number) for number in range(plan.servers)],
                keep_idle=plan.keep_idle,
            )
        )

    def _more(self, number: int) -> dict[str, Any]:
        return _merged(self.plan.serve, self.plan.serve_of.get(number, {}))

    def _write_part(self, part: Part) -> None:
        (self.folder / f"{part.name}.json").write_bytes(msgspec.json.encode(part))

    def _write_list(self, starts: int) -> None:
        """Discovery is told at its start what it would know with no file."""
        child, ground = self.children["discovery"], self.ground
        self._write_part(
            DirectoryPart(
                "discovery",
                str(self.folder),
                str(child.files),
                *ground.discovery(0),
                {},
                [ground.discovery(number) for number in range(self.plan.routers)],
                list(self.listed.values()) if starts == 0 else [],
                LATENESS,
                self.seed,
                1 + REV_STEP * starts,
            )
        )

    def _router_file(self, number: int, child: Child) -> dict[str, Any]:
        plan, ground = self.plan, self.ground
        peers = [
            ground.seen(number, 120 + other, 7946) if other != number else ground.router_peers(number)
            for other in range(plan.routers)
        ]
        group = "all" if plan.asks_origin else "cell"
        return {
            "name": child.name,
            "seed": 1 + self.seed * 1000 + number,
            "listen": {"clients": _told(ground.router(number))},
            "discovery": {"address": _told(ground.seen(number, 2, 7300))},
            "tier": {
                "me": number,
                "routers": plan.routers,
                "listen": _told(ground.router_peers(number)),
                "peers": [_told(peer) for peer in peers],
                "zone": child.zone,
            },
            "rules": {"asks_origin": plan.asks_origin, "cold_time": f"{max(plan.warm_up, 0.01)}s"},
            "follow": {
                "keeper": _told(ground.seen(number, 1, 7400)),
                "secret_file": str(self.folder / "secret"),
                "snapshot": str(child.files / "snapshot"),
                "most_tenants": TENANTS_MOST,
            },
            "traffic": [{**each, **ALL_TYPES, "group": group} for each in TRAFFIC],
        }

    async def beat(self) -> None:
        """Put on record when the machine has no time for this loop, on which clients and links run."""
        while True:
            began = self.recorder.now()
            await trio.sleep(BEAT)
            stood = self.recorder.now() - began - BEAT
            if stood > STALL:
                self.recorder.put(Stall(self.recorder.now(), "play", stood))

    # -- processes

    def _note(self, name: str, state: str, files: str = "", at: float = 0.0) -> None:
        self.recorder.put(Process(at or self.recorder.now(), "play", name, state, files))

    def _start(self, name: str, files: str) -> None:
        child = self.children[name]
        child.prepare(files)
        if name in self.dark:
            self._light(name)
        elif child.starts:
            self.links.let_go(name)
        if name == "discovery":
            self._write_list(child.starts)
        if name in self.listed and child.starts:
            self._cold_start(name)
        child.spawn()
        self._note(name, "started", files)
        self.nursery.start_soon(self._watch, child, os.pidfd_open(child.process.pid), child.starts)
        if child.speaks:  # the reader has a descriptor of its own: the process's is closed when it is reaped
            self.nursery.start_soon(self._hear, child, os.dup(child.process.stdout.fileno()))
        else:
            self.nursery.start_soon(self._rise, child, child.starts)

    def _light(self, name: str) -> None:
        """Its machine is there again, which knows nothing of the connections that it had."""
        self.dark.discard(name)
        # Healed alone, connections of the lost run stand until their relays come to run: a client that is
        # first writes an operation, to a router that is there, on a connection that it never had.
        self.links.forget(name)
        for one, other in self.links.all:
            if name in (one, other) and not {one, other} & self.dark:
                self.link(one, other, Fault())

    def _cold_start(self, name: str) -> None:
        path = self.folder / f"{name}.json"
        part = json.loads(path.read_bytes())
        if part["role"] == "server" and not part["starts_cold"]:
            path.write_text(json.dumps({**part, "starts_cold": True}))

    async def _watch(self, child: Child, number: int, start: int) -> None:
        """Until it has ended, whoever ended it."""
        await child.ended(number)
        if child.starts == start:
            self._ended(child)
        if child.name in self.listed:
            await trio.sleep(NOTICE)
            if not child.runs or not child.up.is_set():
                self._tell_list(child.name, state="gone")

    def _ended(self, child: Child) -> None:
        """It is gone; once for each start."""
        if not child.over.is_set():
            child.over.set()
            self._gone(child.name)
            self._note(child.name, "ended", str(child.process.poll()))

    def _gone(self, name: str) -> None:
        """Its machine refuses connections from here on."""
        self.links.reach(name, False)
        if name.startswith("router-"):
            self._tell_drains(name, set())

    async def _rise(self, child: Child, start: int) -> None:
        """A process that has started, until it serves."""
        serves = self._keeper_serves if child.name == "keeper" else self._router_serves
        with trio.move_on_after(READY_BY) as limit:
            while child.runs and child.starts == start:
                if not child.paused:
                    with trio.move_on_after(TRY_TIME):
                        if await serves(child):
                            break
                await trio.sleep(LOOK)
        if limit.cancelled_caught:
            told = self.log(child.name)[-500:]
            logger.warning("{} does not serve after {} s: {}", child.name, READY_BY, told)
        elif child.runs and child.starts == start:
            self._is_up(child)

    def _is_up(self, child: Child) -> None:
        if child.name == "keeper":  # on an empty store it made a new first operator
            told = [line for line in self.log("keeper").splitlines() if line.startswith(ROOT_TOLD)]
            self.root = told[-1].removeprefix(ROOT_TOLD) if told else self.root
        self.links.reach(child.name, True)
        self._note(child.name, "ready")
        child.up.set()

    async def _hear(self, child: Child, number: int) -> None:
        """What a played party says, until its end."""
        stream, buffer = trio.lowlevel.FdStream(number), b""
        async with stream:
            while data := await stream.receive_some():
                *lines, buffer = (buffer + data).split(b"\n")
                for line in lines:
                    self._said(child, json.loads(line))

    def _said(self, child: Child, told: dict[str, Any]) -> None:
        name = child.name
        if "up" in told and child.runs:
            again = child.starts > 1 or child.up.is_set()
            self._is_up(child)
            if name == "discovery" and child.starts > 1:
                self.nursery.start_soon(self._tell_truth, child, child.starts)
            elif name in self.listed and again:
                self._tell_list(name, state="ready", boot_ms=int(time.time() * 1000))
        elif "fell" in told:
            self.links.reach(name, False)
        elif "told" in told:
            router = f"router-{told['told']}"
            draining = set(told["draining"])
            if self.children[router].runs and not self.links.all[router, "discovery"].holds(False):
                self._tell_drains(router, draining)

    async def _keeper_serves(self, child: Child) -> bool:
        return (await self._http(self.ground.keeper(), "/healthz")) is not None

    async def _http(self, where: tuple[str, int], path: str) -> bytes | None:
        raw = tcp(where)
        try:
            await connect(raw, where)
            await send_all(raw, f"GET {path} HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n".encode())
            got = b""
            while data := await receive(raw):
                got += data
            return got if got.startswith(b"HTTP/1.1 200") else None
        except OSError:
            return None
        finally:
            shut(raw)

    async def _router_serves(self, child: Child) -> bool:
        """It answers PONG, and lets a tenant in. As soon as it listens, clients reach it."""
        where = self.ground.router(int(child.name.removeprefix("router-")))
        raw = tcp(where)
        try:
            await connect(raw, where)
            self.links.reach(child.name, True)
            while True:
                await send_all(raw, b"*1\r\n" + bulk(b"PING"))
                if (await receive(raw)).startswith(b"+PONG"):
                    break
                await trio.sleep(LOOK)
            if not self.secrets:
                return True
            words = ["AUTH", *next(iter(self.secrets.items()))]
            await send_all(raw, b"*3\r\n" + b"".join(bulk(word.encode()) for word in words))
            return (await receive(raw)).startswith(b"+OK")
        except OSError:
            return False
        finally:
            shut(raw)

    # -- the list

    def _tell_list(self, name: str, **figures: Any) -> None:
        """Something is so now; discovery is told."""
        for figure, value in figures.items():
            setattr(self.listed[name], figure, value)
        true = self.listed[name]
        self._order("discovery", uid=name, state=true.state, boot_ms=true.boot_ms, zone=true.zone)

    async def _tell_truth(self, child: Child, start: int) -> None:
        """A discovery that is back looks round; one with an old list takes its time."""
        if child.files.is_dir() and child.starts == start:
            await trio.sleep(self._list_pause)
        if child.starts == start:
            for name in self.listed:
                self._tell_list(name)

    _list_pause = 0.0

    def _order(self, name: str, **what: Any) -> None:
        self.children[name].tell(msgspec.json.encode(what))

    def _tell_drains(self, router: str, draining: set[str]) -> None:
        """What a router knows of drains, for the servers' records."""
        before, self.drains[router] = self.drains.get(router, set()), draining
        now = self.recorder.now()
        for name in draining - before:
            self._order(name, drained=[router], at=now)
        for name in before - draining:
            self._order(name, undrained=[router])

    # -- what plays do

    async def ready(self) -> None:
        """Until every process is up, routers follow the keeper and answer PING. Raises trio.TooSlowError,
        and RuntimeError where a process has ended."""
        await self.up(*self.children)
        with trio.fail_after(READY_BY):
            async with self.api() as desk:
                while True:
                    told = (await desk.get("/v1/routers")).json()
                    behind = {each["name"]: each["behind"] for each in told["routers"]}
                    if sum(each == 0 for each in behind.values()) >= self.plan.routers:
                        return
                    await trio.sleep(LOOK * 5)

    async def up(self, *names: str) -> None:
        """Until these are ready. Raises as `ready` does."""
        with trio.fail_after(READY_BY):
            for name in names:
                child = self.children[name]
                while not child.up.is_set():
                    if not child.runs:
                        raise RuntimeError(f"{name} has ended: {self.log(name)[-500:]}")
                    with trio.move_on_after(LOOK * 5):
                        await child.up.wait()

    def log(self, name: str) -> str:
        """What a party wrote to its log."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def api(self, secret: str = "", party: str = "") -> httpx.AsyncClient:
        """The keeper's API, as the first operator or as the bearer of a secret; every call is on record."""
        self.desks += 1
        recorder = self.record_of(party or f"operator-{self.desks}")

        def bears(request: httpx.Request) -> httpx.Request:
            request.headers["Authorization"] = f"Bearer {secret or self.root}"  # a new store has a new one
            return request

        return httpx.AsyncClient(
            base_url=f"http://{_told(self.ground.desk())}",
            transport=Recorded(recorder),
            auth=bears,
            timeout=httpx.Timeout(10.0, connect=2.0),
        )

    def load(self, rate: float, lasts: float, **shape: Any) -> None:
        """Clients that send so many operations a second in all, each at a router, until it is over. Clients
        of a router that is gone go to another one. Those that are bounced come back when told to. `shape`:
        fields of crowd.Shape."""
        self.crowd.load(rate, lasts, Shape(**shape))

    async def load_over(self) -> None:
        """Until all operations of the load have ended."""
        await self.crowd.quiet.wait()

    def link(self, one: str, other: str, fault: Fault) -> None:
        """Change a link; `Fault()` heals it. `*` in place of a name: all links of the other."""
        self.links.change(one, other, fault)

    def _link_changed(self, one: str, other: str, fault: Fault) -> None:
        self.recorder.put(Link(self.recorder.now(), "play", one, other, fault.state.value))

    def heal(self) -> None:
        """All links are up."""
        for (one, other), link in self.links.all.items():
            if link.fault != Fault():
                self.link(one, other, Fault())

    def kill(self, *names: str, silent: bool = False) -> None:
        """SIGKILL, all at one instant. `silent`: as if their machines were lost: nobody is told by a reset,
        connections stand open at the others until these start again."""
        at = self.recorder.now()
        running = [name for name in names if self.children[name].runs]
        for name in running if silent else ():
            self._forget(name)
            self.dark.add(name)
            self.link(name, "*", Fault(State.SILENT))
        for name in running:
            self.children[name].kill()
        for name in running:
            self._gone(name)
            self._note(name, "killed", at=at)

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        if self.children[name].runs:
            self.children[name].paused = True
            self._note(name, "stopped")
            self.children[name].signal(signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        """SIGCONT."""
        child = self.children[name]
        if child.runs and child.paused:
            child.paused = False
            child.signal(signal.SIGCONT)
            self._note(name, "continued")
            known = self.drains.get(name)
            if known:  # it reads only now what it was told
                self._tell_drains(name, set())
                self._tell_drains(name, known)

    def end(self, name: str) -> None:
        """SIGTERM."""
        if self.children[name].runs:
            self._note(name, "told_to_end")
            self.children[name].signal(signal.SIGTERM)

    async def over(self, *names: str) -> None:
        """Until these processes have ended."""
        for name in names:
            await self.children[name].over.wait()

    def start(self, name: str, files: str = "same", wall_off: float | None = None) -> None:
        """Start anew on its files: `same`, `older` (of `keep_copy`), `torn`, `empty`, `unwritable`, `none`;
        with a wall clock that is off by seconds, where told. One that runs is not started again."""
        child = self.children[name]
        if child.runs and not child.killed:
            return
        child.reap()
        if child.starts:
            self._ended(child)
        if wall_off is not None:
            child.wall_off = wall_off
        if name == "discovery":
            self._list_pause = OLD_LIST if files == "older" else 0.0
        self._start(name, files)

    def keep_copy(self, name: str) -> None:
        """Keep its files as they are now, for a later start with `older`."""
        self.children[name].keep_copy()

    def power_loss(self, zone: str = "", silent: bool = False) -> None:
        """Everything (of a zone) killed at one instant; marks and memories of servers are gone. `silent`: as
        in `kill`."""
        names = [name for name, child in self.children.items() if not zone or child.zone == zone]
        self.kill(*names, silent=silent)
        for name in names:
            child = self.children[name]
            child.reap()
            self._ended(child)
            self._forget(name)
            if (name in self.listed or name == "origin") and child.files.is_dir():
                child.forget("marks")

    def _forget(self, name: str) -> None:
        """What the keeper's machine has in memory goes with its power."""
        if name == "keeper" and name in self.children:  # where a platform starts routers none is there
            HighWaterMarkFile.for_store(self.children[name].files / "store.db").delete()

    async def power_back(self, gaps: float = 0.5, order: tuple[str, ...] = ()) -> None:
        """Everything that is down started in an order and with gaps of up to `gaps` s drawn by the seed."""
        names = [name for name, child in self.children.items() if not child.runs]
        self.draw.shuffle(names)
        waits = [self.draw.random() * gaps for _ in names]
        names.sort(key=lambda name: order.index(name) if name in order else len(order))
        for name, wait in zip(names, waits, strict=True):
            self.start(name)
            await trio.sleep(wait)

    def drain(self, name: str) -> None:
        """Discovery tells that a server takes nothing new."""
        self._tell_list(name, state="draining")

    def undrain(self, name: str) -> None:
        """It takes something again."""
        self._tell_list(name, state="ready")

    def relabel(self, name: str, zone: str, moves: bool = False) -> None:
        """Discovery tells another zone of a server. `moves`: where it starts next it stands there, too."""
        self._tell_list(name, zone=zone)
        if moves:
            path = self.folder / f"{name}.json"
            path.write_text(json.dumps({**json.loads(path.read_bytes()), "zone": zone}))

    def discovery(self, **fault: float) -> None:
        """For so many seconds it is `down` (503), `stale` or `empty`."""
        self._order("discovery", **fault)

    def bounds(self) -> Bounds:
        """What the checks allow in this play."""
        limits = {f"server-{number}": self.plan.server_bears for number in range(self.plan.servers)}
        limits["origin"] = self.plan.origin_bears
        return Bounds(limits={name: bears for name, bears in limits.items() if bears}, memory=MEMORY)

    def close(self) -> None:
        """All processes end; nothing is left of the company but its folder."""
        for child in self.children.values():
            child.kill()
        for child in self.children.values():
            with suppress(Exception):
                child.reap()
        self._forget("keeper")
        self.crowd.close()
        self.links.close()
        for recorder in self.recorders:
            recorder.close()
        self.ground.close()


def _told(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _write(child: Child, told: dict[str, Any], more: dict[str, Any], number: int) -> None:
    words = {"name": child.name, "files": str(child.files), "number": str(number)}
    merged = _merged(told, _filled(more, words))
    (child.folder / f"{child.name}.toml").write_bytes(tomli_w.dumps(merged).encode())


def _filled(value: Any, words: dict[str, str]) -> Any:
    """Texts with the party's own words in them."""
    if isinstance(value, dict):
        return {name: _filled(each, words) for name, each in value.items()}
    if isinstance(value, list | tuple):
        return [_filled(each, words) for each in value]
    if isinstance(value, str):
        for name, word in words.items():
            value = value.replace("{" + name + "}", word)
    return value


def _merged(told: dict[str, Any], more: dict[str, Any]) -> dict[str, Any]:
    """Tables joined, the second one's fields before the first one's."""
    merged = dict(told)
    for name, value in more.items():
        held = merged.get(name)
        merged[name] = _merged(held, value) if isinstance(held, dict) and isinstance(value, dict) else value
    return merged


@asynccontextmanager
async def company(
    folder: str | Path, seed: int = 1, plan: Plan | None = None, kind: type[Company] = Company
) -> AsyncIterator[Company]:
    """A company whose processes all run; ended with the block, however it is left. `kind`: what is made."""
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 20_000)), hard))
    ground = Ground()
    made = None
    try:
        async with trio.open_nursery() as nursery:
            made = kind(folder, seed, plan or Plan(), nursery, ground)
            nursery.start_soon(made.beat)
            await made.begin()
            try:
                yield made
            finally:
                nursery.cancel_scope.cancel()
    finally:
        if made is not None:
            made.close()
        ground.close()
