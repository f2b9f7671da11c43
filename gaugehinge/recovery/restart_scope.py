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

MIN_SLACK = 3.0  # seconds before our end from which a peer's start still counts as after it
MAX_COUNTER = (1 << 32) - 1  # of runs and epochs, as messages carry them
LATE_RESTART_FACTOR = 10.0  # times the bound: what began anew later than that did so for reasons of its own


class Verdict(Enum):
    """What is known of the time between this router's former run and this one. The value is told to peers."""

    DECIDING = 0  # not yet; the time bound is not over
    LONE = 1  # the fleet lived on: somebody heard our former run and still lives
    ZONE = 2  # the same, but every other router of our zone began anew
    ALL = 3  # every router of the tier began anew
    MOST = 4  # more than half of them did, nobody said that he lived on; of the others nothing is known
    APART = 5  # too little was heard: nothing is claimed of anybody

    @property
    def fleet_survived(self) -> bool:
        """Whether part of the fleet is known to have lived on."""
        return self in (Verdict.LONE, Verdict.ZONE)


class PeerMessage(NamedTuple):
    """One message of a router to another. Times in seconds, of the sender's own run."""

    sender: int  # the sender's number in the tier
    receiver: int
    zone: int  # digest of the sender's zone
    run: int  # of the sender, counted on its files
    nonce: int  # drawn anew by each process
    uptime: float  # of the sender's run when this was sent
    echo_nonce: int = 0  # the receiver's mark, as the sender heard it last; 0: nothing was heard
    echo_uptime: float = 0.0  # and the uptime that stood beside it
    receiver_run: int = 0  # the highest run of the receiver that the sender knows of, from files too
    survived: bool = False  # in the sender's present run another run of the receiver was heard
    last_heard_ago: float = 0.0  # seconds since it was heard last
    epoch: int = 0  # losses of most of the fleet, counted
    verdict: int = 0
    ready: bool = False
    wall_clock: float = 0.0  # what the sender believes of the time
    list_rev: int = 0
    list_checksum: int = 0  # digest of the servers and their starts
    control_plane_run: int = 0  # digest of the keeper's run; 0: not known
    store_digest: int = 0  # digest of the store's name
    store_revision: int = 0  # of the store, as the sender follows it
    keys_lost_ago: float = -1.0  # seconds since servers' marks were lost, as the sender saw it; under 0: never
    clean_shutdown: bool = False  # the sender's present run ends now, with nothing in hand
    receiver_clean_shutdown: bool = False  # the receiver's run with the number before did; heard in the sender's present run
    confirmed_clean_shutdown: bool = False  # one who lived on told the sender that of the sender's own former run
    zone_servers_survived: bool = False  # from the receiver's former run to its present one the servers of its zone lived


class Peer(NamedTuple):
    """What is known of one peer."""

    run: int = 0  # the highest that was proved
    nonce: int = 0  # of its present run; 0: nothing was proved yet
    zone: int = 0
    earliest_start: float = 0.0  # of our uptime: its run began no earlier; under 0: before ours
    survived: bool = False  # it lived through the end of our former run
    restarts: int = 0  # runs of it that came after another one in our own run; two at most are counted
    restart_heard_at: float = 0.0  # of our uptime, when the last of them was heard first
    previous_run_heard_at: float = 0.0  # of our uptime, when the run before its present one was heard last
    heard_at: float = -1.0  # of our uptime; under 0: never
    echo_nonce: int = 0  # the mark that goes back to it
    echo_uptime: float = 0.0
    known_run: int = 0  # the highest run that it, or files, told
    clean_shutdown: bool = False  # its present run said that it ends in order
    previous_clean_shutdown: bool = False  # the run with the number before did
    confirmed_clean_shutdown: bool = False  # it was told that its own former run did
    alive_at: float = 0.0  # of our uptime: its present run still lived then
    previous_alive_at: float = 0.0  # the same of the run before


