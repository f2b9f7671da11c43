"""Is it a lone restart, a zone's loss or all? Decided from what peers and the keeper say. No I/O, no clock of
its own; every function takes a mind and gives a new one, so that a search may go through all of them.

Three rules carry all of it. A message counts only where it echoes the mark of this very run: what was on its
way before a loss, or is told twice, proves nothing. That another lived through our end is proved by itself
alone: in its present run it heard a former run of ours. That another's run began after our end is proved by
times of our own clock, or by its number having risen since we heard it last before our end. Silence proves
nothing at all: a router that hears too little is `APART`, and claims neither to be a survivor nor that
somebody ended.

A router that ends in order says so once it has nothing in hand any more (`leave`). That proves of this run
that it owes nobody an answer, whatever became of its machine afterwards, and nothing else: nothing of another
run of the router, nothing of others, nothing of servers and their marks. Peers remember it for the run whose
mark it bore, and tell it to the run that has the next number. `LONE` follows from it only where all of these
hold: our own former run ended so, each other router of the zone ended once since then at most and so, and
somebody who lived on knows by his connections that a server of each cell of our zone did. The last is what
speaks of a loss in which no router of the zone was there to end.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from ..tenancy.lease import MAX_CLOCK_DRIFT

LEAST_SLACK = 3.0  # seconds before our end from which a peer's start still counts as after it
MOST_NUMBER = (1 << 32) - 1  # of runs and epochs, as messages carry them
LATE = 10.0  # times the bound: what began anew later than that did so for reasons of its own


class Verdict(Enum):
    """What is known of the time between this router's former run and this one. The value is told to peers."""

    DECIDING = 0  # not yet; the time bound is not over
    LONE = 1  # the fleet lived on: somebody heard our former run and still lives
    ZONE = 2  # the same, but every other router of our zone began anew
    ALL = 3  # every router of the tier began anew
    MOST = 4  # more than half of them did, nobody said that he lived on; of the others nothing is known
    APART = 5  # too little was heard: nothing is claimed of anybody

    @property
    def lived(self) -> bool:
        """Whether part of the fleet is known to have lived on."""
        return self in (Verdict.LONE, Verdict.ZONE)


class Told(NamedTuple):
    """One message of a router to another. Times in seconds, of the sender's own run."""

    me: int  # the sender's number in the tier
    to: int
    zone: int  # digest of the sender's zone
    run: int  # of the sender, counted on its files
    mark: int  # drawn anew by each process
    uptime: float  # of the sender's run when this was sent
    echo: int = 0  # the receiver's mark, as the sender heard it last; 0: nothing was heard
    echo_uptime: float = 0.0  # and the uptime that stood beside it
    you_run: int = 0  # the highest run of the receiver that the sender knows of, from files too
    lived: bool = False  # in the sender's present run another run of the receiver was heard
    lived_ago: float = 0.0  # seconds since it was heard last
    epoch: int = 0  # losses of most of the fleet, counted
    verdict: int = 0
    ready: bool = False
    wall: float = 0.0  # what the sender believes of the time
    list_rev: int = 0
    list_sum: int = 0  # digest of the servers and their starts
    keeper: int = 0  # digest of the keeper's run; 0: not known
    store: int = 0  # digest of the store's name
    revision: int = 0  # of the store, as the sender follows it
    lost_ago: float = -1.0  # seconds since servers' marks were lost, as the sender saw it; under 0: never
    left: bool = False  # the sender's present run ends now, with nothing in hand
    you_left: bool = False  # the receiver's run with the number before did; heard in the sender's present run
    ordered: bool = False  # one who lived on told the sender that of the sender's own former run
    kept: bool = False  # from the receiver's former run to its present one the servers of its zone lived


class Peer(NamedTuple):
    """What is known of one peer."""

    run: int = 0  # the highest that was proved
    mark: int = 0  # of its present run; 0: nothing was proved yet
    zone: int = 0
    began: float = 0.0  # of our uptime: its run began no earlier; under 0: before ours
    lived: bool = False  # it lived through the end of our former run
    changes: int = 0  # runs of it that came after another one in our own run; two at most are counted
    changed_at: float = 0.0  # of our uptime, when the last of them was heard first
    last_at: float = 0.0  # of our uptime, when the run before its present one was heard last
    heard_at: float = -1.0  # of our uptime; under 0: never
    echo: int = 0  # the mark that goes back to it
    echo_uptime: float = 0.0
    known_run: int = 0  # the highest run that it, or files, told
    left: bool = False  # its present run said that it ends in order
    former_left: bool = False  # the run with the number before did
    ordered: bool = False  # it was told that its own former run did
    alive_at: float = 0.0  # of our uptime: its present run still lived then
    former_alive_at: float = 0.0  # the same of the run before


