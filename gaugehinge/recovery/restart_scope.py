"""Decides whether only this router restarted, its whole zone, or the whole tier.

The decision rests on messages from peers and answers of the control plane. No I/O and no clock of its own;
every function takes a `TierView` and returns a new one, so that a model checker can search all states.

Four rules:

- A message counts only if it echoes the nonce of this very run. One that was sent before a loss, or is
  delivered twice, proves nothing.
- Only a peer itself can prove that it survived the end of our previous run: in its present run it heard an
  earlier run of ours.
- That a peer's run started after our end is proved by times of our own clock, or by a run number higher than
  the one that we last heard before our end.
- Silence proves nothing. A router that hears too little is `APART`, and claims neither that it survived nor
  that anybody else ended.

A router that shuts down cleanly says so once it has no operation in flight (`begin_shutdown`). This proves
that this run owes nobody an answer, whatever happens to its machine afterwards. It proves nothing about
another run of the router, about other routers, or about servers and their idempotency keys. Peers remember it
for the run whose nonce the message carried, and report it to the run with the next number. `LONE` follows
from it only if all of these hold: our own previous run shut down cleanly; every other router of the zone has
ended at most once since then, and cleanly; and a router that survived knows from its connections that a
server of each cell of our zone survived. The last condition reveals a zone loss during which no router of the
zone was running.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from ..tenancy.lease import MAX_CLOCK_DRIFT

MIN_SLACK = 3.0  # seconds; a peer that started this long before our end still counts as started after it
MAX_COUNTER = (1 << 32) - 1  # limit of run and epoch numbers: messages carry them as 32 bits
# Multiple of the decision deadline; a restart later than that is unrelated to the loss.
LATE_RESTART_FACTOR = 10.0


class Verdict(Enum):
    """What happened to the tier between this router's previous run and this one. Peers are sent the value."""

    DECIDING = 0  # not decided yet; the deadline has not passed
    LONE = 1  # the fleet survived: a peer heard our previous run and is still running
    ZONE = 2  # the fleet survived, but every other router of our zone restarted
    ALL = 3  # every router of the tier restarted
    MOST = 4  # more than half restarted, none reported that it survived, the rest is unknown
    APART = 5  # too little was heard to claim anything

    @property
    def fleet_survived(self) -> bool:
        """Whether part of the fleet is known to have survived."""
        return self in (Verdict.LONE, Verdict.ZONE)


class PeerMessage(NamedTuple):
    """One message from a router to another.

    Times are in seconds, on the clock of the sender's run. The order of the fields is that of the datagram.
    """

    sender: int  # the sender's number in the tier
    receiver: int
    zone: int  # digest of the sender's zone
    run: int  # the sender's run number, counted in its snapshot file
    nonce: int  # drawn at random by each process
    uptime: float  # of the sender's run when this was sent
    echo_nonce: int = 0  # the receiver's nonce that the sender heard last; 0: it heard none
    echo_uptime: float = 0.0  # the uptime in the message that carried that nonce
    receiver_run: int = 0  # the receiver's highest run that the sender knows of, also from its snapshot
    survived: bool = False  # the sender's present run has heard another run of the receiver
    last_heard_ago: float = 0.0  # seconds since it last heard that other run
    epoch: int = 0  # number of losses of most of the fleet
    verdict: int = 0
    ready: bool = False
    wall_clock: float = 0.0  # the sender's wall clock, Unix time
    list_rev: int = 0
    list_checksum: int = 0  # checksum of the servers and their start times
    control_plane_run: int = 0  # digest of the control plane's run; 0: unknown
    store_digest: int = 0  # digest of the name of the control plane's store
    store_revision: int = 0  # of that store, as far as the sender has followed it
    keys_lost_ago: float = -1.0  # seconds since the sender saw servers lose idempotency keys; negative: never
    clean_shutdown: bool = False  # the sender's present run is ending, with nothing in flight
    # The receiver's run with the preceding number announced a clean shutdown to the sender's present run.
    receiver_clean_shutdown: bool = False
    confirmed_clean_shutdown: bool = False  # a survivor confirmed that of the sender's previous run
    # The servers of the receiver's zone survived from the receiver's previous run to its present one.
    zone_servers_survived: bool = False


