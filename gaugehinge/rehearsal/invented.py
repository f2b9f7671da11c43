"""Histories as a fleet without a fault would have written them, invented by seed: what checks are tried with.

A small model of routers, servers, origin, clients and keeper that behave as they should while processes are
killed, stopped and told to end, links break, power fails, servers drain, a shard moves, and the keeper comes
back with an older store. No I/O, no clock: times are made up. `mutations.py` puts faults into its histories.
"""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..histories.breaks import Bounds
from ..histories.events import (
    AnyEvent,
    Attempt,
    Change,
    Connections,
    Gone,
    Hushed,
    Link,
    ListAsked,
    ListChanged,
    ListTold,
    Note,
    OpBegan,
    OpEnded,
    Outage,
    Placed,
    Process,
    Stall,
)

BOUNDS = Bounds(slack=0.5, drain=0.4, memory=3.0, limits={"origin": 12, "server-0": 6})
ZONES = ("a", "b", "c")
SPACES = {"acme": "a1/", "bolt": "b2/"}
WAIT = 1.0
KINDS = (
    ("read", "idempotent", False),
    ("put", "idempotent", True),
    ("move", "deduplicated", True),
    ("book", "unrepeatable", True),
)
SHARD = "/v1/tenants/acme/shards/s0"
SPREAD = 0.4  # seconds from a shard's change until it is confined
CHANGES = 0.8  # of the time in which shards change, so that the rest of it is confined


@dataclass(slots=True)
class Span:
    """A time in which something was not as usual."""

    since: float
    until: float

    def touches(self, since: float, until: float) -> bool:
        """Whether any part of that time is in it."""
        return self.since <= until and self.until >= since


@dataclass(slots=True)
class Thing:
    """What the keeper has under a path."""

    revision: int
    body: dict


@dataclass(slots=True)
class World:
    """All that is invented."""

    draw: random.Random
    lasts: float
    routers: int
    servers: int
    events: list[AnyEvent] = field(default_factory=list)
    down: dict[str, list[Span]] = field(default_factory=dict)
    stopped: dict[str, list[Span]] = field(default_factory=dict)
    ending: dict[str, list[Span]] = field(default_factory=dict)  # from SIGTERM to the end
    cut: dict[tuple[str, str], list[Span]] = field(default_factory=dict)
    power: float = -1.0
    stages: list[tuple[float, str, tuple[str, ...]]] = field(default_factory=list)  # of the shard
    drained: dict[str, float] = field(default_factory=dict)
    told: dict[str, list[float]] = field(default_factory=dict)  # by router: when it was told of that
    calls: int = 0  # for the list
    busy: Span = field(default_factory=lambda: Span(-9.0, -9.0))  # when the machine had no time for the play

    def put(self, event: AnyEvent) -> None:
        """On record."""
        self.events.append(event)

    def during(self, table: dict, name: object, since: float, until: float) -> Span | None:
        """What of a table touches that time."""
        return next((span for span in table.get(name, ()) if span.touches(since, until)), None)

    def placed(self, at: float) -> tuple[str, tuple[str, ...]]:
        """The shard's stage and zones."""
        found = bisect_right(self.stages, at, key=lambda stage: stage[0]) - 1
        return self.stages[max(found, 0)][1:]


def invent(seed: int, lasts: float = 6.0, rate: float = 20.0, routers: int = 3, servers: int = 4) -> list:
    """A history without a break in it, in the order of its times. `rate`: operations a second; calls of the
    API and faults grow with `lasts`."""
    world = World(random.Random(f"{seed} invented"), lasts, routers, servers)
    _faults(world)
    _lists(world)
    _Keeper(world).run()
    _Fleet(world).run(rate)
    _connections(world)
    world.put(Note(0.0, "play", f"seed {seed}"))
    return sorted(world.events, key=lambda event: event.at)


# -- what happens to processes and links


