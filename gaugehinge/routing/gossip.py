"""Gossip: routers tell each other at which rate they serve each tenant.

A few peers get a message each time, and what was received is scaled up to all routers: the traffic does not
grow with the square of their number.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from math import inf
from typing import NamedTuple

from .seeded_random import SeededRandom
from .types import Action, BackgroundTask, Decision, Deployment, TaskKind

GOSSIP_INTERVAL = 1.0  # seconds
MIN_INTERVAL_PART = 0.9  # of the interval at least, and a random part of the jitter
INTERVAL_JITTER = 0.2
# Peers that get a message each time: all of a few routers, of hundreds a sample that does not grow with them.
GOSSIP_FANOUT = 6
PEER_EXPIRY = 5.0  # seconds; a peer silent for this long no longer counts


class PeerRates(NamedTuple):
    """The last message of a peer."""

    received_at: float
    rates: tuple[float, ...]  # operations a second of each tenant


class Gossip:
    """The rates of peers, and the task of sending them this router's own.

    State: the rates of each peer (an entry leaves when it is stale, all with a change of the tenants);
    the rates of all other routers, summed up from these each time this router sends its own.
    """

    def __init__(self, deployment: Deployment, random: SeededRandom) -> None:
        self._router_number = deployment.router_number
        self._peer_count = deployment.router_count - 1
        self._is_allowed = deployment.may_gossip
        self._random = random
        self.peers: dict[int, PeerRates] = {}
        self.rates_elsewhere: list[float] = []

    def begin(self, has_tenants: bool, now: float) -> BackgroundTask | None:
        """Return the standing task of sending messages, where there is any reason for one."""
        if not (self._is_allowed and has_tenants and self._peer_count > 0):
            return None
        return BackgroundTask(TaskKind.GOSSIP, now + GOSSIP_INTERVAL * self._random.fraction())

    def receive(self, peer: int, payload: bytes, tenant_count: int, now: float) -> None:
        """Take over a peer's rates; a message that does not fit the tenants says nothing."""
        if len(payload) != struct.calcsize(_layout(tenant_count)):
            return
        rates = struct.unpack(_layout(tenant_count), payload)
        # One figure that is no number would stay in the tokens for good and end every tenant's quota.
        if all(0.0 <= rate < inf for rate in rates):
            self.peers[peer] = PeerRates(now, rates)

    def send(self, task: BackgroundTask, rates: Sequence[float], now: float) -> Decision:
        """Send this router's rates to some peers, and sum up what peers sent."""
        jitter = MIN_INTERVAL_PART + INTERVAL_JITTER * self._random.fraction()
        task.due = now + GOSSIP_INTERVAL * jitter
        self._summarize(now)
        payload = struct.pack(_layout(len(rates)), *rates)
        return Decision(Action.GOSSIP, payload=payload, peers=self._choose_peers())

    def forget(self) -> None:
        """Forget all rates: the tenants are others from now on."""
        self.rates_elsewhere = []
        self.peers.clear()

    def has_rates(self) -> bool:
        """Whether peers sent anything of late."""
        return bool(self.rates_elsewhere)

    def rate_elsewhere(self, tenant: int) -> float:
        """Return a tenant's rate at all other routers."""
        return self.rates_elsewhere[tenant]

    def _summarize(self, now: float) -> None:
        self.peers = {
            number: last for number, last in self.peers.items() if now - last.received_at < PEER_EXPIRY
        }
        scale = self._peer_count / max(len(self.peers), 1)
        by_tenant = zip(*[last.rates for last in self.peers.values()], strict=True)
        self.rates_elsewhere = [scale * sum(rates) for rates in by_tenant]

    def _choose_peers(self) -> tuple[int, ...]:
        """Return the peers that get a message this time, in turn from a random one."""
        count = self._peer_count
        first = int(self._random.fraction() * count)
        offsets = [(first + turn) % count for turn in range(min(GOSSIP_FANOUT, count))]
        return tuple((self._router_number + 1 + offset) % (count + 1) for offset in offsets)


def _layout(tenant_count: int) -> str:
    return f"<{tenant_count}f"
