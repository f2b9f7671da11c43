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


class TrustRule(Enum):
    """How far an item is believed."""

    TRUSTED = "trusted"
    DECAYING = "trusted with doubt that grows with age"
    REVALIDATED = "asked first"
    DISCARDED = "never"


class StateItem(NamedTuple):
    """One item of the snapshot, or of what a router had and does not keep."""

    name: str
    rule: TrustRule
    cost_if_wrong: str  # what happens where it is believed and wrong
    cost_of_asking: str  # what it costs to ask for it instead


STATE_ITEMS = (
    StateItem(
        "run",
        TrustRule.TRUSTED,
        "two runs of one number: peers tell it on, the keeper refuses a grant",
        "nobody could tell a new run from an old one",
    ),
    StateItem("epoch", TrustRule.TRUSTED, "none: it only ever counts as a least", "nothing"),
    StateItem("runs", TrustRule.TRUSTED, "none: each only ever counts as a least", "nothing"),
    StateItem(
        "lately",
        TrustRule.DECAYING,
        "a peer that lived on counts as begun anew: caution that was not needed",
        "a loss of all is known later, or only as one of most",
    ),
    StateItem(
        "list",
        TrustRule.REVALIDATED,
        "commands go to what has these addresses now",
        "nothing is served until discovery answers, for `list_wait` at most",
    ),
    StateItem(
        "learnt",
        TrustRule.DECAYING,
        "cold servers or the origin get too much, or too little, for some steps",
        "opening starts from the floor: some steps more",
    ),
    StateItem(
        "tenants",
        TrustRule.TRUSTED,
        "none: the revision only ever counts as a least",
        "a keeper restored from a backup would not be noticed",
    ),
    StateItem(
        "incarnations",
        TrustRule.TRUSTED,
        "a tenant is refused that could be served",
        "two tenants could meet in one key space",
    ),
    StateItem(
        "placement",
        TrustRule.REVALIDATED,
        "an `only` key goes to a server outside its region",
        "`only` shards are bounced until the keeper answers",
    ),
    StateItem(
        "grants",
        TrustRule.DISCARDED,
        "the origin is pushed over its limit",
        "the floor is used until the keeper answers",
    ),
    StateItem("leases", TrustRule.DISCARDED, "two act where one may", "as placement and grants"),
    StateItem("marks", TrustRule.DISCARDED, "an effect takes place twice", "repeats get a final answer for the memory"),
    StateItem(
        "wall",
        TrustRule.DECAYING,
        "an age is taken for another: doubt too great or too small",
        "nothing that was learnt would be of use after a boot",
    ),
)

LEARNT_HALF_LIFE = 3600.0  # seconds in which half of what was learnt is lost
MAX_SNAPSHOT_AGE = 86400.0  # a snapshot older than that proves nothing of who was heard before our end
MAX_INCARNATIONS = 8192  # incarnations that are remembered
CLOCK_TOLERANCE = 5.0  # seconds; under it a machine's clock counts as right


@dataclass(slots=True, frozen=True)
class SnapshotAge:
    """How old a snapshot is."""

    seconds: float  # inf: not known, as with a clock that went back
    from_monotonic_clock: bool  # by the monotonic clock of one boot


def snapshot_age(kept: Kept, wall_clock: float, monotonic: float, boot: str) -> SnapshotAge:
    """By the clock of the boot where that is the same, else by wall clocks, which may be off."""
    if boot and kept.boot == boot and monotonic >= kept.steady:
        return SnapshotAge(monotonic - kept.steady, True)
    return SnapshotAge(wall_clock - kept.wall if wall_clock >= kept.wall else inf, False)


def confidence(name: str, age: SnapshotAge) -> float:
    """How far an item is believed, 0 to 1."""
    rule = next(item.rule for item in STATE_ITEMS if item.name == name)
    if rule is TrustRule.TRUSTED:
        return 1.0
    if rule is not TrustRule.DECAYING:
        return 0.0
    if name == "lately":
        return 1.0 if age.seconds <= MAX_SNAPSHOT_AGE else 0.0
    return 0.5 ** (age.seconds / LEARNT_HALF_LIFE)


def clock_correction(own_clock: float, peer_clocks: Sequence[float]) -> float:
    """Seconds to add to the own wall clock. `others`: what peers told at this moment. The middle of all
    counts, where three or more have spoken: less say nothing of who is right."""
    if len(peer_clocks) < 2:
        return 0.0
    correction = median([0.0, *(other - own_clock for other in peer_clocks)])
    return correction if abs(correction) > CLOCK_TOLERANCE else 0.0