def _faults(world: World) -> None:
    draw, lasts = world.draw, world.lasts
    routers = [f"router-{n}" for n in range(world.routers)]
    servers = [f"server-{n}" for n in range(world.servers)]
    everyone = [*routers, *servers, "origin", "keeper"]
    for name in everyone:
        _up(world, name, 0.0, 0.05)
    if draw.random() < 0.5:
        at = world.power = draw.uniform(0.3, 0.6) * lasts
        for name in everyone:
            _down(world, name, "killed", at, at + draw.uniform(0.2, 0.8))
    for turn in range(max(int(lasts / 3.0), 1)):
        # Router 0 is left alone, so that there is always one that may not be excused.
        name, at = draw.choice(routers[1:]), (turn + draw.uniform(0.1, 0.9)) * 3.0
        kind = draw.choice(["killed", "told_to_end", "stopped", "cut"])
        until = at + draw.uniform(0.3, 1.2)
        if world.during(world.down, name, at - 1.0, until + 0.5):
            continue
        if world.during(world.stopped, name, at - 1.0, until + 0.5):
            continue
        if kind == "stopped":
            world.put(Process(at, "play", name, "stopped"))
            world.put(Process(until, "play", name, "continued"))
            world.stopped.setdefault(name, []).append(Span(at, until))
        elif kind == "cut":
            other = draw.choice(["clients", *servers])
            world.put(Link(at, "play", name, other, draw.choice(["silent", "late", "slow"])))
            world.put(Link(until, "play", name, other, "up"))
            world.cut.setdefault((name, other), []).append(Span(at, until))
        else:
            _down(world, name, kind, at, until)
    if draw.random() < 0.4:
        at = draw.uniform(1.0, lasts)
        world.busy = Span(at, at + 0.6)
        world.put(Stall(at + 0.6, "play", 0.6))
    name = draw.choice(servers)
    world.drained[name] = draw.uniform(0.2, 0.7) * lasts


def _up(world: World, name: str, at: float, ready: float, files: str = "same") -> None:
    world.put(Process(at, "play", name, "started", files))
    world.put(Process(at + ready, "play", name, "ready"))


def _down(world: World, name: str, kind: str, at: float, until: float, files: str = "same") -> None:
    world.put(Process(at, "play", name, kind))
    gone = at
    if kind == "told_to_end":
        gone = at + 0.25  # it answers what it took
        world.ending.setdefault(name, []).append(Span(at, gone))
    world.put(Process(gone, "play", name, "ended"))
    _up(world, name, until, 0.05, files)
    world.down.setdefault(name, []).append(Span(gone, until + 0.05))


# -- discovery, and what routers ask it


def _lists(world: World) -> None:
    """The list with its one drain; all watches may fall silent, and discovery may be down."""
    draw, lasts = world.draw, world.lasts
    for number in range(world.servers):
        world.put(ListChanged(0.0, "discovery", 1, f"server-{number}", "ready"))
    ((name, drained),) = world.drained.items()
    world.put(ListChanged(drained, "discovery", 2, name, "draining"))
    hushed = drained - draw.uniform(0.0, 1.0) if draw.random() < 0.5 else -1.0
    down = Span(-9.0, -9.0)
    if hushed < 0 and draw.random() < 0.5:
        at = drained + draw.uniform(-1.0, 0.3)
        down = Span(at, at + draw.uniform(0.3, 1.5))
        world.put(Outage(at, "discovery", down.until))
    for number in range(world.routers):
        router, began = f"router-{number}", 0.0
        for span in sorted(world.down.get(router, ()), key=lambda span: span.since):
            _asks(world, router, began, span.since, drained, hushed, down)
            began = span.until - 0.05
        _asks(world, router, began, lasts + 1.0, drained, hushed, down)