class Peer(NamedTuple):
    """What is known of one peer. Times are in seconds of our uptime."""

    run: int = 0  # its highest verified run
    nonce: int = 0  # of its present run; 0: nothing is verified yet
    zone: int = 0
    earliest_start: float = 0.0  # lower bound of when its run started; negative: before ours
    survived: bool = False  # its present run survived the end of our previous run
    restarts: int = 0  # times that it restarted during our present run; counted up to 2
    restart_heard_at: float = 0.0  # when the last restarted run was first heard
    previous_run_heard_at: float = 0.0  # when the run before its present one was last heard
    heard_at: float = -1.0  # negative: never
    echo_nonce: int = 0  # the nonce to echo to it
    echo_uptime: float = 0.0  # the uptime in the message that carried that nonce, on the peer's clock
    known_run: int = 0  # its highest run according to its messages or the snapshot
    clean_shutdown: bool = False  # its present run announced a clean shutdown
    previous_clean_shutdown: bool = False  # the run with the preceding number announced one
    confirmed_clean_shutdown: bool = False  # a survivor told it that its own previous run shut down cleanly
    alive_at: float = 0.0  # latest time at which its present run is known to have been alive
    previous_alive_at: float = 0.0  # the same for the run before


class TierView(NamedTuple):
    """All that one router knows of the tier. Its size grows with the number of routers."""

    own_number: int
    zone: int
    run: int
    nonce: int
    peers: tuple[Peer, ...]  # by router number; our own entry stays empty
    runs_before_stop: tuple[int, ...]  # by router number: run heard within the slack before our end, or -1
    decision_deadline: float  # seconds of our uptime by which a verdict is reached
    verdict: Verdict = Verdict.DECIDING
    decided_at: float = 0.0
    epoch: int = 0
    stored_epoch: int = 0  # the epoch in our snapshot
    control_plane_survived: bool = False  # the control plane still has the run that answered our previous run
    stored_runs: tuple[int, ...] = ()  # by router number: the highest run in our snapshot
    snapshot_outdated: bool = False  # our snapshot was not that of our previous run
    confirmed_clean_shutdown: bool = False  # a survivor heard that our previous run shut down cleanly
    zone_servers_survived: bool = False  # a survivor knows that our zone's servers survived since
    shutting_down_cleanly: bool = False  # this run is ending, with nothing in flight


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
    """The view of a router that starts. Without peers the verdict is reached at once.

    `stored_runs`: the highest run of each router in the snapshot; `runs_before_stop`: the runs that were
    heard within the slack before the previous run's end, -1 for the others; `decision_deadline`: in seconds
    of uptime.
    """
    peers = tuple(Peer(known_run=each) for each in stored_runs)
    view = TierView(
        own_number,
        zone,
        run,
        nonce,
        peers,
        runs_before_stop,
        decision_deadline,
        epoch=epoch,
        stored_epoch=epoch,
        stored_runs=stored_runs,
    )
    return _update_verdict(view, 0.0)


def begin_shutdown(view: TierView, in_flight: int) -> TierView:
    """Marks this run as shutting down cleanly, if nothing is in flight; it accepts no further operations.

    With operations in flight nothing is announced: if the router were then lost amid them, peers would
    believe that it owes nobody an answer.
    """
    return view._replace(shutting_down_cleanly=in_flight == 0)


def restart_slack(routers: int, peers_per_second: float) -> float:
    """Seconds within which a live peer is heard again, with a margin.

    `peers_per_second`: how many peers each router sends a message to per second.
    """
    return max(MIN_SLACK, 1.5 * (routers - 1) / peers_per_second) if routers > 1 else MIN_SLACK