class TierView(NamedTuple):
    """All that one router knows. As large as the tier."""

    own_number: int
    zone: int
    run: int
    nonce: int
    peers: tuple[Peer, ...]  # by number; our own place stays empty
    runs_before_stop: tuple[int, ...]  # by number: the run heard within the slack before our end, or -1
    decision_deadline: float  # seconds of our uptime until something is decided
    verdict: Verdict = Verdict.DECIDING
    decided_at: float = 0.0
    epoch: int = 0
    stored_epoch: int = 0  # as our files had it
    control_plane_survived: bool = False  # the keeper that answered is the run that answered our former run
    stored_runs: tuple[int, ...] = ()  # by number: the highest run that our files tell of
    snapshot_outdated: bool = False  # our files were not those of our former run
    confirmed_clean_shutdown: bool = False  # one who lived on heard that our former run ended in order
    zone_servers_survived: bool = False  # and one knows that servers of our zone lived from then to now
    shutting_down_cleanly: bool = False  # this run ends, with nothing in hand


def initial_view(
    own_number: int,
    zone: int,
    run: int,
    nonce: int,
    stored_runs: tuple[int, ...],
    runs_before_stop: tuple[int, ...],
    decision_deadline: float,
    epoch: int,
) -> TierView:
    """A router starts. `known`: the highest run of each router that its files tell of; `before`: those that
    it heard within the slack before its end, -1 for the others. With no peers it is decided at once."""
    peers = tuple(Peer(known_run=each) for each in stored_runs)
    view = TierView(own_number, zone, run, nonce, peers, runs_before_stop, decision_deadline, epoch=epoch, stored_epoch=epoch, stored_runs=stored_runs)
    return _update_verdict(view, 0.0)


def begin_shutdown(view: TierView, in_flight: int) -> TierView:
    """This run ends in order and will take nothing any more. With something still in hand it is not said:
    lost amid that, it would have been believed to owe nobody an answer."""
    return view._replace(shutting_down_cleanly=in_flight == 0)


def restart_slack(routers: int, peers_per_second: float) -> float:
    """Seconds after which a live peer was heard again, with some to spare; `told_each`: peers that each
    router tells a second."""
    return max(MIN_SLACK, 1.5 * (routers - 1) / peers_per_second) if routers > 1 else MIN_SLACK


def build_message(view: TierView, receiver: int, uptime: float, echo: tuple[int, float] | None = None, **other_fields: object) -> PeerMessage:
    """The next message to a peer. `echo`: of the message that it answers, where it answers one; `more`: what
    goes with it and is no evidence of runs."""
    peer = view.peers[receiver]
    nonce, nonce_uptime = echo or (peer.echo_nonce, peer.echo_uptime)
    survived = bool(peer.nonce) and (peer.restarts > 0 or nonce != peer.nonce)
    message = PeerMessage(
        view.own_number,
        receiver,
        view.zone,
        view.run,
        view.nonce,
        uptime,
        nonce,
        nonce_uptime,
        max(peer.known_run, peer.run),
        survived,
        uptime - peer.previous_run_heard_at if survived else 0.0,
        view.epoch,
        view.verdict.value,
        **other_fields,
    )
    if not (view.shutting_down_cleanly or view.confirmed_clean_shutdown or peer.previous_clean_shutdown):
        return message
    # Only of the run that its mark was proved for: another one's word is not this one's.
    receiver_clean_shutdown = peer.previous_clean_shutdown and nonce == peer.nonce
    return message._replace(clean_shutdown=view.shutting_down_cleanly, receiver_clean_shutdown=receiver_clean_shutdown, confirmed_clean_shutdown=view.confirmed_clean_shutdown)