def _asks(
    world: World, router: str, began: float, until: float, drained: float, hushed: float, down: Span
) -> None:
    """A router's calls in one life of it."""
    draw, at, knows = world.draw, began + 0.01, -1
    while at < until:
        world.calls += 1
        wait = draw.uniform(0.2, 1.0) if knows > 0 else 0.0
        world.put(ListAsked(at, "discovery", router, world.calls, knows, wait))
        if down.since <= at < down.until:
            world.put(ListTold(at, "discovery", router, world.calls, 0, 503))
            at += draw.uniform(0.1, 0.6)
            continue
        over = min(at + wait, max(at, drained) if knows < 2 else 9e9) + 0.002
        if at <= hushed < over:
            world.put(Hushed(hushed, "discovery", router, world.calls))
            at = hushed + draw.uniform(0.2, 3.5)
        elif at <= down.since < over:
            world.put(ListTold(down.since, "discovery", router, world.calls))
            at = down.since + draw.uniform(0.1, 0.6)
        elif over < until:
            knows = 2 if over >= drained else 1
            world.put(ListTold(over, "discovery", router, world.calls, knows, 200))
            if knows == 2:
                world.told.setdefault(router, []).append(over)
            at = over + draw.uniform(0.001, 0.15)
            if at - 0.15 <= hushed < at:  # between two calls of a watch
                world.put(Hushed(hushed, "discovery", router))
                at = hushed + draw.uniform(0.2, 3.5)
        else:
            return


# -- the keeper and those who call it


