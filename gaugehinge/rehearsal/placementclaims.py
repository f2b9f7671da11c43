"""What the hard cases of placement expect beyond the checks of all histories. No I/O.

A claim is made while a case is played, and looked at afterwards on the histories of all parties.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from ..histories.checks import Break
from ..histories.events import Attempt, OpBegan, OpEnded
from ..histories.reading import Reading

MOST_TOLD = 20  # breaks of one claim
FEW = 40  # attempts of one router, below which it is not asked whether they reach all that they should


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


def attempts_of(reading: Reading, claim: Claim) -> list[tuple[Attempt, OpBegan | None]]:
    """Attempts at servers of operations that began in the time; of an attempt that nobody asked for, its own
    time."""
    found = []
    for attempt in reading.attempts:
        if attempt.server == "origin" or not claim.means(attempt.key) or attempt.at < claim.since:
            continue
        op = reading.op_of(attempt.ident)
        if (op.at if op else attempt.at) >= claim.since and attempt.at <= claim.until:
            found.append((attempt, op))
    return found


def reads_of(reading: Reading, claim: Claim) -> list[tuple[OpBegan, OpEnded]]:
    """Reads that began and ended in the time."""
    own = claim.prefix.partition("/")[2]
    return [
        (op, end)
        for op in reading.ops.values()
        if not op.write and op.tenant == claim.tenant and op.key.startswith(own) and op.at >= claim.since
        for end in reading.ends.get(op.ident, ())
        if end.at <= claim.until
    ]


def nowhere(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """No attempt at any server, no read settled, and each bounce tells when to come back."""
    attempts, reads = attempts_of(reading, claim), reads_of(reading, claim)
    breaks = [
        claim.broken(each.ident, (each.server, op.router if op else "?"), "a leg where none may be", (each,))
        for each, op in attempts
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
    """Attempts at these servers alone, and some."""
    attempts = attempts_of(reading, claim)
    breaks = [
        claim.broken(each.ident, (each.server, op.router if op else "?"), "a leg at another server", (each,))
        for each, op in attempts
        if each.server not in claim.servers
    ]
    if not attempts:
        breaks.append(claim.broken("", (), "no leg at any server"))
    return breaks, len(attempts)


def reached(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """Attempts at these servers alone, and at each of them."""
    breaks, count = inside(reading, claim)
    missed = claim.servers - {attempt.server for attempt, _ in attempts_of(reading, claim)}
    if missed:
        breaks.append(claim.broken("", tuple(sorted(missed)), f"none of {count} legs"))
    return breaks, count


def none_outside(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """Attempts at these servers alone, or none."""
    breaks, count = inside(reading, claim)
    return (breaks, count) if count else ([], 0)


def spread(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """Each router's attempts reach these zones: nothing keeps them out."""
    by: dict[str, list[Attempt]] = defaultdict(list)
    for attempt, op in attempts_of(reading, claim):
        if op is not None:
            by[op.router].append(attempt)
    breaks = []
    for router, attempts in by.items():
        zones = {attempt.zone for attempt in attempts}
        if len(attempts) >= FEW and not claim.zones <= zones:
            why = f"{len(attempts)} legs of keys that are pinned nowhere reach {sorted(zones)} alone"
            breaks.append(claim.broken("", ("", router), why, tuple(attempts[:3])))
    return breaks, sum(len(attempts) for attempts in by.values() if len(attempts) >= FEW)


def mostly(reading: Reading, claim: Claim) -> tuple[list[Break], int]:
    """More than half of the attempts at these servers: what failed or was slow there may go on elsewhere."""
    attempts = attempts_of(reading, claim)
    there, count = sum(attempt.server in claim.servers for attempt, _ in attempts), len(attempts)
    if 2 * there > count:
        return [], count
    return [claim.broken("", (), f"{there} of {count} legs at {sorted(claim.servers)}")], count
