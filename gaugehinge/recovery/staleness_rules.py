"""Decides how far a router trusts its stored state, item by item, and data that is older than what it knows.

Such data comes from a control plane or an endpoint list that has gone back. No I/O and no clock of its own.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf
from statistics import median
from typing import NamedTuple

from .restart_scope import Verdict
from .snapshot import Snapshot


class TrustRule(Enum):
    """How far a stored item is trusted."""

    TRUSTED = "trusted"
    DECAYING = "trusted less with age"
    REVALIDATED = "requested again before use"
    DISCARDED = "never trusted"


class StateItem(NamedTuple):
    """One item of the snapshot, or of state that a router had and does not store."""

    name: str
    rule: TrustRule
    cost_if_wrong: str  # what happens if it is trusted and wrong
    cost_of_asking: str  # what it costs to request it again instead


STATE_ITEMS = (
    StateItem(
        "run",
        TrustRule.TRUSTED,
        "two runs have the same number: peers report it, the control plane refuses a grant",
        "a new run could not be told from an old one",
    ),
    StateItem("epoch", TrustRule.TRUSTED, "nothing: it is only used as a lower bound", "nothing"),
    StateItem("runs", TrustRule.TRUSTED, "nothing: each is only used as a lower bound", "nothing"),
    StateItem(
        "lately",
        TrustRule.DECAYING,
        "a peer that survived is taken to have restarted: needless caution",
        "a loss of the whole tier is recognised later, or only as a loss of most of it",
    ),
    StateItem(
        "list",
        TrustRule.REVALIDATED,
        "commands go to whatever has these addresses now",
        "nothing is served until discovery answers, for `list_wait` at most",
    ),
    StateItem(
        "learnt",
        TrustRule.DECAYING,
        "cold servers or the origin get too much or too little load for some steps",
        "the ramp starts from its minimum and takes some steps more",
    ),
    StateItem(
        "tenants",
        TrustRule.TRUSTED,
        "nothing: the revision is only used as a lower bound",
        "a control plane restored from a backup would not be noticed",
    ),
    StateItem(
        "incarnations",
        TrustRule.TRUSTED,
        "a tenant that could be served is refused",
        "two tenants could share one key space",
    ),
    StateItem(
        "placement",
        TrustRule.REVALIDATED,
        "an `only` key goes to a server outside its region",
        "`only` shards are rejected until the control plane answers",
    ),
    StateItem(
        "grants",
        TrustRule.DISCARDED,
        "the origin is loaded beyond its limit",
        "the floor is used until the control plane answers",
    ),
    StateItem(
        "leases", TrustRule.DISCARDED, "two routers act where only one may", "as for placement and grants"
    ),
    StateItem(
        "marks",
        TrustRule.DISCARDED,
        "an effect takes place twice",
        "retries fail for the deduplication window",
    ),
    StateItem(
        "wall",
        TrustRule.DECAYING,
        "an age is misjudged: the state is trusted too little or too much",
        "nothing that was learnt could be used after a reboot",
    ),
)

LEARNT_HALF_LIFE = 3600.0  # seconds after which learnt figures count half
MAX_SNAPSHOT_AGE = 86400.0  # seconds; an older snapshot proves nothing about who was heard before our end
MAX_INCARNATIONS = 8192  # tenant incarnations that are remembered
CLOCK_TOLERANCE = 5.0  # seconds; a clock that is off by no more counts as right


@dataclass(slots=True, frozen=True)
class SnapshotAge:
    """How old a snapshot is."""

    seconds: float  # inf: unknown, for instance because a clock went back
    from_monotonic_clock: bool  # measured by the monotonic clock within one boot


def snapshot_age(kept: Snapshot, wall_clock: float, monotonic: float, boot: str) -> SnapshotAge:
    """By the monotonic clock if the machine was not rebooted, else by wall clocks, which may be off."""
    if boot and kept.boot_id == boot and monotonic >= kept.monotonic:
        return SnapshotAge(monotonic - kept.monotonic, True)
    return SnapshotAge(wall_clock - kept.wall_clock if wall_clock >= kept.wall_clock else inf, False)


def confidence(name: str, age: SnapshotAge) -> float:
    """How far an item is trusted, 0 to 1."""
    rule = next(item.rule for item in STATE_ITEMS if item.name == name)
    if rule is TrustRule.TRUSTED:
        return 1.0
    if rule is not TrustRule.DECAYING:
        return 0.0
    if name == "lately":
        return 1.0 if age.seconds <= MAX_SNAPSHOT_AGE else 0.0
    return 0.5 ** (age.seconds / LEARNT_HALF_LIFE)


def clock_correction(own_clock: float, peer_clocks: Sequence[float]) -> float:
    """Seconds to add to the own wall clock: the median of all clocks' differences from it.

    `peer_clocks`: what peers report at this moment. With fewer than three clocks, the own one included, there
    is no telling who is right, and the result is 0.
    """
    if len(peer_clocks) < 2:
        return 0.0
    correction = median([0.0, *(other - own_clock for other in peer_clocks)])
    return correction if abs(correction) > CLOCK_TOLERANCE else 0.0


def estimated_start_time(
    listed: float,
    previous: float | None,
    router_started: float,
    fleet_survived: bool,
    correction: float,
    now: float,
) -> float:
    """When a server started, by the own clock, in seconds; 0: long ago.

    `listed`: start time in the list; `previous`: the one in the snapshot's list, or None; `router_started`:
    when this router started; `fleet_survived`: whether part of the fleet survived; `correction`: as by
    `clock_correction`; `now`: when the list arrived. A server whose start time differs from the known one has
    restarted: after a loss of the fleet, it did so not long before this router, whatever the clocks say.
    """
    if listed <= 0.0:
        return 0.0
    # No server starts after it is listed. Without this bound, if most routers' clocks were an hour behind the
    # servers' clocks, every server would count as cold for that hour and reads would be rejected.
    started = min(listed - correction, now)
    return max(started, router_started) if not fleet_survived and listed != previous else started


class AnswerStatus(Enum):
    """How an answer of the control plane or of discovery compares with what was known."""

    CURRENT = "followed"
    OLDER = "older"  # of the same store or list, but from before what is known
    OTHER_STORE = "other"  # of another store: a disk was lost


class KnownStore(NamedTuple):
    """What is known of the control plane's store."""

    name: str  # empty: nothing is known
    revision: int  # heard by this router in any run, or reported by a peer
    incarnations: Mapping[str, str]  # tenant names by incarnation number, of any store
    incarnation_floor: int = 0  # numbers up to this one are forgotten: none may appear as new