class Mind(NamedTuple):
    """All that one router knows. As large as the tier."""

    me: int
    zone: int
    run: int
    mark: int
    peers: tuple[Peer, ...]  # by number; our own place stays empty
    before: tuple[int, ...]  # by number: the run heard within the slack before our end, or -1
    bound: float  # seconds of our uptime until something is decided
    verdict: Verdict = Verdict.DECIDING
    decided_at: float = 0.0
    epoch: int = 0
    kept_epoch: int = 0  # as our files had it
    keeper_lived: bool = False  # the keeper that answered is the run that answered our former run
    known: tuple[int, ...] = ()  # by number: the highest run that our files tell of
    stale: bool = False  # our files were not those of our former run
    ordered: bool = False  # one who lived on heard that our former run ended in order
    kept: bool = False  # and one knows that servers of our zone lived from then to now
    leaving: bool = False  # this run ends, with nothing in hand


def begin(
    me: int,
    zone: int,
    run: int,
    mark: int,
    known: tuple[int, ...],
    before: tuple[int, ...],
    bound: float,
    epoch: int,
) -> Mind:
    """A router starts. `known`: the highest run of each router that its files tell of; `before`: those that
    it heard within the slack before its end, -1 for the others. With no peers it is decided at once."""
    peers = tuple(Peer(known_run=each) for each in known)
    mind = Mind(me, zone, run, mark, peers, before, bound, epoch=epoch, kept_epoch=epoch, known=known)
    return _decide(mind, 0.0)


def leave(mind: Mind, in_hand: int) -> Mind:
    """This run ends in order and will take nothing any more. With something still in hand it is not said:
    lost amid that, it would have been believed to owe nobody an answer."""
    return mind._replace(leaving=in_hand == 0)


def slack_of(routers: int, told_each: float) -> float:
    """Seconds after which a live peer was heard again, with some to spare; `told_each`: peers that each
    router tells a second."""
    return max(LEAST_SLACK, 1.5 * (routers - 1) / told_each) if routers > 1 else LEAST_SLACK


def say(mind: Mind, to: int, uptime: float, echo: tuple[int, float] | None = None, **more: object) -> Told:
    """The next message to a peer. `echo`: of the message that it answers, where it answers one; `more`: what
    goes with it and is no evidence of runs."""
    peer = mind.peers[to]
    mark, mark_uptime = echo or (peer.echo, peer.echo_uptime)
    lived = bool(peer.mark) and (peer.changes > 0 or mark != peer.mark)
    told = Told(
        mind.me,
        to,
        mind.zone,
        mind.run,
        mind.mark,
        uptime,
        mark,
        mark_uptime,
        max(peer.known_run, peer.run),
        lived,
        uptime - peer.last_at if lived else 0.0,
        mind.epoch,
        mind.verdict.value,
        **more,
    )
    if not (mind.leaving or mind.ordered or peer.former_left):
        return told
    # Only of the run that its mark was proved for: another one's word is not this one's.
    you_left = peer.former_left and mark == peer.mark
    return told._replace(left=mind.leaving, you_left=you_left, ordered=mind.ordered)


def hear(mind: Mind, told: Told, uptime: float) -> tuple[Mind, tuple[int, float] | None]:
    """A message came. Also: what to echo in an answer at once, where its sender has not heard us yet."""
    if told.to != mind.me or told.me == mind.me or not 0 <= told.me < len(mind.peers):
        return mind, None
    peer = mind.peers[told.me]
    known = max(peer.known_run, peer.run)
    if told.run < known and told.mark != peer.mark:
        return mind, (told.mark, told.uptime)  # of the past, or on older files: then it is to know that
    peer = peer._replace(echo=told.mark, echo_uptime=told.uptime, known_run=max(known, told.run))
    fresh = told.echo == mind.mark
    if fresh:
        peer = _prove(peer, told, uptime)
    mind = mind._replace(peers=mind.peers[: told.me] + (peer,) + mind.peers[told.me + 1 :])
    if fresh:
        if told.you_run > mind.run:
            # It knows a later run of ours than our files did: they were old, and prove nothing.
            run = min(told.you_run + 1, MOST_NUMBER)
            mind = mind._replace(run=run, before=(-1,) * len(mind.before), stale=True, ordered=False)
        elif told.you_left and told.lived and told.you_run == mind.run and not mind.stale:
            mind = mind._replace(ordered=True)
        mind = mind._replace(epoch=max(mind.epoch, told.epoch), kept=mind.kept or (told.kept and told.lived))
        mind = _decide(mind, uptime)
    return mind, None if fresh else (told.mark, told.uptime)


