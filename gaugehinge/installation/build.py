"""An installation to what a router is told at its start."""

from __future__ import annotations

import secrets
from pathlib import Path

from ..forms import toml
from ..net.configuration import Address, Configuration, address
from ..routing.types import DeduplicationScope, Deployment, Effect, Tenant, TrafficType
from ..settings import Settings
from .form import Installation, TrafficEntry

EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.WITH_IDEMPOTENCY_KEY,
    "unrepeatable": Effect.NON_IDEMPOTENT,
}
GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


def read_installation(path: str | Path) -> Installation:
    """The file as structs. Raises toml.BadFile."""
    return toml.read(path, Installation)


def _traffic(row: int, entry: TrafficEntry) -> TrafficType:
    return TrafficType(
        row,
        EFFECTS[entry.effect],
        GROUPS[entry.group],
        float(entry.memory),
        float(entry.promised_time),
        entry.payoff,
        entry.late_payoff,
    )


def charter_of(told: Installation) -> Settings:
    """The same values that the platform's JSON brings."""
    limits, rules, tier = told.limits, told.rules, told.tier
    deployment = Deployment(
        seed=told.seed or secrets.randbits(63),
        router_number=tier.me,
        router_count=tier.routers,
        traffic_types=tuple(_traffic(i, entry) for i, entry in enumerate(told.traffic)),
        # Followed ones are told later; a place for each that there may be.
        tenants=tuple(Tenant(t.share, float(t.allowance)) for t in told.tenants)
        or (Tenant(0.0, 0.0),) * (told.follow.most_tenants if told.follow.keeper else 0),
        cache_aside=rules.asks_origin,
        origin_kind=rules.origin_kind or None,
        clock_granularity=float(rules.tick),
        max_attempts=limits.legs,
        cold_capacity=rules.cold_from,
        warm_up_time=float(rules.cold_time),
        overload_multiple=rules.fall_multiple,
        overload_time=float(rules.fall_time),
        may_cancel=rules.may_cancel,
        may_gossip=bool(tier.listen),
        must_poll=True,  # over HTTP nothing comes unasked
        max_retry_after=float(limits.come_back),
        over_quota_weight=rules.beyond_share,
        weight_by_work=rules.payoff_by_work,
        has_endpoint_weights=rules.weights,
        zone=tier.zone,
        cross_zone_price=rules.crossing_price,
        one_attempt_per_connection=rules.one_leg_a_connection,
        connection_price=rules.connection_price,
    )
    return Settings(
        deployment,
        {entry.name: i for i, entry in enumerate(told.traffic)},
        {entry.name: i for i, entry in enumerate(told.tenants)}
        or {f"place {i}": i for i in range(len(deployment.tenants))},
        float(limits.connect_time),
        float(limits.idle_time),
        limits.in_hand,
        max(float(entry.abandon_time) for entry in told.traffic),
        rules.reports,
    )


def configuration_of(told: Installation) -> Configuration:
    """What `net.service` starts from."""
    peer_listen: Address | None = address(told.tier.listen, "tier.listen") if told.tier.listen else None
    return Configuration(
        name=told.name,
        listen=address(told.listen.clients, "listen.clients"),
        discovery=address(told.discovery.address, "discovery.address"),
        settings=charter_of(told),
        memory=int(told.limits.memory),
        sockets=told.limits.sockets,
        peer_listen=peer_listen,
        peers=tuple(address(peer, f"tier.peers[{i}]") for i, peer in enumerate(told.tier.peers)),
        cached_list=None,
    )
