"""What a router believes of what it kept from before, item by item, and of a keeper or a list that say less
than was known already. No I/O, no clock of its own.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf
from statistics import median
from typing import NamedTuple

from .restart_scope import Verdict
from .snapshot import Kept


class Rule(Enum):
    """How far an item is believed."""

    TRUSTED = "trusted"
    DOUBTED = "trusted with doubt that grows with age"
    ASKED = "asked first"
    NEVER = "never"


class Item(NamedTuple):
    """One item of the snapshot, or of what a router had and does not keep."""

    name: str
    rule: Rule
    wrong: str  # what happens where it is believed and wrong
    waiting: str  # what it costs to ask for it instead


ITEMS = (
    Item(
        "run",
        Rule.TRUSTED,
        "two runs of one number: peers tell it on, the keeper refuses a grant",
        "nobody could tell a new run from an old one",
    ),
    Item("epoch", Rule.TRUSTED, "none: it only ever counts as a least", "nothing"),
    Item("runs", Rule.TRUSTED, "none: each only ever counts as a least", "nothing"),
    Item(
        "lately",
        Rule.DOUBTED,
        "a peer that lived on counts as begun anew: caution that was not needed",
        "a loss of all is known later, or only as one of most",
    ),
    Item(
        "list",
        Rule.ASKED,
        "commands go to what has these addresses now",
        "nothing is served until discovery answers, for `list_wait` at most",
    ),
    Item(
        "learnt",
        Rule.DOUBTED,
        "cold servers or the origin get too much, or too little, for some steps",
        "opening starts from the floor: some steps more",
    ),
    Item(
        "tenants",
        Rule.TRUSTED,
        "none: the revision only ever counts as a least",
        "a keeper restored from a backup would not be noticed",
    ),
    Item(
        "incarnations",
        Rule.TRUSTED,
        "a tenant is refused that could be served",
        "two tenants could meet in one key space",
    ),
    Item(
        "placement",
        Rule.ASKED,
        "an `only` key goes to a server outside its region",
        "`only` shards are bounced until the keeper answers",
    ),
    Item(
        "grants",
        Rule.NEVER,
        "the origin is pushed over its limit",
        "the floor is used until the keeper answers",
    ),
    Item("leases", Rule.NEVER, "two act where one may", "as placement and grants"),
    Item("marks", Rule.NEVER, "an effect takes place twice", "repeats get a final answer for the memory"),
    Item(
        "wall",
        Rule.DOUBTED,
        "an age is taken for another: doubt too great or too small",
        "nothing that was learnt would be of use after a boot",
    ),
)

LEARNT_HALF = 3600.0  # seconds in which half of what was learnt is lost
MOST_AGE = 86400.0  # a snapshot older than that proves nothing of who was heard before our end
MOST_NUMBERS = 8192  # incarnations that are remembered
CLOCK_OFF = 5.0  # seconds; under it a machine's clock counts as right


@dataclass(slots=True, frozen=True)
class Age:
    """How old a snapshot is."""

    seconds: float  # inf: not known, as with a clock that went back
    sure: bool  # by the monotonic clock of one boot


def age(kept: Kept, wall: float, steady: float, boot: str) -> Age:
    """By the clock of the boot where that is the same, else by wall clocks, which may be off."""
    if boot and kept.boot == boot and steady >= kept.steady:
        return Age(steady - kept.steady, True)
    return Age(wall - kept.wall if wall >= kept.wall else inf, False)


def belief(name: str, old: Age) -> float:
    """How far an item is believed, 0 to 1."""
    rule = next(item.rule for item in ITEMS if item.name == name)
    if rule is Rule.TRUSTED:
        return 1.0
    if rule is not Rule.DOUBTED:
        return 0.0
    if name == "lately":
        return 1.0 if old.seconds <= MOST_AGE else 0.0
    return 0.5 ** (old.seconds / LEARNT_HALF)


def clock_off(own: float, others: Sequence[float]) -> float:
    """Seconds to add to the own wall clock. `others`: what peers told at this moment. The middle of all
    counts, where three or more have spoken: less say nothing of who is right."""
    if len(others) < 2:
        return 0.0
    off = median([0.0, *(each - own for each in others)])
    return off if abs(off) > CLOCK_OFF else 0.0


def believed_start(
    told: float, before: float | None, began: float, lived: bool, off: float, now: float
) -> float:
    """When a server started, by the own clock, in seconds; 0: long ago.

    `told`: by the list; `before`: what the snapshot's list told of it, None: nothing; `began`: when this
    router started; `lived`: whether the fleet lived on; `off`: as `clock_off`; `now`: when the list told it.
    A server whose start is not the one that was known began anew: after a loss that was not long before this
    router did, whatever the clocks say.
    """
    if told <= 0.0:
        return 0.0
    # None starts later than it is told of. Where the routers' clocks go an hour behind the servers', most of
    # them too, every server would stay cold for that hour, and reads be bounced.
    started = min(told - off, now)
    return max(started, began) if not lived and told != before else started


class Standing(Enum):
    """What a keeper's or a discovery's answer is beside what was known."""

    FOLLOWED = "followed"
    OLDER = "older"  # of the same store or list, from before what was heard
    OTHER = "other"  # another store: a disk was lost


class KnownStore(NamedTuple):
    """What is known of the keeper's store."""

    name: str  # empty: nothing
    revision: int  # heard by this router in any run, or told by a peer that was heard
    incarnations: Mapping[str, str]  # names by number, of whichever store
    floor: int = 0  # numbers up to this one are not kept: none of them may come for the first time