def estimated_start_time(
    listed: float, previous: float | None, router_started: float, fleet_survived: bool, correction: float, now: float
) -> float:
    """When a server started, by the own clock, in seconds; 0: long ago.

    `told`: by the list; `before`: what the snapshot's list told of it, None: nothing; `began`: when this
    router started; `lived`: whether the fleet lived on; `off`: as `clock_off`; `now`: when the list told it.
    A server whose start is not the one that was known began anew: after a loss that was not long before this
    router did, whatever the clocks say.
    """
    if listed <= 0.0:
        return 0.0
    # None starts later than it is told of. Where the routers' clocks go an hour behind the servers', most of
    # them too, every server would stay cold for that hour, and reads be bounced.
    started = min(listed - correction, now)
    return max(started, router_started) if not fleet_survived and listed != previous else started


class AnswerStatus(Enum):
    """What a keeper's or a discovery's answer is beside what was known."""

    CURRENT = "followed"
    OLDER = "older"  # of the same store or list, from before what was heard
    OTHER_STORE = "other"  # another store: a disk was lost


class KnownStore(NamedTuple):
    """What is known of the keeper's store."""

    name: str  # empty: nothing
    revision: int  # heard by this router in any run, or told by a peer that was heard
    incarnations: Mapping[str, str]  # names by number, of whichever store
    incarnation_floor: int = 0  # numbers up to this one are not kept: none of them may come for the first time


def classify_feed(known: KnownStore, name: str, revision: int, complete: bool) -> AnswerStatus:
    """Where a feed stands. Changes of the store that is followed are never older."""
    if known.name and name != known.name:
        return AnswerStatus.OTHER_STORE
    if known.name and complete and revision < known.revision:
        return AnswerStatus.OLDER
    return AnswerStatus.CURRENT


def classify_list(known_rev: int, known_starts: Mapping[str, float], rev: int, listed: Mapping[str, float]) -> AnswerStatus:
    """Where a whole list stands beside what was known: versions, -1 for none, and starts of servers by name.

    A version that went back alone proves nothing: discovery may count anew after its own loss. With it, a
    server that started earlier than was known, or one that was not known and is no newer than all that were,
    is what an old list shows.
    """
    if rev >= known_rev or not known_starts:
        return AnswerStatus.CURRENT
    newest = max(known_starts.values())
    started_earlier = any(started < known_starts.get(uid, -1.0) for uid, started in listed.items())
    reappeared = any(uid not in known_starts and started <= newest for uid, started in listed.items())
    return AnswerStatus.OLDER if started_earlier or reappeared else AnswerStatus.CURRENT


def reassigned_incarnations(known: KnownStore, rows: Sequence[tuple[int, str]]) -> list[int]:
    """Incarnations of a feed that another tenant bore: a store that went back, or that was made anew, gives a
    number again, and its bearer would be let into the keys of the one before."""
    return [
        number
        for number, name in rows
        if known.incarnations.get(str(number), "" if number <= known.incarnation_floor else name) != name
    ]


def remember_incarnations(known: KnownStore, rows: Sequence[tuple[int, str]]) -> KnownStore:
    """The same, with the rows of a feed that was followed; the lowest numbers beyond the most go."""
    names = {**known.incarnations, **{str(number): name for number, name in rows}}
    incarnation_floor = known.incarnation_floor
    for number in sorted(names, key=int)[: max(len(names) - MAX_INCARNATIONS, 0)]:
        del names[number]
        incarnation_floor = max(incarnation_floor, int(number))
    return known._replace(incarnations=names, incarnation_floor=incarnation_floor)


class PeerReport(NamedTuple):
    """What one peer said of the fleet."""

    epoch: int
    run: int  # of the peer
    ready: bool
    verdict: Verdict
    list_rev: int
    list_checksum: int
    store_digest: int
    store_revision: int
    keys_lost_ago: float  # at this moment; under 0: never


def most_authoritative(reports: Sequence[PeerReport]) -> PeerReport | None:
    """What counts where answers contradict: the highest epoch, then those that lived on or are ready, then
    the highest revision and list. Never who says that his clock is right, never how many say so."""
    return max(
        reports,
        key=lambda report: (report.epoch, report.verdict.fleet_survived or report.ready, report.store_revision, report.list_rev),
        default=None,
    )


def heard_enough(reports: Sequence[PeerReport], routers: int) -> bool:
    """Whether further peers need not be asked: one that lived on and is ready has said all, else more than
    half of the tier have."""
    return any(report.verdict.fleet_survived and report.ready for report in reports) or 2 * (len(reports) + 1) > routers