class _Keeper:
    """A store of things with revisions; each call is made at one instant between its begin and its end."""

    def __init__(self, world: World) -> None:
        self.world, self.draw = world, world.draw
        self.things: dict[str, Thing] = {}
        self.revision = 0
        self.copy: tuple[dict[str, Thing], int] | None = None
        self.due: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = itertools.count()
        self.idents = itertools.count()
        self.known: dict[tuple[str, str], int] = {}  # revision that a caller read last, by caller and path
        self.orders = 0
        self.older = False

    def at(self, at: float, do: Callable[[float], None]) -> None:
        heapq.heappush(self.due, (at, next(self.numbers), do))

    def run(self) -> None:
        world, draw = self.world, self.draw
        for name in SPACES:
            self._make(f"/v1/tenants/{name}", {"name": name, "share": 1.0, "stage": "active"})
        self._make(SHARD, {"prefixes": ["p/"], "zones": ["a"], "only": True, "stage": "confined"})
        world.stages.append((0.0, "confined", ("a",)))
        self._killings()
        for number in range(3):
            self.at(draw.uniform(0.1, 0.4), lambda now, who=f"admin-{number}": self._call(now, who))
        for turn in range(int(world.lasts / 0.2)):
            self.at(0.1 + turn * 0.2, self._poll)
        while self.due:
            now, _, do = heapq.heappop(self.due)
            if now <= world.lasts + 3.0:
                do(now)

    def _killings(self) -> None:
        world, draw = self.world, self.draw
        for turn in range(max(int(world.lasts / 6.0), 1)):
            at = turn * 6.0 + draw.uniform(2.0, 4.0)
            until = at + draw.uniform(0.2, 0.6)
            if world.power >= 0 and at - 2.0 < world.power < until + 2.0 or at > world.lasts:
                continue
            self.older = draw.random() < 0.4
            if self.older:
                self.at(max(at - 1.0, 0.2), self._keep_copy)
                self.at(until - 0.01, self._go_back)
            _down(world, "keeper", "killed", at, until, "older" if self.older else "same")

    def _keep_copy(self, now: float) -> None:
        self.copy = {path: Thing(t.revision, dict(t.body)) for path, t in self.things.items()}, self.revision

    def _go_back(self, now: float) -> None:
        self.things = {path: Thing(t.revision, dict(t.body)) for path, t in self.copy[0].items()}
        self.revision = self.copy[1]
        self.known.clear()
        self._order(now, self.things[SHARD].body["zones"] if SHARD in self.things else None)

    def _make(self, path: str, body: dict) -> int:
        self.revision += 1
        self.things[path] = Thing(self.revision, body)
        return self.revision

    def _order(self, now: float, zones: list[str] | None) -> None:
        """The shard is to spread anew; it is confined some time later, unless another order came."""
        self.orders += 1
        mine = self.orders
        if SHARD not in self.things:
            self.world.stages.append((now, "leaving", ZONES))
            return
        self.world.stages.append((now, "spreading", ZONES))

        def confine(at: float) -> None:
            if mine != self.orders or SHARD not in self.things:
                return
            if self.world.during(self.world.down, "keeper", at, at):
                self.at(at + 0.2, confine)
                return
            self._make(SHARD, {**self.things[SHARD].body, "stage": "confined"})
            self.world.stages.append((at, "confined", tuple(zones)))

        self.at(now + SPREAD, confine)

    def _poll(self, now: float) -> None:
        world = self.world
        if world.during(world.down, "keeper", now, now):
            return
        stage, zones = world.placed(now)
        if SHARD in self.things:
            told = ["a1/p/"]
            world.put(Placed(now, "play", "acme", "s0", stage, ["r"], list(zones), told, True))

    # -- calls

    def _call(self, now: float, who: str) -> None:
        """A caller's next call, and when it is over the one after it."""
        draw, world = self.draw, self.world
        path = draw.choice(["/v1/tenants/acme", "/v1/tenants/bolt", SHARD, SHARD, "/v1/tenants/extra"])
        method = draw.choice(["GET", "GET", "GET", "change", "change", "DELETE"])
        body = ""
        held = self.known.get((who, path), 0)
        if path == SHARD:
            late = now > world.lasts * CHANGES
            method = "GET" if late or method == "DELETE" or draw.random() < 0.6 else method
            if method == "change":
                method = "PUT"
                zones = draw.sample(ZONES, 1)
                body = msgspec.json.encode({"prefixes": ["p/"], "zones": zones, "only": True}).decode()
                held = held if draw.random() < 0.5 else 0
        elif path.endswith("extra") and method == "change" and not held:
            method, body = "POST", '{"name":"extra","share":2}'
        elif method == "change":
            method, body = "PATCH", f'{{"share":{draw.randint(1, 9)}}}'
        elif method == "DELETE" and not path.endswith("extra"):
            method = "GET"
        if method in ("PATCH", "DELETE") and not held:
            method, body = "GET", ""
        ident = f"call-{next(self.idents)}"
        over = now + draw.uniform(0.01, 0.3)
        if_match = f'"{held}"' if held and method != "GET" and method != "POST" else ""
        url = "/v1/tenants" if method == "POST" else path
        if method == "PUT" and not held and draw.random() < 0.1:
            url, body, method = "/v1/tenants/acme/credentials", "{}", "POST"
        world.put(Change(now, who, ident, method, url, body, if_match))
        down = world.during(world.down, "keeper", now, over)
        done = now + draw.random() * (over - now)
        told: list[tuple[int, str, int]] = []
        if down is None:
            self.at(done, lambda at: told.append(self._make_call(at, method, url, body, held)))
        elif now < done < down.since:
            self.at(done, lambda at: self._make_call(at, method, url, body, held))  # nobody hears of it

        def end(at: float) -> None:
            status, answer, revision = told[0] if told else (0, "", 0)
            world.put(Change(at, who, ident, method, url, body, if_match, status, answer, revision))
            if 200 <= status < 300 and revision:
                self.known[who, path] = revision
            elif status in (0, 404, 412):
                self.known.pop((who, path), None)
            if at < world.lasts:
                self.at(at + draw.uniform(0.02, 0.3), lambda later: self._call(later, who))

        self.at(max(over, down.until) if down and draw.random() < 0.5 else over, end)

    def _make_call(self, now: float, method: str, url: str, body: str, held: int) -> tuple[int, str, int]:
        told = msgspec.json.decode(body) if body else {}
        path = f"{url}/{told['name']}" if url == "/v1/tenants" else url
        thing = self.things.get(path)
        if url.endswith("/credentials"):
            if (acme := self.things.get("/v1/tenants/acme")) is not None:
                self._make("/v1/tenants/acme", acme.body)
            return 201, '{"ident":"x","secret":"y"}', 0
        if method == "POST":
            if thing is not None:
                return 409, "{}", 0
            self._make(path, {**told, "stage": "created"})
        elif method == "PUT":
            if held and (thing is None or thing.revision != held):
                return 412, "{}", thing.revision if thing else 0
            self._make(path, {**told, "stage": "spreading"})
            self._order(now, told["zones"])
        elif thing is None:
            return 404, "{}", 0
        elif method != "GET" and thing.revision != held:
            return 412, "{}", thing.revision
        elif method == "PATCH":
            self._make(path, {**thing.body, **told})
        elif method == "DELETE":
            del self.things[path]
            self.revision += 1
            return 204, "", 0
        thing = self.things[path]
        status = 201 if method == "POST" else 200
        return status, msgspec.json.encode(thing.body).decode(), thing.revision


