"""Gossip: routers tell each other the rate at which they serve each tenant.

Each message goes to a few peers only, and the received rates are extrapolated to all routers, so that traffic
does not grow with the square of the number of routers.

If the table of tenants does not fit one datagram, it is sent in parts, in turn: a few parts per interval, and
all parts of one round to the same peers. The known rates of a tenant at peers are then at most as old as a
round takes: 1 s for 248 tenants, 17 s for 4,096.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from math import inf
from typing import NamedTuple

from .seeded_random import SeededRandom
from .types import Action, BackgroundTask, Decision, Deployment, TaskKind

GOSSIP_INTERVAL = 1.0  # seconds
MIN_INTERVAL_FRACTION = 0.9  # of the interval; a random part of the jitter is added to it
INTERVAL_JITTER = 0.2  # of the interval
# Peers that each message goes to: every peer in a small deployment, a sample of constant size among hundreds.
GOSSIP_FANOUT = 6
PEER_EXPIRY = 5.0  # seconds without a message after which the rates of a peer are dropped
MAX_PAYLOAD_BYTES = 252  # a datagram has 256 bytes, four of which hold the stamp of the channel
RATE_BYTES = 4
PART_NUMBER_FORMAT = "<H"
PART_NUMBER_BYTES = 2
MAX_UNDIVIDED_TENANTS = MAX_PAYLOAD_BYTES // RATE_BYTES  # tenants whose rates fit one message
PART_TENANTS = (MAX_PAYLOAD_BYTES - PART_NUMBER_BYTES) // RATE_BYTES  # tenants per part
MAX_PARTS_PER_INTERVAL = 4


class PeerRates(NamedTuple):
    """The last rates that a peer sent for one part of the tenants."""

    received_at: float
    rates: tuple[float, ...]  # operations per second, for each tenant of the part


class Gossip:
    """Keeps the rates that peers send, and sends this router's own rates to peers.

    State: the rates of each peer by part (an entry is removed when it expires, and all are when the tenants
    change); the estimated total rates of all other routers, computed from these each time this router sends
    its own; the next part to send, and the peers that get the parts of the current round.
    """

    def __init__(self, deployment: Deployment, random: SeededRandom) -> None:
        self._router_number = deployment.router_number
        self._peer_count = deployment.router_count - 1
        self._may_gossip = deployment.may_gossip
        self._random = random
        self._peer_rates: dict[int, dict[int, PeerRates]] = {}  # by part number, then by peer number
        self.rates_elsewhere: list[float | None] = []  # by tenant; None if no peer sent the tenant's part
        self._next_part = 0
        self._round_peers: tuple[int, ...] = ()

    @property
    def peers(self) -> dict[int, PeerRates]:
        """The last rates of each peer for the first part of the tenants: for all of them if they are few."""
        return self._peer_rates.get(0, {})

    def begin(self, has_tenants: bool, now: float) -> BackgroundTask | None:
        """Return the background task that sends messages, or None if none are to be sent."""
        if not (self._may_gossip and has_tenants and self._peer_count > 0):
            return None
        return BackgroundTask(TaskKind.GOSSIP, now + GOSSIP_INTERVAL * self._random.fraction())

    def receive(self, peer: int, payload: bytes, tenant_count: int, now: float) -> None:
        """Store the rates of a peer; a message that does not match the table of tenants is ignored."""
        part = 0
        if tenant_count > MAX_UNDIVIDED_TENANTS:
            if len(payload) < PART_NUMBER_BYTES:
                return
            [part] = struct.unpack_from(PART_NUMBER_FORMAT, payload)
            payload = payload[PART_NUMBER_BYTES:]
        first, end = _part_bounds(part, tenant_count)
        if first >= end or len(payload) != RATE_BYTES * (end - first):
            return
        rates = struct.unpack(_rates_format(end - first), payload)
        # A single NaN would stay in the token counts for good, and end the quota of every tenant.
        if all(0.0 <= rate < inf for rate in rates):
            self._peer_rates.setdefault(part, {})[peer] = PeerRates(now, rates)

    def send(self, task: BackgroundTask, rates: Sequence[float], now: float) -> Decision:
        """Return the decision to send this router's rates, or the next part of them, to some peers.

        Also updates `rates_elsewhere` from what peers have sent, and sets when the task is due next.
        """
        part_count = _part_count(len(rates))
        jitter = MIN_INTERVAL_FRACTION + INTERVAL_JITTER * self._random.fraction()
        task.due = now + GOSSIP_INTERVAL * jitter / min(part_count, MAX_PARTS_PER_INTERVAL)
        self._summarize(len(rates), now)
        part = self._next_part if self._next_part < part_count else 0
        self._next_part = part + 1
        if part == 0:
            self._round_peers = self._choose_peers()
        first, end = _part_bounds(part, len(rates))
        payload = struct.pack(_rates_format(end - first), *rates[first:end])
        if part_count > 1:
            payload = struct.pack(PART_NUMBER_FORMAT, part) + payload
        return Decision(Action.GOSSIP, payload=payload, peers=self._round_peers)

    def forget(self) -> None:
        """Drop the rates of all peers, since the table of tenants has changed."""
        self.rates_elsewhere = []
        self._peer_rates.clear()

    def has_rates(self) -> bool:
        """Return whether any rates of peers are known."""
        return bool(self.rates_elsewhere)

    def rate_elsewhere(self, tenant: int) -> float | None:
        """Return the rate of a tenant at all other routers, or None if no peer has sent it recently."""
        return self.rates_elsewhere[tenant] if self.rates_elsewhere else None

    def _summarize(self, tenant_count: int, now: float) -> None:
        part_count = _part_count(tenant_count)
        expiry = PEER_EXPIRY + GOSSIP_INTERVAL * (part_count - 1) / MAX_PARTS_PER_INTERVAL
        for part, rates_by_peer in list(self._peer_rates.items()):
            recent = {peer: last for peer, last in rates_by_peer.items() if now - last.received_at < expiry}
            self._peer_rates[part] = recent
            if not recent:
                del self._peer_rates[part]
        self.rates_elsewhere = []
        if self._peer_rates:
            for part in range(part_count):
                self.rates_elsewhere += self._sum_part(part, tenant_count)

    def _sum_part(self, part: int, tenant_count: int) -> Sequence[float | None]:
        rates_by_peer = self._peer_rates.get(part)
        if not rates_by_peer:
            first, end = _part_bounds(part, tenant_count)
            return [None] * (end - first)
        scale = self._peer_count / len(rates_by_peer)
        by_tenant = zip(*[last.rates for last in rates_by_peer.values()], strict=True)
        return [scale * sum(rates) for rates in by_tenant]

    def _choose_peers(self) -> tuple[int, ...]:
        """Return consecutive router numbers, from a random peer on, without this router's own."""
        count = self._peer_count
        first = int(self._random.fraction() * count)
        offsets = [(first + turn) % count for turn in range(min(GOSSIP_FANOUT, count))]
        return tuple((self._router_number + 1 + offset) % (count + 1) for offset in offsets)


def _part_count(tenant_count: int) -> int:
    """Return the number of parts into which the table of tenants is divided."""
    if tenant_count <= MAX_UNDIVIDED_TENANTS:
        return 1
    return -(-tenant_count // PART_TENANTS)


def _part_bounds(part: int, tenant_count: int) -> tuple[int, int]:
    """Return the index of the first tenant of a part, and the index after its last."""
    if tenant_count <= MAX_UNDIVIDED_TENANTS:
        return 0, tenant_count
    return part * PART_TENANTS, min((part + 1) * PART_TENANTS, tenant_count)


def _rates_format(tenant_count: int) -> str:
    return f"<{tenant_count}f"