def keeper_answer(known: KnownStore, name: str, revision: int, whole: bool) -> Standing:
    """Where a feed stands. Changes of the store that is followed are never older."""
    if known.name and name != known.name:
        return Standing.OTHER
    if known.name and whole and revision < known.revision:
        return Standing.OLDER
    return Standing.FOLLOWED


def list_answer(known_rev: int, known: Mapping[str, float], rev: int, told: Mapping[str, float]) -> Standing:
    """Where a whole list stands beside what was known: versions, -1 for none, and starts of servers by name.

    A version that went back alone proves nothing: discovery may count anew after its own loss. With it, a
    server that started earlier than was known, or one that was not known and is no newer than all that were,
    is what an old list shows.
    """
    if rev >= known_rev or not known:
        return Standing.FOLLOWED
    newest = max(known.values())
    old = any(started < known.get(uid, -1.0) for uid, started in told.items())
    gone = any(uid not in known and started <= newest for uid, started in told.items())
    return Standing.OLDER if old or gone else Standing.FOLLOWED


def strangers(known: KnownStore, rows: Sequence[tuple[int, str]]) -> list[int]:
    """Incarnations of a feed that another tenant bore: a store that went back, or that was made anew, gives a
    number again, and its bearer would be let into the keys of the one before."""
    return [
        number
        for number, name in rows
        if known.incarnations.get(str(number), "" if number <= known.floor else name) != name
    ]


def remember(known: KnownStore, rows: Sequence[tuple[int, str]]) -> KnownStore:
    """The same, with the rows of a feed that was followed; the lowest numbers beyond the most go."""
    numbers = {**known.incarnations, **{str(number): name for number, name in rows}}
    floor = known.floor
    for number in sorted(numbers, key=int)[: max(len(numbers) - MOST_NUMBERS, 0)]:
        del numbers[number]
        floor = max(floor, int(number))
    return known._replace(incarnations=numbers, floor=floor)


class Said(NamedTuple):
    """What one peer said of the fleet."""

    epoch: int
    run: int  # of the peer
    ready: bool
    verdict: Verdict
    list_rev: int
    list_sum: int
    store: int
    revision: int
    lost_ago: float  # at this moment; under 0: never


def agree(said: Sequence[Said]) -> Said | None:
    """What counts where answers contradict: the highest epoch, then those that lived on or are ready, then
    the highest revision and list. Never who says that his clock is right, never how many say so."""
    return max(
        said,
        key=lambda one: (one.epoch, one.verdict.lived or one.ready, one.revision, one.list_rev),
        default=None,
    )


def enough(said: Sequence[Said], routers: int) -> bool:
    """Whether further peers need not be asked: one that lived on and is ready has said all, else more than
    half of the tier have."""
    return any(one.verdict.lived and one.ready for one in said) or 2 * (len(said) + 1) > routers