def _prove(peer: Peer, told: Told, uptime: float) -> Peer:
    """The sender heard us in this run of ours and of its own: what it says of itself is of now."""
    # It sent this after it heard what we sent at `echo_uptime`: so its run began no earlier than this.
    began = told.echo_uptime - told.uptime * (1.0 + MAX_CLOCK_DRIFT)
    if told.mark == peer.mark:
        return peer._replace(
            run=max(peer.run, told.run),
            began=max(peer.began, began),
            lived=peer.lived or told.lived,
            heard_at=uptime,
            zone=told.zone,
            left=peer.left or told.left,
            ordered=peer.ordered or told.ordered,
            alive_at=max(peer.alive_at, told.echo_uptime),
        )
    changes = min(peer.changes + 1, 2) if peer.mark else peer.changes
    changed_at, last_at = (uptime, peer.heard_at) if peer.mark else (0.0, 0.0)
    return peer._replace(
        run=told.run,
        mark=told.mark,
        zone=told.zone,
        began=began,
        lived=told.lived,
        changes=changes,
        changed_at=changed_at,
        last_at=last_at,
        heard_at=uptime,
        left=told.left,
        # What one run said is never said of the next but one, whose end nobody may have heard of.
        former_left=peer.left and told.run == peer.run + 1,
        ordered=told.ordered,
        alive_at=told.echo_uptime,
        former_alive_at=peer.alive_at if peer.mark else 0.0,
    )


def anew(mind: Mind, number: int) -> bool:
    """Whether that peer's run is proved to have begun after our former run's end, or within the slack
    before it."""
    peer = mind.peers[number]
    if not peer.mark or peer.lived:
        return False
    before = mind.before[number]
    return peer.began > 0.0 or (before >= 0 and peer.run > before)


def absence(mind: Mind, number: int) -> tuple[float, float] | None:
    """Between which times of our uptime that peer's former run ended and its present one began, where both
    were heard. By what each message echoes, not by when it came: one that is late, or comes once more, would
    have a run live on beyond its end."""
    peer = mind.peers[number]
    return (peer.former_alive_at, peer.changed_at) if peer.changes else None


def in_order(mind: Mind, mates: list[int]) -> bool:
    """Whether no router of our zone ended otherwise than in order since our files, and its servers lived."""
    return (
        mind.ordered
        and mind.kept
        and not mind.stale
        and all(mind.peers[n].ordered and mind.peers[n].run <= mind.known[n] + 1 for n in mates)
    )


def hear_keeper(mind: Mind, same: bool, uptime: float) -> Mind:
    """The keeper answered; `same`: by the run that answered our former run."""
    if same == mind.keeper_lived:
        return mind
    return _decide(mind._replace(keeper_lived=same), uptime)


def look(mind: Mind, uptime: float) -> Mind:
    """Time has passed."""
    if mind.verdict is Verdict.DECIDING and uptime >= mind.bound:
        return _decide(mind, uptime)
    return mind


def heard_lately(mind: Mind, uptime: float, within: float) -> tuple[int, ...]:
    """Runs by number that were heard within so many seconds, -1 for others: what the snapshot keeps."""
    return tuple(peer.run if peer.mark and uptime - peer.heard_at <= within else -1 for peer in mind.peers)


def elsewhere(mind: Mind, uptime: float, within: float) -> int:
    """How many peers began anew within so many seconds while this run lived: a loss elsewhere. Peers that
    are only silent are none of them."""
    return sum(peer.changes > 0 and uptime - peer.changed_at <= within for peer in mind.peers)


def _decide(mind: Mind, uptime: float) -> Mind:
    """What is known now. What was proved is not taken back; what was only the time bound's may be."""
    if mind.verdict is Verdict.ALL:
        return mind
    verdict = _judge(mind, uptime >= mind.bound)
    if mind.verdict is Verdict.ZONE and not (verdict is Verdict.LONE and in_order(mind, _mates(mind))):
        return mind
    if verdict is mind.verdict or verdict is Verdict.DECIDING:
        return mind
    if uptime > LATE * mind.bound and not verdict.lived:
        return mind
    if mind.verdict is Verdict.LONE and verdict is not Verdict.ZONE:
        return mind
    epoch = mind.epoch
    if verdict in (Verdict.ALL, Verdict.MOST) and mind.verdict is not Verdict.MOST:
        # Each counts on from its own files, and takes what is higher from others: all come to one number.
        epoch = max(epoch, min(mind.kept_epoch + 1, MOST_NUMBER))
    return mind._replace(verdict=verdict, decided_at=uptime, epoch=epoch)


def _mates(mind: Mind) -> list[int]:
    """The other routers of our zone, of those that were heard."""
    return [n for n, peer in enumerate(mind.peers) if n != mind.me and peer.mark and peer.zone == mind.zone]


def _judge(mind: Mind, bound_over: bool) -> Verdict:
    others = [number for number in range(len(mind.peers)) if number != mind.me]
    new = [number for number in others if anew(mind, number)]
    if any(mind.peers[number].lived for number in others):
        mates = _mates(mind)
        unheard = [n for n in others if not mind.peers[n].mark]
        if mates and not unheard and all(n in new for n in mates):
            return Verdict.LONE if in_order(mind, mates) else Verdict.ZONE
        # Of a mate that may still come it is not known: it is waited for until the bound.
        mates_lived = any(mind.peers[n].lived for n in mates)
        return Verdict.LONE if mates_lived or bound_over or not unheard else Verdict.DECIDING
    if len(new) == len(others) and not mind.keeper_lived:
        return Verdict.ALL
    if not bound_over:
        return Verdict.DECIDING
    return Verdict.MOST if 2 * (len(new) + 1) > len(mind.peers) else Verdict.APART
