"""Gossip: routers tell each other at which rate they serve each tenant.

A few peers get a message each time, and what was received is scaled up to all routers: the traffic does not
grow with the square of their number.

The rates of more tenants than one datagram holds go out in parts of the table, in turn: a few parts an
interval, all parts of one round to the same peers. A tenant's rates elsewhere are then as old as a round
takes at most: 1 s for 248 tenants, 17 s for 4,096.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from math import inf
from typing import NamedTuple

from .seeded_random import SeededRandom
from .types import Action, BackgroundTask, Decision, Deployment, TaskKind

GOSSIP_INTERVAL = 1.0  # seconds
MIN_INTERVAL_FRACTION = 0.9  # of the interval at least, and a random part of the jitter
INTERVAL_JITTER = 0.2
# Peers that get a message each time: all of a few routers, of hundreds a sample that does not grow with them.
GOSSIP_FANOUT = 6
PEER_EXPIRY = 5.0  # seconds; a peer silent for this long no longer counts
MAX_PAYLOAD_BYTES = 252  # of a message: a datagram has 256, four of which are the channel's
RATE_BYTES = 4
PART_NUMBER_FORMAT = "<H"
PART_NUMBER_BYTES = 2
MAX_UNDIVIDED_TENANTS = MAX_PAYLOAD_BYTES // RATE_BYTES  # whose rates fit one message
PART_TENANTS = (MAX_PAYLOAD_BYTES - PART_NUMBER_BYTES) // RATE_BYTES  # of one part where they do not
MAX_PARTS_PER_INTERVAL = 4


class PeerRates(NamedTuple):
    """The last message of a peer on one part of the tenants."""

    received_at: float
    rates: tuple[float, ...]  # operations a second of each tenant of the part


class Gossip:
    """The rates of peers, and the task of sending them this router's own.

    State: the rates of each peer, by part (an entry leaves when it is stale, all with a change of the
    tenants); the rates of all other routers, summed up from these each time this router sends its own; the
    part that is sent next, and the peers that get this round's parts.
    """

    def __init__(self, deployment: Deployment, random: SeededRandom) -> None:
        self._router_number = deployment.router_number
        self._peer_count = deployment.router_count - 1
        self._may_gossip = deployment.may_gossip
        self._random = random
        self._peer_rates: dict[int, dict[int, PeerRates]] = {}  # by the part's number and the peer's
        self.rates_elsewhere: list[float | None] = []  # None: no peer told of the tenant's part
        self._next_part = 0
        self._round_peers: tuple[int, ...] = ()

    @property
    def peers(self) -> dict[int, PeerRates]:
        """Messages of peers on the first part of the tenants: on all of them, where these are few."""
        return self._peer_rates.get(0, {})

    def begin(self, has_tenants: bool, now: float) -> BackgroundTask | None:
        """Return the standing task of sending messages, where there is any reason for one."""
        if not (self._may_gossip and has_tenants and self._peer_count > 0):
            return None
        return BackgroundTask(TaskKind.GOSSIP, now + GOSSIP_INTERVAL * self._random.fraction())

    def receive(self, peer: int, payload: bytes, tenant_count: int, now: float) -> None:
        """Take over a peer's rates; a message that does not fit the tenants says nothing."""
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
        # One figure that is no number would stay in the tokens for good and end every tenant's quota.
        if all(0.0 <= rate < inf for rate in rates):
            self._peer_rates.setdefault(part, {})[peer] = PeerRates(now, rates)

    def send(self, task: BackgroundTask, rates: Sequence[float], now: float) -> Decision:
        """Send this router's rates, or the next part of them, to some peers, and sum up what peers sent."""
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
        """Forget all rates: the tenants are others from now on."""
        self.rates_elsewhere = []
        self._peer_rates.clear()

    def has_rates(self) -> bool:
        """Whether peers sent anything of late."""
        return bool(self.rates_elsewhere)

    def rate_elsewhere(self, tenant: int) -> float | None:
        """Return a tenant's rate at all other routers, None where no peer sent it of late."""
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
        """Return the peers that get a message this time, in turn from a random one."""
        count = self._peer_count
        first = int(self._random.fraction() * count)
        offsets = [(first + turn) % count for turn in range(min(GOSSIP_FANOUT, count))]
        return tuple((self._router_number + 1 + offset) % (count + 1) for offset in offsets)


def _part_count(tenant_count: int) -> int:
    """Into how many parts a table of tenants is divided."""
    if tenant_count <= MAX_UNDIVIDED_TENANTS:
        return 1
    return -(-tenant_count // PART_TENANTS)


def _part_bounds(part: int, tenant_count: int) -> tuple[int, int]:
    """The first tenant of a part, and the one behind its last."""
    if tenant_count <= MAX_UNDIVIDED_TENANTS:
        return 0, tenant_count
    return part * PART_TENANTS, min((part + 1) * PART_TENANTS, tenant_count)


def _rates_format(tenant_count: int) -> str:
    return f"<{tenant_count}f"
