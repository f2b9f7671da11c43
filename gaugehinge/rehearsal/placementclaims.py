"""What the hard cases of placement expect beyond the checks of all histories. No I/O.

A claim is made while a case is played, and looked at afterwards on the histories of all parties.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from ..histories.checks import Break
from ..histories.events import Leg, OpBegan, OpEnded
from ..histories.reading import Reading

MOST_TOLD = 20  # breaks of one claim
FEW = 40  # legs of one router, below which it is not asked whether they reach all that they should


@dataclass(slots=True, frozen=True)
class Claim:
    """Something that has to be so of keys that begin with `prefix` (as servers see them) in a time."""

    rule: str
    tenant: str
    prefix: str
    since: float
    until: float
    look: Callable[[Reading, Claim], tuple[list[Break], int]]  # the breaks, and how many things it looked at
    servers: frozenset[str] = frozenset()  # that may be sent such keys
    zones: frozenset[str] = frozenset()  # that they have to reach
    but: str = ""  # keys that begin with this are not meant

    def means(self, key: str) -> bool:
        """Whether it speaks of a key as servers see it."""
        return key.startswith(self.prefix) and not (self.but and key.startswith(self.but))

    def broken(self, ident: str, parties: tuple[str, ...], why: str, lines: tuple = ()) -> Break:
        """A break of it."""
        return Break(self.rule, ident, parties, self.since, self.until, why, lines)


def judge(reading: Reading, claims: list[Claim]) -> tuple[list[Break], dict[str, int]]:
    """All claims: breaks, and how many things each rule had to look at."""
    breaks: list[Break] = []
    seen: dict[str, int] = defaultdict(int)
    for claim in claims:
        found, count = claim.look(reading, claim)
        breaks += found[:MOST_TOLD]
        seen[claim.rule] += count
    return breaks, dict(seen)


def legs_of(reading: Reading, claim: Claim) -> list[tuple[Leg, OpBegan | None]]:
    """Legs at servers of operations that began in the time; of a leg that nobody asked for, its own time."""
    found = []
    for leg in reading.legs:
        if leg.server == "origin" or not claim.means(leg.key) or leg.at < claim.since:
            continue
        op = reading.op_of(leg.ident)
        if (op.at if op else leg.at) >= claim.since and leg.at <= claim.until:
            found.append((leg, op))
    return found


def reads_of(reading: Reading, claim: Claim) -> list[tuple[OpBegan, OpEnded]]:
    """Reads that began and ended in the time."""
    own = claim.prefix.partition("/")[2]
    return [
        (op, end)
        for op in reading.ops.values()
        if not op.write and op.tenant == claim.tenant and op.key.startswith(own) and op.at >= claim.since
        for end in reading.ends.get(op.ident, ()) if end.at <= claim.until
    ]


def nowhere(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """No leg at any server, no read settled, and each bounce tells when to come back."""
    legs, reads = legs_of(reading, claim), reads_of(reading, claim)
    breaks = [
        claim.broken(leg.ident, (leg.server, op.router if op else "?"), "a leg where none may be", (leg,))
        for leg, op in legs
    ]
    for op, end in reads:
        if end.outcome == "settled":
            why = "settled where no server may serve it"
            breaks.append(claim.broken(op.ident, (op.router, op.party), why, (op, end)))
        elif end.outcome == "bounced" and end.come_back <= 0.0:
            why = "bounced without a time to come back"
            breaks.append(claim.broken(op.ident, (op.router, op.party), why, (op, end)))
    bounced = sum(end.outcome == "bounced" for _, end in reads)
    if reads and not bounced:
        breaks.append(claim.broken("", (), f"none of {len(reads)} reads was bounced"))
    return breaks, len(reads)


def inside(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """Legs at these servers alone, and some."""
    legs = legs_of(reading, claim)
    breaks = [
        claim.broken(leg.ident, (leg.server, op.router if op else "?"), "a leg at another server", (leg,))
        for leg, op in legs if leg.server not in claim.servers
    ]
    if not legs:
        breaks.append(claim.broken("", (), "no leg at any server"))
    return breaks, len(legs)


def reached(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """Legs at these servers alone, and at each of them."""
    breaks, count = inside(reading, claim)
    missed = claim.servers - {leg.server for leg, _ in legs_of(reading, claim)}
    if missed:
        breaks.append(claim.broken("", tuple(sorted(missed)), f"none of {count} legs"))
    return breaks, count


def none_outside(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """Legs at these servers alone, or none."""
    breaks, count = inside(reading, claim)
    return (breaks, count) if count else ([], 0)


def spread(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """Each router's legs reach these zones: nothing keeps them out."""
    by: dict[str, list[Leg]] = defaultdict(list)
    for leg, op in legs_of(reading, claim):
        if op is not None:
            by[op.router].append(leg)
    breaks = []
    for router, legs in by.items():
        zones = {leg.zone for leg in legs}
        if len(legs) >= FEW and not claim.zones <= zones:
            why = f"{len(legs)} legs of keys that are pinned nowhere reach {sorted(zones)} alone"
            breaks.append(claim.broken("", ("", router), why, tuple(legs[:3])))
    return breaks, sum(len(legs) for legs in by.values() if len(legs) >= FEW)


def mostly(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """More than half of the legs at these servers: what failed or was slow there may go on elsewhere."""
    legs = legs_of(reading, claim)
    there = sum(leg.server in claim.servers for leg, _ in legs)
    if 2 * there > len(legs):
        return [], len(legs)
    return [claim.broken("", (), f"{there} of {len(legs)} legs at {sorted(claim.servers)}")], len(legs)
