"""The hard cases of placement, one a seed, on processes: the placement play's seeds from 1000 on.

Each case pins shards under load, does what it is about, and claims what has to be so of keys in stated times
(`placementclaims.py`); all checks of histories run beside that. With `faults`, routers or the keeper are
builds of `misplaced.py`, which the claims have to find.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import httpx
import trio

from ..emulator.link import Fault, State
from ..histories.events import OpBegan, OpEnded, read_history
from ..histories.reading import Reading
from . import placementclaims, placementplay
from .company import OLD_LIST, Company, company
from .crowd import Party, read_answer
from .outcome import Outcome, judged
from .placementplay import LOOK, ZONES, Moves, Size
from .placementscene import BURST_TIME, KEYS, LONG, ONLY, PREFER, SETTLED_BY, Owner, Scene

FIRST = 1000  # seed from which on cases are played, by the remainder of the seed and their number
SIZE = Size(routers=3, servers=6, rate=100.0, lease=1.5)
SMALL = replace(SIZE, routers=2, rate=40.0)
SHARDS = ("s0", "s1")
TOLD = 0.6  # seconds after which routers certainly act by a list that the keeper has of them
WARM = 2.0  # seconds for which a server that has started takes few keys
BEARS = 300.0  # operations a second of a server, where regions are to be full
AWAKE = 0  # a router that nothing is done to
IN_HAND = 24  # operations that a stopped router wakes with
SERVERS = {zone: tuple(f"server-{n}" for n in range(6) if "abc"[n % 3] == zone) for zone in "abc"}


# -- the cases


async def races(scene: Scene) -> None:
    """Two callers ask for one shard at one revision, and the keeper is killed about when it acknowledges."""
    acme, all_, draw = scene.acme, scene.all, scene.draw
    await scene.pinned((acme, "s0", ["eu"], ONLY))
    for number in range(3):
        got = None
        while got is None or got.status_code != 200:
            with suppress(httpx.HTTPError):
                got = await scene.desk.get(f"{acme.path}/s0")
            await trio.sleep(LOOK)
        tag, stood, answers = got.headers["etag"], got.json()["regions"], []
        wanted = [[region] for region in ZONES if [region] != stood]

        first, at_once = trio.Event(), draw.random() < 0.6

        async def one(regions: list[str], tag: str = tag, answers: list = answers, first=first) -> None:
            answers.append((regions, await scene.ask(acme, "s0", regions, tag=tag)))
            first.set()

        async with trio.open_nursery() as nursery:
            for regions in wanted:
                nursery.start_soon(one, regions)
            if at_once:  # as soon as one of them is acknowledged: before any router is told
                await first.wait()
            else:
                await trio.sleep(draw.uniform(0.0, 0.1))
            all_.kill("keeper")
        await trio.sleep(draw.uniform(0.0, 0.5))
        all_.start("keeper")
        await all_.up("keeper")
        made = [regions for regions, told in answers if told is not None and told.status_code == 200]
        open_ = [regions for regions, told in answers if told is None]
        scene.told["acknowledged"] = scene.told.get("acknowledged", 0.0) + len(made)
        scene.told["unknown"] = scene.told.get("unknown", 0.0) + len(open_)
        if len(made) > 1:
            scene.wrong("s0", f"two changes of one revision were acknowledged: {made}")
        may = made or [*open_, stood]
        shown = {}
        with trio.move_on_after(SETTLED_BY):
            while shown.get("stage") != "confined":
                with suppress(httpx.HTTPError, ValueError):
                    shown = (await scene.desk.get(f"{acme.path}/s0")).json()
                await trio.sleep(LOOK)
        if shown.get("stage") != "confined" or shown["now"]["regions"] not in may:
            scene.wrong("s0", f"round {number}: shown {shown}, expected one of {may}")
            return
        (region,) = shown["now"]["regions"]
        await scene.claim("stands", placementclaims.inside, acme, "s0/", 1.0, SERVERS[ZONES[region]])


async def woken(scene: Scene) -> None:
    """A router stands still across a whole move, and wakes with operations in hand; every second time its way
    to the keeper is cut, so that only its clock can tell it."""
    acme, all_, draw = scene.acme, scene.all, scene.draw
    await scene.pinned((acme, "s0", ["eu"], ONLY))
    home, reader = 1, all_.record_of("waker")
    parties = [Party("waker", "acme", home, reader) for _ in range(IN_HAND)]
    if not await scene.serves(acme, "s0/k0", home):
        return
    answered = trio.Event()
    lines = [await all_.crowd._open(party, home) for party in parties]
    name, cut = f"router-{home}", scene.seed // len(CASES) % 2 == 1
    scene.reads("s0/", lasts=0.1)  # in hand when it stops
    await trio.sleep(0.1)
    all_.stop(name)
    since = scene.now()
    revision = await scene.pin(acme, "s0", ["us"])
    scene.note(f"{name} stands still, s0 moves to us at revision {revision}")
    await scene.stands(acme, "s0", ["us"], "confined")
    scene.told["stood.s"] = scene.now() - since

    async def hand(number: int, line: Any) -> None:
        ident, now = f"waker-{number}", reader.now()
        key = f"s0/k{number}"
        reader.put(OpBegan(now, "waker", ident, name, "acme", "read", "idempotent", key, False, 2.0))
        got = None
        with trio.move_on_after(4.0):
            got = await all_.crowd._ask(line, ["KV.GET", key, ident, "c=read,d=2000"])
        outcome, value, away = read_answer(got)
        reader.put(OpEnded(reader.now(), "waker", ident, outcome, value, away))
        scene.told["in_hand"] = scene.told.get("in_hand", 0.0) + (outcome != "lost")

    async with trio.open_nursery() as nursery:
        for number, line in enumerate(lines):
            if line is not None:
                nursery.start_soon(hand, number, line)
        claim = partial(scene.claim, "woken", placementclaims.inside, acme, "s0/", LONG, SERVERS["b"])
        nursery.start_soon(partial(claim, shown=answered.wait))
        await trio.sleep(draw.uniform(0.05, 0.3))
        if cut:
            all_.link(name, "keeper", Fault(State.SILENT))
        all_.go_on(name)
        for _ in range(10):  # from clients that find it awake, whoever else they would ask
            for _ in range(4):
                nursery.start_soon(scene.read, acme, f"s0/k{draw.randrange(KEYS)}", home)
            await trio.sleep(0.1)
        await scene.answers(acme, "s0/k1", home)
        await scene.serves(acme, "s0/k1", AWAKE)
        answered.set()
    all_.heal()
    await scene.serves(acme, "s0/k1", home)


async def emptied(scene: Scene, how: str = "killed") -> None:
    """A region loses its last server: `only` goes nowhere and is told when to come back, `prefer` goes on."""
    acme, bolt, all_, draw = scene.acme, scene.bolt, scene.all, scene.draw
    await scene.pinned(
        (acme, "s0", ["eu"], ONLY),
        (acme, "s1", ["eu", "us"], PREFER),
        (bolt, "s0", ["us"], ONLY),
        (bolt, "s1", ["eu"], PREFER),
    )
    gone = list(SERVERS["a"])
    draw.shuffle(gone)
    for name in gone:
        if how == "killed":
            all_.kill(name)
        elif how == "drained":
            all_.drain(name)
        else:
            await scene.ordered(name, "drain")
        await trio.sleep(draw.uniform(0.0, 0.5))
    await scene.refused(acme, "late", ["eu"], "no server")
    await trio.sleep(TOLD)
    await scene.together(
        scene.claim("nowhere", placementclaims.nowhere, acme, "s0/"),
        scene.claim("elsewhere", placementclaims.mostly, acme, "s1/", servers=SERVERS["b"]),
        scene.claim("elsewhere", placementclaims.inside, bolt, "s1/", servers=SERVERS["b"] + SERVERS["c"]),
        scene.claim("elsewhere", placementclaims.inside, bolt, "s0/", servers=SERVERS["b"]),
    )
    back = gone[-1]
    if how == "killed":
        all_.start(back)
    elif how == "drained":
        all_.undrain(back)
    else:
        await scene.ordered(back, "restore")
    for router in range(scene.size.routers):
        await scene.serves(acme, "s0/k1", router)
    await scene.claim("back", placementclaims.inside, acme, "s0/", 1.0, (back,))


async def drained(scene: Scene) -> None:
    """The last servers of a region drain, by discovery's word or an operator's."""
    await emptied(scene, scene.draw.choice(("drained", "ordered")))


async def full(scene: Scene) -> None:
    """All tenants pin to one region until it is full; room is there again only when a move is over."""
    acme, bolt, all_ = scene.acme, scene.bolt, scene.all
    names = [(owner, f"s{n}") for owner in (acme, bolt) for n in range(4)]
    answers: dict[tuple[str, str], int] = {}
    await scene.pin(bolt, "far", ["ap"])  # taken once the keeper knows of servers

    async def one(owner: Owner, shard: str) -> None:
        got = await scene.ask(owner, shard, ["eu"], allowance=100.0)
        answers[owner.name, shard] = got.status_code if got is not None else 0
        if got is not None and got.status_code == 409:
            told = got.json()
            if told.get("field") != "regions[0]" or "up to 0.0, or first in ap, us" not in told["detail"]:
                scene.wrong(shard, f"refused with {told}")

    async with trio.open_nursery() as nursery:
        for owner, shard in names:
            nursery.start_soon(one, owner, shard)
    taken = [(scene.owners[name], shard) for (name, shard), status in answers.items() if status == 200]
    if len(taken) != int(BEARS) // 100:
        scene.wrong("eu", f"{len(taken)} pins of 100 taken where {BEARS} are borne: {answers}")
        return
    for owner, shard in taken:
        await scene.stands(owner, shard, ["eu"])
    owner, shard = taken[0]
    waiting = next((o, s) for o, s in names if answers[o.name, s] != 200)
    router = f"router-{scene.draw.randrange(scene.size.routers)}"
    all_.link(router, "keeper", Fault(State.SILENT))  # it may go on in the old region for a while
    await scene.pin(owner, shard, ["us"], allowance=100.0)
    tries = 0
    with trio.move_on_after(SETTLED_BY):
        while True:
            before = owner.shown[shard]["stage"], owner.shown[shard]["now"]["regions"]
            got = await scene.ask(*waiting, ["eu"], allowance=100.0)
            tries += 1
            if got is not None and got.status_code == 200:
                there = await scene.desk.get(f"{owner.path}/{shard}")
                if there.json()["stage"] != "confined" or there.json()["now"]["regions"] != ["us"]:
                    scene.wrong(shard, f"its room is given away while it moves: {before}, {there.text}")
                break
            await trio.sleep(LOOK)
    all_.link(router, "keeper", Fault())
    scene.told["tries"] = float(tries)
    await scene.stands(*waiting, ["eu"])
    # A server is lost: what is pinned goes on there, less of it is always taken, more is not.
    all_.kill("server-0")
    await scene.refused(bolt, "late", ["eu"], "'eu' bears 0.0")
    standing = taken[1]
    got = await scene.ask(*standing, ["eu"], allowance=50.0)
    if got is None or got.status_code != 200:
        scene.wrong(standing[1], f"less is not taken: {got.text if got is not None else got}")
    got = await scene.ask(*standing, ["eu"], allowance=51.0)
    if got is None or got.status_code != 409:
        scene.wrong(standing[1], f"more is taken: {got.text if got is not None else got}")
    await scene.together(
        *(
            scene.claim("full", placementclaims.inside, owner, f"{shard}/", servers=("server-3",))
            for owner, shard in (taken[1], taken[2], waiting)
        )
    )
    await scene.serves(standing[0], f"{standing[1]}/k1", 0)


async def again(scene: Scene) -> None:
    """A tenant is removed and made again while one of its shards moves: nothing of its pins is left."""
    acme, all_, draw = scene.acme, scene.all, scene.draw
    await scene.pinned((acme, "s0", ["eu"], ONLY), (acme, "s1", ["eu"], ONLY))
    cut = f"router-{draw.randrange(scene.size.routers)}"
    if draw.random() < 0.7:
        all_.link(cut, "keeper", Fault(draw.choice((State.SILENT, State.SILENT_BACK, State.REFUSED))))
    await scene.pin(acme, "s0", ["us"])
    await trio.sleep(draw.uniform(0.0, 1.0))
    path, secret = "/v1/tenants/acme", ""
    stood = await scene.desk.get(path)
    await scene.desk.delete(path, headers={"If-Match": stood.headers["etag"]})
    while not secret:  # a keeper that is short of time answers with 503
        got = await scene.desk.post("/v1/tenants", json={"name": "acme", "allowance": 1000.0, "memory": 9.0})
        if got.status_code in (200, 201, 409):
            made = await scene.desk.get(path)
            await scene.desk.post(f"{path}/activate", headers={"If-Match": made.headers["etag"]})
            secret = (await scene.desk.post(f"{path}/credentials", json={"overlap": 0.0})).json()["secret"]
    all_.secrets["acme"] = secret
    for party in all_.crowd.parties:
        if party.tenant == "acme":
            party.lines.clear()
    acme.head = f"{(await scene.desk.get(path)).json()['incarnation']:x}/"
    scene.note(f"acme made again, its keys begin with {acme.head}")
    if (await scene.desk.get(acme.path)).json()["shards"]:
        scene.wrong("acme", "a new tenant has shards")
    await trio.sleep(draw.uniform(0.0, 1.0))
    all_.heal()
    for router in range(scene.size.routers):
        await scene.serves(acme, "s0/k1", router)
    scene.reads("s0/", "s1/")
    await scene.together(
        *(
            scene.claim(
                "nothing_left",
                placementclaims.spread,
                acme,
                prefix,
                BURST_TIME,
                zones="abc",
                shown=partial(scene.shown, acme, prefix),
            )
            for prefix in ("s0/", "s1/")
        )
    )
    await scene.pinned((acme, "s0", ["ap"], ONLY))
    scene.reads("s1/")
    await scene.together(
        scene.claim("anew", placementclaims.inside, acme, "s0/", servers=SERVERS["c"]),
        scene.claim(
            "nothing_left",
            placementclaims.spread,
            acme,
            "s1/",
            BURST_TIME,
            zones="abc",
            shown=partial(scene.shown, acme, "s1/"),
        ),
    )


async def relabelled(scene: Scene) -> None:
    """A server is told in another zone without a start: no `only` key goes there until it starts anew."""
    acme, bolt, all_, draw = scene.acme, scene.bolt, scene.all, scene.draw
    await scene.pinned((acme, "s0", ["us"], ONLY), (bolt, "s0", ["eu"], ONLY), (acme, "s1", ["eu"], PREFER))
    name = draw.choice(SERVERS["a"])
    (rest,) = set(SERVERS["a"]) - {name}
    cut = draw.randrange(scene.size.routers)
    if draw.random() < 0.5:  # it hears of it by the keeper, and later by the list
        all_.link(f"router-{cut}", "discovery", Fault(State.SILENT))
    all_.relabel(name, "b", moves=True)
    await trio.sleep(1.5)
    if draw.random() < 0.5:  # one that knows only the new label
        await scene.start_anew(f"router-{draw.randrange(scene.size.routers)}")
    await scene.stands(acme, "s0", ["us"], "confined")
    await scene.stands(bolt, "s0", ["eu"], "confined")
    scene.reads("s0/", lasts=LONG)
    await scene.together(
        scene.claim("relabelled", placementclaims.inside, acme, "s0/", servers=SERVERS["b"]),
        scene.claim("relabelled", placementclaims.inside, bolt, "s0/", servers=(rest,)),
    )
    all_.heal()
    all_.kill(name)
    await trio.sleep(draw.uniform(0.7, 1.5))
    all_.start(name)
    await all_.up(name)
    for router in range(scene.size.routers):
        await scene.serves(acme, "s0/k1", router)
    await scene.stands(acme, "s0", ["us"], "confined")
    scene.reads("s0/")
    await scene.claim(
        "started",
        placementclaims.reached,
        acme,
        "s0/",
        BURST_TIME + WARM,
        (name, *SERVERS["b"]),
    )


async def split(scene: Scene) -> None:
    """A longer prefix is split off while its shard moves; both go their own ways."""
    acme, all_, draw = scene.acme, scene.all, scene.draw
    await scene.pinned((acme, "s0", ["eu"], ONLY))
    await scene.pin(acme, "s0", ["us"])
    await trio.sleep(draw.uniform(0.0, 0.6))
    await scene.pin(acme, "part", ["ap"], prefixes=["s0/k1"])
    if draw.random() < 0.5:
        await trio.sleep(draw.uniform(0.0, 0.3))
        all_.kill("keeper")
        await trio.sleep(draw.uniform(0.0, 0.5))
        all_.start("keeper")
    if draw.random() < 0.5:
        await scene.pin(acme, "s0", ["eu"])
        await scene.pin(acme, "s0", ["us"])
    await scene.stands(acme, "s0", ["us"])
    await scene.stands(acme, "part", ["ap"])
    scene.reads("s0/", lasts=LONG)
    await scene.together(
        scene.claim("split", placementclaims.inside, acme, "s0/k1", servers=SERVERS["c"]),
        scene.claim("split", placementclaims.inside, acme, "s0/", servers=SERVERS["b"], but="s0/k1"),
    )


async def list_back(scene: Scene) -> None:
    """Discovery tells an older list: a label of before, a start of before, or servers that have gone."""
    acme, bolt, all_, draw = scene.acme, scene.bolt, scene.all, scene.draw
    await scene.pinned((acme, "s0", ["us"], ONLY), (bolt, "s0", ["eu"], ONLY), (acme, "s1", ["eu"], PREFER))
    kind = ("label", "start", "gone")[scene.seed // len(CASES) % 3]
    scene.note(f"the list that comes back has another {kind}")
    all_.keep_copy("discovery")
    name = draw.choice(SERVERS["a"])
    (rest,) = set(SERVERS["a"]) - {name}
    if kind == "label":
        all_.relabel(name, "b", moves=True)
    else:
        all_.kill(*(SERVERS["a"] if kind == "gone" else (name,)))
        await trio.sleep(1.0)
    if kind == "start":
        all_.relabel(name, "b", moves=True)
        all_.start(name)
        await all_.up(name)
    await trio.sleep(1.5)
    if kind == "gone":
        await scene.refused(bolt, "late", ["eu"], "no server")
    else:
        await scene.stands(acme, "s0", ["us"], "confined")
    all_.kill("discovery")
    await trio.sleep(draw.uniform(0.1, 0.5))
    all_.start("discovery", files="older")
    await all_.up("discovery")
    may = {"label": (rest,), "start": (rest,), "gone": ()}[kind]
    look = placementclaims.none_outside
    claims = [scene.claim("list_back", look, bolt, "s0/", LONG + OLD_LIST, may)]
    inside = SERVERS["b"] + ((name,) if kind == "start" else ())
    claims.append(scene.claim("list_back", look, acme, "s0/", LONG + OLD_LIST, inside))
    await scene.together(*claims)
    if kind == "gone":
        for each in SERVERS["a"]:
            all_.start(each)
    for router in range(scene.size.routers):
        await scene.serves(bolt, "s0/k1", router)
    await scene.stands(bolt, "s0", ["eu"], "confined")


async def power(scene: Scene) -> None:
    """Power is lost amid a move; what was acknowledged stands when it is back."""
    acme, bolt, all_, draw = scene.acme, scene.bolt, scene.all, scene.draw
    await scene.pinned((acme, "s0", ["eu"], ONLY), (bolt, "s0", ["us"], ONLY))
    await scene.pin(acme, "s0", ["us"])
    await trio.sleep(draw.choice((0.0, 0.05, 0.2, 0.6, 1.2)))
    all_.power_loss(silent=draw.random() < 0.3)
    await trio.sleep(draw.uniform(0.2, 0.8))
    last = draw.choice(("", "keeper", "discovery", "router-1"))
    names = sorted(all_.children)
    draw.shuffle(names)
    for name in sorted(names, key=lambda each: each == last):
        if name == last:
            await trio.sleep(draw.uniform(0.5, 3.0))
        all_.start(name)
        await trio.sleep(draw.uniform(0.0, 0.2))
    await all_.up(*names)
    await scene.stands(acme, "s0", ["us"], "confined")
    await scene.stands(bolt, "s0", ["us"], "confined")
    for router in range(scene.size.routers):
        await scene.serves(acme, "s0/k1", router)
    await scene.together(
        scene.claim("stands", placementclaims.inside, acme, "s0/", servers=SERVERS["b"]),
        scene.claim("stands", placementclaims.inside, bolt, "s0/", servers=SERVERS["b"]),
    )


async def older(scene: Scene) -> None:
    """The keeper's store is put back to a copy from before a move and a first pin: both are held."""
    acme, bolt, all_, draw = scene.acme, scene.bolt, scene.all, scene.draw
    await scene.pinned((acme, "s0", ["eu"], ONLY), (bolt, "s0", ["us"], ONLY))
    all_.keep_copy("keeper")
    await trio.sleep(draw.uniform(0.0, 0.5))
    await scene.pinned((acme, "s0", ["us"], ONLY), (acme, "s1", ["ap"], ONLY))
    all_.kill("keeper")
    await trio.sleep(draw.uniform(0.0, 0.5))
    all_.start("keeper", files="older")
    await all_.up("keeper")
    for shard in SHARDS:
        await scene.stands(acme, shard, [], "held")
    await trio.sleep(TOLD)
    await scene.together(
        scene.claim("held", placementclaims.nowhere, acme, "s0/"),
        scene.claim("held", placementclaims.nowhere, acme, "s1/"),
    )
    await scene.stands(bolt, "s0", ["us"], "confined")
    await scene.pinned((acme, "s0", ["us"], ONLY), (acme, "s1", ["eu", "us"], PREFER))
    for router in range(scene.size.routers):
        await scene.serves(acme, "s0/k1", router)
    await scene.together(
        scene.claim("stands", placementclaims.inside, acme, "s0/", servers=SERVERS["b"]),
        scene.claim("stands", placementclaims.mostly, acme, "s1/", servers=SERVERS["a"]),
        scene.claim("stands", placementclaims.inside, bolt, "s0/", servers=SERVERS["b"]),
    )


