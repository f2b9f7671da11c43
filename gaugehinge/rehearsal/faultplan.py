"""Plans of faults: drawn by a seed, carried out by a company, printed, and made as short as still breaks.

Every deed stands for itself: what it breaks it mends, after a time of its own. So a plan with any of its
deeds taken out is a plan, and a plan that broke something can be shrunk.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from inspect import isawaitable

import trio

from ..emulator.link import Fault, State
from .company import Company, Plan

KINDS = ("kill", "lose", "end", "stop", "link", "drain", "list")  # all but a power loss, which is asked for
FILES = ("same", "same", "older", "torn", "empty", "unwritable")
ROUND = 3  # decimals of a drawn figure, so that a printed plan is the plan
LINKS = (
    Fault(State.REFUSED),
    Fault(State.SILENT),
    Fault(State.SILENT_THERE),
    Fault(State.SILENT_BACK),
    Fault(State.RESET, after=400),
    Fault(State.SLOW, rate=4000.0),
    Fault(State.LATE, delay=0.1),
    Fault(State.LOSSY, part=0.3),
)
LIST_FAULTS = ("down", "stale", "empty")


@dataclass(slots=True, frozen=True)
class Deed:
    """One fault: when, what, to whom, for how long until it is mended."""

    at: float  # seconds from the plan's start
    action: str  # `kill`, `lose` (with its machine), `end`, `stop`, `link`, `drain`, `list`, `power`, `zone`
    names: tuple[str, ...] = ()
    lasts: float = 0.0  # seconds
    files: str = "same"  # of a start
    fault: Fault = Fault()  # of a link
    figure: float = 0.0  # seconds: gaps between starts

    def __str__(self) -> str:
        words = [f"{self.at:7.3f} s  {self.action}", " ".join(self.names)]
        if self.action == "link":
            figures = [
                f"{name} {value}"
                for name in ("after", "rate", "delay", "part")
                if (value := getattr(self.fault, name))
            ]
            words.append(" ".join([self.fault.state.value, *figures]))
        words.append(f"for {self.lasts:.3f} s")
        if self.files != "same":
            words.append(f"back with {self.files} files")
        if self.figure:
            words.append(f"gaps {self.figure:.3f} s")
        return "  ".join(word for word in words if word)


def printed(deeds: Sequence[Deed]) -> str:
    """A plan for a person, one line a deed."""
    return "\n".join(map(str, deeds)) or "no faults"


def draw(
    seed: int,
    plan: Plan,
    lasts: float,
    count: int,
    kinds: Sequence[str] = KINDS,
    spared: Sequence[str] = (),
    most_time: float = 1.5,
    files: Sequence[str] = FILES,
) -> list[Deed]:
    """So many deeds within the first `lasts` seconds, none for longer than `most_time`. `spared`: parties
    that no deed stops (their links may break). The same seed, the same plan."""
    chance = random.Random(f"{seed} faults")
    routers = [f"router-{number}" for number in range(plan.routers)]
    servers = [f"server-{number}" for number in range(plan.servers)]
    alive = [name for name in ("keeper", "origin", "discovery", *routers, *servers) if name not in spared]
    deeds = []
    for _ in range(count):
        action = chance.choice(list(kinds))
        at, time = chance.random() * lasts, most_time * (0.1 + 0.9 * chance.random())
        deed = Deed(round(at, ROUND), action, lasts=round(time, ROUND))
        if action in ("kill", "lose", "end", "stop"):
            name = chance.choice([each for each in alive if action != "end" or each in (*routers, "keeper")])
            back = chance.choice(list(files)) if name in routers and action != "stop" else "same"
            deed = replace(deed, names=(name,), files=back)
        elif action == "link":
            one = chance.choice(routers)
            others = ["keeper", "discovery", "origin", "clients", *servers]
            others += [name for name in routers if name != one]
            deed = replace(deed, names=(one, chance.choice(others)), fault=chance.choice(LINKS))
        elif action == "drain":
            deed = replace(deed, names=(chance.choice(servers),))
        elif action == "list":
            deed = replace(deed, names=(chance.choice(LIST_FAULTS),))
        elif action == "zone":
            deed = replace(deed, names=(chance.choice(plan.zones),), figure=round(chance.random(), ROUND))
        elif action == "power":
            deed = replace(deed, figure=round(chance.random(), ROUND))
        else:
            raise ValueError(f"no deed {action!r}")
        deeds.append(deed)
    return sorted(deeds, key=lambda deed: (deed.at, deed.action, deed.names))


async def carry_out(company: Company, deeds: Sequence[Deed]) -> None:
    """Do all of it, and mend it; returns once every process is up again and every link too."""
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        for deed in deeds:
            nursery.start_soon(_one, company, deed, began + deed.at)
    company.heal()
    for name, child in company.children.items():
        company.go_on(name)
        if not child.runs:
            company.start(name)
    await company.up(*company.children)


async def _one(company: Company, deed: Deed, at: float) -> None:
    await trio.sleep_until(at)
    names = deed.names
    if deed.action in ("kill", "lose"):
        if deed.files == "older":
            company.keep_copy(names[0])
        company.kill(*names, silent=deed.action == "lose")
        await trio.sleep(deed.lasts)
        company.start(names[0], deed.files)
    elif deed.action == "end":
        if deed.files == "older":
            company.keep_copy(names[0])
        company.end(names[0])
        if company.children[names[0]].runs:
            company.go_on(names[0])  # one that stands still would never end
            await company.over(names[0])
        await trio.sleep(deed.lasts)
        company.start(names[0], deed.files)
    elif deed.action == "stop":
        company.stop(names[0])
        await trio.sleep(deed.lasts)
        company.go_on(names[0])
    elif deed.action == "link":
        company.link(*names, deed.fault)
        await trio.sleep(deed.lasts)
        company.link(*names, Fault())
    elif deed.action == "drain":
        company.drain(names[0])
        await trio.sleep(deed.lasts)
        company.undrain(names[0])
    elif deed.action == "list":
        company.discovery(**{names[0]: deed.lasts})
        await trio.sleep(deed.lasts)
    elif deed.action in ("power", "zone"):
        company.power_loss(*names)
        await trio.sleep(deed.lasts)
        await company.power_back(gaps=deed.figure)
    else:
        raise ValueError(f"no deed {deed.action!r}")


async def shrink(
    deeds: Sequence[Deed], breaks: Callable[[list[Deed]], bool | Awaitable[bool]], tries: int = 200
) -> list[Deed]:
    """The shortest plan found that still breaks, by taking parts out, halves first (Zeller's ddmin), then
    shortening what is left. `breaks` plays a plan, at most `tries` times. Raises ValueError where the whole
    plan breaks nothing."""
    left = tries

    async def still(plan: list[Deed]) -> bool:
        nonlocal left
        left -= 1
        told = breaks(plan)
        return bool(await told if isawaitable(told) else told)

    best = list(deeds)
    if not await still(best):
        raise ValueError("the whole plan breaks nothing")
    parts = 2
    while best and left > 0:
        size = max(len(best) // parts, 1)
        for start in range(0, len(best), size):
            shorter = best[:start] + best[start + size :]
            if left > 0 and await still(shorter):
                best, parts = shorter, max(parts - 1, 2)
                break
        else:
            if size == 1:
                break
            parts = min(parts * 2, len(best))
    for place in range(len(best)):
        for part in (0.25, 0.5):
            shorter = [*best]
            shorter[place] = replace(best[place], lasts=round(best[place].lasts * part, ROUND))
            if left > 0 and await still(shorter):
                best = shorter
                break
    return best