def classify_feed(known: KnownStore, name: str, revision: int, complete: bool) -> AnswerStatus:
    """Classifies a feed. Changes of the store that is followed are never older."""
    if known.name and name != known.name:
        return AnswerStatus.OTHER_STORE
    if known.name and complete and revision < known.revision:
        return AnswerStatus.OLDER
    return AnswerStatus.CURRENT


def classify_list(
    known_rev: int, known_starts: Mapping[str, float], rev: int, listed: Mapping[str, float]
) -> AnswerStatus:
    """Classifies a complete list by its revision (-1: none) and the start times of its servers by uid.

    A lower revision alone proves nothing: discovery may count from the start again after its own loss. A list
    is old if, besides, a server started earlier than was known, or an unknown server started no later than
    the newest known one.
    """
    if rev >= known_rev or not known_starts:
        return AnswerStatus.CURRENT
    newest = max(known_starts.values())
    started_earlier = any(started < known_starts.get(uid, -1.0) for uid, started in listed.items())
    reappeared = any(uid not in known_starts and started <= newest for uid, started in listed.items())
    return AnswerStatus.OLDER if started_earlier or reappeared else AnswerStatus.CURRENT


def reassigned_incarnations(known: KnownStore, rows: Sequence[tuple[int, str]]) -> list[int]:
    """Incarnation numbers of a feed that belonged to another tenant before.

    A store that went back or was created anew assigns a number again; its new tenant would get access to the
    keys of the previous one.
    """
    return [
        number
        for number, name in rows
        if known.incarnations.get(str(number), "" if number <= known.incarnation_floor else name) != name
    ]


def remember_incarnations(known: KnownStore, rows: Sequence[tuple[int, str]]) -> KnownStore:
    """Adds the rows of an accepted feed; drops the lowest numbers beyond `MAX_INCARNATIONS`."""
    names = {**known.incarnations, **{str(number): name for number, name in rows}}
    incarnation_floor = known.incarnation_floor
    for number in sorted(names, key=int)[: max(len(names) - MAX_INCARNATIONS, 0)]:
        del names[number]
        incarnation_floor = max(incarnation_floor, int(number))
    return known._replace(incarnations=names, incarnation_floor=incarnation_floor)


class PeerReport(NamedTuple):
    """What one peer reported about the fleet."""

    epoch: int
    run: int  # of the peer
    ready: bool
    verdict: Verdict
    list_rev: int
    list_checksum: int
    store_digest: int
    store_revision: int
    keys_lost_ago: float  # seconds before the report; negative: never


def most_authoritative(reports: Sequence[PeerReport]) -> PeerReport | None:
    """The report that counts if reports contradict each other.

    The highest epoch wins, then routers that survived or are ready, then the highest store revision and list
    revision. Claims about clocks and the number of equal reports never count.
    """
    return max(
        reports,
        key=lambda report: (
            report.epoch,
            report.verdict.fleet_survived or report.ready,
            report.store_revision,
            report.list_rev,
        ),
        default=None,
    )


def heard_enough(reports: Sequence[PeerReport], routers: int) -> bool:
    """Whether no further peers need to be asked.

    That is so once one that survived and is ready has reported, or more than half of the tier (this router
    included) is known.
    """
    return (
        any(report.verdict.fleet_survived and report.ready for report in reports)
        or 2 * (len(reports) + 1) > routers
    )
