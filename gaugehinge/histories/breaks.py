"""What checks allow and what they find. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from .events import AnyEvent

LINES_MOST = 12  # of a break that are shown


@dataclass(slots=True, frozen=True)
class Bounds:
    """What the checks allow; wide enough for a busy machine where time is in it."""

    slack: float = 1.0  # seconds after the abandon time in which an answer still counts as in time
    drain: float = 1.0  # seconds after a drain was told in which a new attempt is no break
    limits: dict[str, int] | None = None  # connections that each limited store bears
    memory: float = 9.0  # seconds for which a mark is remembered
    origin: str = "origin"  # the party that stands in no region
    born: str = "of "  # begins a value that nobody wrote: the origin makes it up, and the key follows
    unknown: float = 5.0  # seconds for which a call that broke off may still be under way at the keeper
    search: int = 200_000  # configurations that the search of one register looks at, at most
    left: float = 0.5  # seconds after a client closed in which what it waited for may still be sent on
    pushed: bool = False  # lists are pushed to an agent: what that has counts as told at once
    ask: float = 10.0  # seconds for which a router with no watch is held to the list that it has
    silence: float = 6.0  # seconds after which what a silent watch missed counts as told
    behind_wait: float = 2.0  # or so long after the wait of the call that stood open, if that is later
    moved_after: float = 4.0  # seconds after SIGHUP from which on what is told elsewhere counts
    watch_gap: float = 0.2  # seconds after an answer within which the next call goes on with a watch
    moved: tuple[str, ...] = ("/shards/", "/rolls/", "/servers/")  # in paths of what the keeper changes


@dataclass(slots=True, frozen=True)
class Break:
    """One rule that was broken."""

    rule: str  # the check's name
    ident: str  # operation, shard, store or change
    parties: tuple[str, ...]
    began: float
    ended: float
    why: str  # one sentence with figures
    lines: tuple[AnyEvent, ...] = ()

    def told(self, zero: float = 0.0) -> str:
        """As text: one line, and below it the lines of the histories, each with seconds since `zero`."""
        head = f"{self.rule}: {self.ident} ({', '.join(self.parties)})"
        head += f" {self.began - zero:.3f}-{self.ended - zero:.3f} s: {self.why}"
        shown = [
            f"    {event.at - zero:10.3f} {msgspec.json.encode(event).decode()}"
            for event in self.lines[:LINES_MOST]
        ]
        if len(self.lines) > LINES_MOST:
            shown.append(f"    and {len(self.lines) - LINES_MOST} more")
        return "\n".join([head, *shown])