def receive_message(view: TierView, message: PeerMessage, uptime: float) -> tuple[TierView, tuple[int, float] | None]:
    """A message came. Also: what to echo in an answer at once, where its sender has not heard us yet."""
    if message.receiver != view.own_number or message.sender == view.own_number or not 0 <= message.sender < len(view.peers):
        return view, None
    peer = view.peers[message.sender]
    known_run = max(peer.known_run, peer.run)
    if message.run < known_run and message.nonce != peer.nonce:
        return view, (message.nonce, message.uptime)  # of the past, or on older files: then it is to know that
    peer = peer._replace(echo_nonce=message.nonce, echo_uptime=message.uptime, known_run=max(known_run, message.run))
    verified = message.echo_nonce == view.nonce
    if verified:
        peer = _apply_verified(peer, message, uptime)
    view = view._replace(peers=view.peers[: message.sender] + (peer,) + view.peers[message.sender + 1 :])
    if verified:
        if message.receiver_run > view.run:
            # It knows a later run of ours than our files did: they were old, and prove nothing.
            run = min(message.receiver_run + 1, MAX_COUNTER)
            view = view._replace(run=run, runs_before_stop=(-1,) * len(view.runs_before_stop), snapshot_outdated=True, confirmed_clean_shutdown=False)
        elif message.receiver_clean_shutdown and message.survived and message.receiver_run == view.run and not view.snapshot_outdated:
            view = view._replace(confirmed_clean_shutdown=True)
        view = view._replace(epoch=max(view.epoch, message.epoch), zone_servers_survived=view.zone_servers_survived or (message.zone_servers_survived and message.survived))
        view = _update_verdict(view, uptime)
    return view, None if verified else (message.nonce, message.uptime)


def _apply_verified(peer: Peer, message: PeerMessage, uptime: float) -> Peer:
    """The sender heard us in this run of ours and of its own: what it says of itself is of now."""
    # It sent this after it heard what we sent at `echo_uptime`: so its run began no earlier than this.
    earliest_start = message.echo_uptime - message.uptime * (1.0 + MAX_CLOCK_DRIFT)
    if message.nonce == peer.nonce:
        return peer._replace(
            run=max(peer.run, message.run),
            earliest_start=max(peer.earliest_start, earliest_start),
            survived=peer.survived or message.survived,
            heard_at=uptime,
            zone=message.zone,
            clean_shutdown=peer.clean_shutdown or message.clean_shutdown,
            confirmed_clean_shutdown=peer.confirmed_clean_shutdown or message.confirmed_clean_shutdown,
            alive_at=max(peer.alive_at, message.echo_uptime),
        )
    restarts = min(peer.restarts + 1, 2) if peer.nonce else peer.restarts
    restart_heard_at, previous_run_heard_at = (uptime, peer.heard_at) if peer.nonce else (0.0, 0.0)
    return peer._replace(
        run=message.run,
        nonce=message.nonce,
        zone=message.zone,
        earliest_start=earliest_start,
        survived=message.survived,
        restarts=restarts,
        restart_heard_at=restart_heard_at,
        previous_run_heard_at=previous_run_heard_at,
        heard_at=uptime,
        clean_shutdown=message.clean_shutdown,
        # What one run said is never said of the next but one, whose end nobody may have heard of.
        previous_clean_shutdown=peer.clean_shutdown and message.run == peer.run + 1,
        confirmed_clean_shutdown=message.confirmed_clean_shutdown,
        alive_at=message.echo_uptime,
        previous_alive_at=peer.alive_at if peer.nonce else 0.0,
    )


def proved_restarted(view: TierView, number: int) -> bool:
    """Whether that peer's run is proved to have begun after our former run's end, or within the slack
    before it."""
    peer = view.peers[number]
    if not peer.nonce or peer.survived:
        return False
    run_before_stop = view.runs_before_stop[number]
    return peer.earliest_start > 0.0 or (run_before_stop >= 0 and peer.run > run_before_stop)


def downtime(view: TierView, number: int) -> tuple[float, float] | None:
    """Between which times of our uptime that peer's former run ended and its present one began, where both
    were heard. By what each message echoes, not by when it came: one that is late, or comes once more, would
    have a run live on beyond its end."""
    peer = view.peers[number]
    return (peer.previous_alive_at, peer.restart_heard_at) if peer.restarts else None