# -- clients, routers, servers


class _Fleet:
    """Operations, each followed from its client to its effect and back."""

    def __init__(self, world: World) -> None:
        self.world, self.draw = world, world.draw
        self.numbers = itertools.count()
        self.marks: dict[tuple[str, str], float] = {}  # remembered until
        self.written: dict[tuple[str, str], list[str]] = {}  # values that took effect, by tenant and key

    def run(self, rate: float) -> None:
        due: list[tuple[float, int, tuple]] = []
        for number in range(int(self.world.lasts * rate)):
            tenant = self.draw.choice(list(SPACES))
            kind = self.draw.choices(KINDS, (5, 2, 2, 2))[0]
            key = self.draw.choice(["p/", ""]) + f"k{self.draw.randrange(8)}"
            first = (tenant, kind, key, "", "", 0)
            heapq.heappush(due, (self.draw.uniform(0.1, self.world.lasts), number, first))
        while due:
            at, number, told = heapq.heappop(due)
            again = self._operate(at, *told)
            if again is not None and again[0] < self.world.lasts:
                heapq.heappush(due, (again[0], next(self.numbers) + 10**6, again[1]))

    def _operate(
        self, at: float, tenant: str, kind: tuple, key: str, mark: str, repeats: str, tries: int
    ) -> tuple[float, tuple] | None:
        """One try; when it is tried again, and as what."""
        world, draw = self.world, self.draw
        traffic, effect, write = kind
        router = f"router-{draw.randrange(world.routers)}"
        if world.during(world.down, router, at, at) or world.during(world.ending, router, at - 0.2, at):
            return at + 0.1, (tenant, kind, key, mark, repeats, tries)  # there is nobody to send it to
        client = f"client-{draw.randrange(4)}"
        ident = f"{client}-{next(self.numbers)}"
        if effect == "deduplicated":
            mark = mark or f"m{ident}"
        world.put(
            OpBegan(
                at,
                client,
                ident,
                router,
                tenant,
                traffic,
                effect,
                key,
                write,
                WAIT,
                mark,
                repeats,
            )
        )
        over = at + draw.uniform(0.005, 0.1)
        if draw.random() < 0.05 and not world.during(world.down, router, at, at + 0.2):
            world.put(OpEnded(at + 0.002, client, ident, "crossed"))
            return at + 0.01, (tenant, kind, key, mark, repeats or ident, tries)
        outcome, value = self._run(at, over, router, tenant, kind, key, mark, ident)
        if draw.random() < 0.08:
            world.put(Gone(draw.uniform(at, over), client, router, [ident]))
            return None
        stood = world.during(world.stopped, router, at, over)
        if stood is not None and outcome != "lost":
            over = stood.until + 0.01
            if over > at + WAIT + BOUNDS.slack:
                outcome, over = "lost", at + WAIT + 1.0
        whole = not world.during(world.down, router, at, at + 3.0)
        if whole and outcome != "lost" and at < world.busy.since < over:
            over = at + WAIT + BOUNDS.slack + 0.3
        gone = world.during(world.down, router, at, over)
        if gone is not None:
            outcome, over = "lost", max(gone.since, at)
        if world.during(world.cut, (router, "clients"), at, over):
            outcome, over = "lost", at + WAIT + 1.0
        value = value if outcome == "settled" else ""
        come_back = 0.1 if outcome == "bounced" else -1.0
        world.put(OpEnded(over, client, ident, outcome, value, come_back))
        if outcome == "settled" or tries >= 2:
            return None
        again = over + draw.uniform(0.05, 0.4)
        if effect == "unrepeatable":
            return (again, (tenant, kind, key, "", "", tries + 1)) if outcome == "bounced" else None
        return again, (tenant, kind, key, mark, repeats or ident, tries + 1)

    def _run(
        self, at: float, over: float, router: str, tenant: str, kind: tuple, key: str, mark: str, ident: str
    ) -> tuple[str, str]:
        """What a router made of it, attempts told; outcome and value."""
        world, draw = self.world, self.draw
        _, effect, write = kind
        if draw.random() < 0.08:
            return "bounced", ""
        came = at + draw.uniform(0.2, 0.8) * (over - at)
        if world.during(world.down, router, at, came):
            return "lost", ""
        stood = world.during(world.stopped, router, at, came)
        came = stood.until + 0.005 if stood is not None else came
        if stood is not None and came > at + WAIT:
            return "forfeited", ""  # its time was over when it woke
        remembered = self.marks.get((tenant, mark), -9.0) > came
        if remembered and at - BOUNDS.memory < world.power < came:
            return "forfeited", ""  # whether its mark outlived the power loss is not known: no attempt
        server = self._server(came, tenant, key, router) if not write or draw.random() < 0.3 else None
        if server is not None:
            told = self._told(server, router, came)
            cold = came - self._started(server, came) < 0.5
            world.put(
                Attempt(
                    came,
                    server,
                    server,
                    _zone(server),
                    ident,
                    SPACES[tenant] + key,
                    write,
                    mark,
                    False,
                    cold,
                    came > told,
                    told if came > told else 0.0,
                )
            )
        if world.during(world.down, "origin", came, came + 0.002):
            return "forfeited", ""
        if not write:
            return "settled", draw.choice([f"of {SPACES[tenant]}{key}", *self.written.get((tenant, key), ())])
        new = effect != "deduplicated" or self.marks.get((tenant, mark), -9.0) <= came + 0.001
        world.put(Attempt(came + 0.001, "origin", "origin", "", ident, SPACES[tenant] + key, True, mark, new))
        if new:
            self.written.setdefault((tenant, key), []).append(f"{tenant}|{ident}")
            if effect == "deduplicated":
                self.marks[tenant, mark] = came + 0.001 + BOUNDS.memory
        return ("settled", f"done {ident}") if draw.random() < 0.93 else ("forfeited", "")

    def _told(self, server: str, router: str, at: float) -> float:
        """When the router that runs then was told that a server drains."""
        if server not in self.world.drained:
            return 1e9
        began = max(
            (span.until - 0.05 for span in self.world.down.get(router, ()) if span.until <= at), default=0.0
        )
        return min((told for told in self.world.told.get(router, ()) if told >= began), default=1e9)

    def _server(self, at: float, tenant: str, key: str, router: str) -> str | None:
        """A server that this key may be at."""
        world = self.world
        zones = ZONES
        if tenant == "acme" and key.startswith("p/"):
            zones = world.placed(at)[1]
        fit = [
            name
            for n in range(world.servers)
            if _zone(name := f"server-{n}") in zones
            and not world.during(world.down, name, at, at)
            and at < self._told(name, router, at) + BOUNDS.drain * 0.9
        ]
        return self.draw.choice(fit) if fit else None

    def _started(self, server: str, at: float) -> float:
        spans = [span.until for span in self.world.down.get(server, ()) if span.until <= at]
        return max(spans, default=-9.0)


def _number(name: str) -> int:
    return int(name.partition("-")[2])


def _zone(server: str) -> str:
    return ZONES[_number(server) % len(ZONES)]


def _connections(world: World) -> None:
    """Each limited store's own count, up and down within its limit."""
    draw = world.draw
    for store, limit in (BOUNDS.limits or {}).items():
        count, at = 0, 0.1
        while at < world.lasts:
            if world.during(world.down, store, at, at):
                count, at = 0, at + 0.1
                continue
            count = min(max(count + draw.choice([-1, 1, 1]), 0), limit)
            half = count // 2
            world.put(Connections(at, store, store, count, {"router-0": half, "router-1": count - half}))
            at += draw.uniform(0.05, 0.3)