def build_message(
    view: TierView,
    receiver: int,
    uptime: float,
    echo: tuple[int, float] | None = None,
    **other_fields: object,
) -> PeerMessage:
    """The next message to a peer.

    `echo`: nonce and uptime of the message that this one answers, if it answers one; `other_fields`: fields
    that are no evidence of runs.
    """
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
    # Only for the run whose nonce is verified: the announcement of another run does not apply to it.
    receiver_clean_shutdown = peer.previous_clean_shutdown and nonce == peer.nonce
    return message._replace(
        clean_shutdown=view.shutting_down_cleanly,
        receiver_clean_shutdown=receiver_clean_shutdown,
        confirmed_clean_shutdown=view.confirmed_clean_shutdown,
    )


def receive_message(
    view: TierView, message: PeerMessage, uptime: float
) -> tuple[TierView, tuple[int, float] | None]:
    """Takes a message into account.

    Also returns the nonce and uptime to echo in an immediate answer, if the sender has not heard this run
    yet.
    """
    if (
        message.receiver != view.own_number
        or message.sender == view.own_number
        or not 0 <= message.sender < len(view.peers)
    ):
        return view, None
    peer = view.peers[message.sender]
    known_run = max(peer.known_run, peer.run)
    if message.run < known_run and message.nonce != peer.nonce:
        # It is a past run, or one with an old snapshot, which has to be told so.
        return view, (message.nonce, message.uptime)
    peer = peer._replace(
        echo_nonce=message.nonce, echo_uptime=message.uptime, known_run=max(known_run, message.run)
    )
    verified = message.echo_nonce == view.nonce
    if verified:
        peer = _apply_verified(peer, message, uptime)
    view = view._replace(peers=view.peers[: message.sender] + (peer,) + view.peers[message.sender + 1 :])
    if verified:
        if message.receiver_run > view.run:
            # It knows a later run of ours than our snapshot does: the snapshot is old and proves nothing.
            run = min(message.receiver_run + 1, MAX_COUNTER)
            view = view._replace(
                run=run,
                runs_before_stop=(-1,) * len(view.runs_before_stop),
                snapshot_outdated=True,
                confirmed_clean_shutdown=False,
            )
        elif (
            message.receiver_clean_shutdown
            and message.survived
            and message.receiver_run == view.run
            and not view.snapshot_outdated
        ):
            view = view._replace(confirmed_clean_shutdown=True)
        view = view._replace(
            epoch=max(view.epoch, message.epoch),
            zone_servers_survived=view.zone_servers_survived
            or (message.zone_servers_survived and message.survived),
        )
        view = _update_verdict(view, uptime)
    return view, None if verified else (message.nonce, message.uptime)


def _apply_verified(peer: Peer, message: PeerMessage, uptime: float) -> Peer:
    """Updates a peer from a message that echoes our nonce: what it says of itself is current."""
    # It sent this after it heard what we sent at `echo_uptime`, so its run started no earlier than this.
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
        # Only for the next run number: if a run in between was missed, nobody may know how that one ended.
        previous_clean_shutdown=peer.clean_shutdown and message.run == peer.run + 1,
        confirmed_clean_shutdown=message.confirmed_clean_shutdown,
        alive_at=message.echo_uptime,
        previous_alive_at=peer.alive_at if peer.nonce else 0.0,
    )


def proved_restarted(view: TierView, number: int) -> bool:
    """Whether that peer's run provably started after our previous run ended, or within the slack before."""
    peer = view.peers[number]
    if not peer.nonce or peer.survived:
        return False
    run_before_stop = view.runs_before_stop[number]
    return peer.earliest_start > 0.0 or (run_before_stop >= 0 and peer.run > run_before_stop)


def downtime(view: TierView, number: int) -> tuple[float, float] | None:
    """The times of our uptime between which that peer was down, if its previous and present runs were heard.

    The first is when its previous run was last known to be alive, the second when its present run was first
    heard. The first goes by what messages echo, not by when they arrive: a late or duplicate message would
    make a run appear alive beyond its end.
    """
    peer = view.peers[number]
    return (peer.previous_alive_at, peer.restart_heard_at) if peer.restarts else None