def zone_shut_down_cleanly(view: TierView, zone_peers: list[int]) -> bool:
    """Whether no router of our zone ended otherwise than in order since our files, and its servers lived."""
    return (
        view.confirmed_clean_shutdown
        and view.zone_servers_survived
        and not view.snapshot_outdated
        and all(view.peers[n].confirmed_clean_shutdown and view.peers[n].run <= view.stored_runs[n] + 1 for n in zone_peers)
    )


def receive_control_plane(view: TierView, same_run: bool, uptime: float) -> TierView:
    """The keeper answered; `same`: by the run that answered our former run."""
    if same_run == view.control_plane_survived:
        return view
    return _update_verdict(view._replace(control_plane_survived=same_run), uptime)


def check_deadline(view: TierView, uptime: float) -> TierView:
    """Time has passed."""
    if view.verdict is Verdict.DECIDING and uptime >= view.decision_deadline:
        return _update_verdict(view, uptime)
    return view


def recently_heard_runs(view: TierView, uptime: float, within: float) -> tuple[int, ...]:
    """Runs by number that were heard within so many seconds, -1 for others: what the snapshot keeps."""
    return tuple(peer.run if peer.nonce and uptime - peer.heard_at <= within else -1 for peer in view.peers)


def recent_peer_restarts(view: TierView, uptime: float, within: float) -> int:
    """How many peers began anew within so many seconds while this run lived: a loss elsewhere. Peers that
    are only silent are none of them."""
    return sum(peer.restarts > 0 and uptime - peer.restart_heard_at <= within for peer in view.peers)


def _update_verdict(view: TierView, uptime: float) -> TierView:
    """What is known now. What was proved is not taken back; what was only the time bound's may be."""
    if view.verdict is Verdict.ALL:
        return view
    verdict = _evaluate(view, uptime >= view.decision_deadline)
    if view.verdict is Verdict.ZONE and not (verdict is Verdict.LONE and zone_shut_down_cleanly(view, _zone_peers(view))):
        return view
    if verdict is view.verdict or verdict is Verdict.DECIDING:
        return view
    if uptime > LATE_RESTART_FACTOR * view.decision_deadline and not verdict.fleet_survived:
        return view
    if view.verdict is Verdict.LONE and verdict is not Verdict.ZONE:
        return view
    epoch = view.epoch
    if verdict in (Verdict.ALL, Verdict.MOST) and view.verdict is not Verdict.MOST:
        # Each counts on from its own files, and takes what is higher from others: all come to one number.
        epoch = max(epoch, min(view.stored_epoch + 1, MAX_COUNTER))
    return view._replace(verdict=verdict, decided_at=uptime, epoch=epoch)


def _zone_peers(view: TierView) -> list[int]:
    """The other routers of our zone, of those that were heard."""
    return [n for n, peer in enumerate(view.peers) if n != view.own_number and peer.nonce and peer.zone == view.zone]


def _evaluate(view: TierView, deadline_passed: bool) -> Verdict:
    others = [number for number in range(len(view.peers)) if number != view.own_number]
    restarted = [number for number in others if proved_restarted(view, number)]
    if any(view.peers[number].survived for number in others):
        zone_peers = _zone_peers(view)
        unheard = [n for n in others if not view.peers[n].nonce]
        if zone_peers and not unheard and all(n in restarted for n in zone_peers):
            return Verdict.LONE if zone_shut_down_cleanly(view, zone_peers) else Verdict.ZONE
        # Of a mate that may still come it is not known: it is waited for until the bound.
        zone_peers_survived = any(view.peers[n].survived for n in zone_peers)
        return Verdict.LONE if zone_peers_survived or deadline_passed or not unheard else Verdict.DECIDING
    if len(restarted) == len(others) and not view.control_plane_survived:
        return Verdict.ALL
    if not deadline_passed:
        return Verdict.DECIDING
    return Verdict.MOST if 2 * (len(restarted) + 1) > len(view.peers) else Verdict.APART