CASES: tuple[Callable[[Scene], Awaitable[None]], ...] = (
    races,
    woken,
    emptied,
    full,
    again,
    relabelled,
    split,
    drained,
    list_back,
    power,
    older,
)


def case_of(seed: int) -> Callable[[Scene], Awaitable[None]]:
    """The case of a seed."""
    return CASES[seed % len(CASES)]


async def play(
    seed: int, folder: Path, faults: Mapping[str, str] | None = None, size: Size = SIZE
) -> Outcome:
    """One play. `faults`: which build of misplaced.py a router, or the keeper, is."""
    case, draw = case_of(seed), random.Random(f"{seed} hard")
    plan = placementplay.plan_of(size)
    if case is full:
        placement = {**plan.keep["placement"], "bears": f"{BEARS}/s"}
        plan = replace(plan, keep={**plan.keep, "placement": placement})
    stalls: list[tuple[float, float]] = []
    async with company(folder, seed, plan) as all_:
        await all_.ready()
        if faults:
            await _planted(all_, faults)
        async with trio.open_nursery() as nursery, all_.api(party="asks") as desk:
            nursery.start_soon(placementplay.beat, stalls)
            owners = {
                name: Owner(all_, name, number, size, Moves(0), seed)
                for number, name in enumerate(plan.tenants, 1)
            }
            for owner in owners.values():
                nursery.start_soon(owner.watch)
            scene = Scene(all_, seed, owners, draw, desk, size)
            nursery.start_soon(scene.load)
            began = scene.now()
            await case(scene)
            scene.told["case.s"] = scene.now() - began
            scene.over = True
            await all_.load_over()
            for owner in owners.values():
                owner.over = True
            nursery.cancel_scope.cancel()
        bounds = all_.bounds()
    reading = Reading.of(list(read_history(folder)))
    broken, seen = placementclaims.judge(reading, scene.claims)
    told = {**scene.told, "stalled.s": sum(until - since for since, until in stalls)}
    outcome = judged(reading, bounds, told)
    breaks = placementplay.timely(outcome.breaks, stalls)
    return replace(outcome, breaks=[*breaks, *scene.breaks, *broken], looked_at={**outcome.looked_at, **seen})


async def _planted(all_: Company, faults: Mapping[str, str]) -> None:
    all_.kill(*faults)
    for name, mode in faults.items():
        child = all_.children[name]
        child.words = ["gaugehinge.rehearsal.misplaced", mode, *child.words[1:]]
        all_.start(name)
    await all_.ready()