def zone_shut_down_cleanly(view: TierView, zone_peers: list[int]) -> bool:
    """Whether all ends of our zone's routers since our snapshot were clean, and its servers survived."""
    return (
        view.confirmed_clean_shutdown
        and view.zone_servers_survived
        and not view.snapshot_outdated
        and all(
            view.peers[n].confirmed_clean_shutdown and view.peers[n].run <= view.stored_runs[n] + 1
            for n in zone_peers
        )
    )


def receive_control_plane(view: TierView, same_run: bool, uptime: float) -> TierView:
    """The control plane answered; `same_run`: whether it is the run that answered our previous run."""
    if same_run == view.control_plane_survived:
        return view
    return _update_verdict(view._replace(control_plane_survived=same_run), uptime)


def check_deadline(view: TierView, uptime: float) -> TierView:
    """Reaches a verdict if the deadline has passed without one."""
    if view.verdict is Verdict.DECIDING and uptime >= view.decision_deadline:
        return _update_verdict(view, uptime)
    return view


def recently_heard_runs(view: TierView, uptime: float, within: float) -> tuple[int, ...]:
    """By router number, the run heard within the last `within` seconds, or -1; stored in the snapshot."""
    return tuple(peer.run if peer.nonce and uptime - peer.heard_at <= within else -1 for peer in view.peers)


def recent_peer_restarts(view: TierView, uptime: float, within: float) -> int:
    """How many peers restarted within the last `within` seconds while this run was alive: a loss elsewhere.

    Peers that are merely silent do not count.
    """
    return sum(peer.restarts > 0 and uptime - peer.restart_heard_at <= within for peer in view.peers)


def _update_verdict(view: TierView, uptime: float) -> TierView:
    """Re-evaluates the verdict. A proved one is not revoked; one due to the deadline alone may be."""
    if view.verdict is Verdict.ALL:
        return view
    verdict = _evaluate(view, uptime >= view.decision_deadline)
    if view.verdict is Verdict.ZONE and not (
        verdict is Verdict.LONE and zone_shut_down_cleanly(view, _zone_peers(view))
    ):
        return view
    if verdict is view.verdict or verdict is Verdict.DECIDING:
        return view
    if uptime > LATE_RESTART_FACTOR * view.decision_deadline and not verdict.fleet_survived:
        return view
    if view.verdict is Verdict.LONE and verdict is not Verdict.ZONE:
        return view
    epoch = view.epoch
    if verdict in (Verdict.ALL, Verdict.MOST) and view.verdict is not Verdict.MOST:
        # Each router counts on from its own snapshot and adopts higher epochs of others, so all converge.
        epoch = max(epoch, min(view.stored_epoch + 1, MAX_COUNTER))
    return view._replace(verdict=verdict, decided_at=uptime, epoch=epoch)


def _zone_peers(view: TierView) -> list[int]:
    """The other routers of our zone that were heard."""
    return [
        n
        for n, peer in enumerate(view.peers)
        if n != view.own_number and peer.nonce and peer.zone == view.zone
    ]


def _evaluate(view: TierView, deadline_passed: bool) -> Verdict:
    others = [number for number in range(len(view.peers)) if number != view.own_number]
    restarted = [number for number in others if proved_restarted(view, number)]
    if any(view.peers[number].survived for number in others):
        zone_peers = _zone_peers(view)
        unheard = [n for n in others if not view.peers[n].nonce]
        if zone_peers and not unheard and all(n in restarted for n in zone_peers):
            return Verdict.LONE if zone_shut_down_cleanly(view, zone_peers) else Verdict.ZONE
        # An unheard router may be of our zone and may still report; wait for it until the deadline.
        zone_peers_survived = any(view.peers[n].survived for n in zone_peers)
        return Verdict.LONE if zone_peers_survived or deadline_passed or not unheard else Verdict.DECIDING
    if len(restarted) == len(others) and not view.control_plane_survived:
        return Verdict.ALL
    if not deadline_passed:
        return Verdict.DECIDING
    return Verdict.MOST if 2 * (len(restarted) + 1) > len(view.peers) else Verdict.APART
