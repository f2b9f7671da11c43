"""The installation file's form. The reference page and the schema are made from these structs."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..forms.toml import BadField, above, unique
from ..forms.units import Rate, Seconds, Size, default

LEAST_MEMORY = 32 << 20  # under this the interpreter and its buffers do not fit
LEAST_SOCKETS = 64  # with fewer there is no room for clients beside the attempts


def endpoint(field: str, told: str) -> None:
    """`10.0.0.4:6379` or `[::1]:6379`. Raises BadField."""
    host, _, port = told.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        good = 0 < int(port) < 65536
    except ValueError:
        good = False
    if not good:
        raise BadField(field, f"{told!r} is no numeric address and port")


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the router serves."""

    clients: Annotated[
        str, Meta(description="address and port for clients, RESP2", examples=["127.0.0.1:6379"])
    ]

    def __post_init__(self) -> None:
        endpoint("clients", self.clients)


class DiscoveryAt(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the list of cache servers comes from."""

    address: Annotated[
        str, Meta(description="address and port of discovery, HTTP/1.1", examples=["127.0.0.1:7300"])
    ]

    def __post_init__(self) -> None:
        endpoint("address", self.address)


class Tier(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The routers that serve side by side."""

    me: Annotated[int, Meta(description="this router's number among them, from 0", ge=0)] = 0
    routers: Annotated[int, Meta(description="how many there are", ge=1, le=100_000)] = 1
    listen: Annotated[str, Meta(description="address for their datagrams; empty: none are heard")] = ""
    peers: Annotated[tuple[str, ...], Meta(description="their addresses in the order of their numbers")] = ()
    zone: Annotated[str, Meta(description="the zone that this router stands in, as `az` in the list")] = ""

    def __post_init__(self) -> None:
        if self.me >= self.routers:
            raise BadField("me", f"{self.me} is not among {self.routers} routers")
        if self.listen:
            endpoint("listen", self.listen)
        for i, peer in enumerate(self.peers):
            endpoint(f"peers[{i}]", peer)


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the router may use."""

    memory: Annotated[Size, Meta(description="memory; buffers and operations in hand follow it")] = default(
        Size(192 << 20)
    )
    sockets: Annotated[int, Meta(description="file descriptors", ge=LEAST_SOCKETS, le=1 << 20)] = 1024
    legs: Annotated[int, Meta(description="legs of one operation at most", ge=1, le=100)] = 4
    in_hand: Annotated[int, Meta(description="operations in hand at most", ge=1, le=1 << 20)] = 20_000
    connect_time: Annotated[Seconds, Meta(description="a connection to a server is up by then or never")] = (
        default(Seconds(0.25))
    )
    idle_time: Annotated[Seconds, Meta(description="servers close what stood idle for this long")] = default(
        Seconds(10.0)
    )
    come_back: Annotated[
        Seconds,
        Meta(description="longest time that a bounced client is told to stay away; `0s`: none is told"),
    ] = default(Seconds(2.0))

    def __post_init__(self) -> None:
        if self.memory < LEAST_MEMORY:
            raise BadField("memory", "under 32MiB")
        above("connect_time", self.connect_time)
        above("idle_time", self.idle_time)


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is true of the cache servers and the origin."""

    cold_from: Annotated[
        float, Meta(description="part of its speed that a cold server starts with", gt=0, le=1)
    ] = 0.3
    cold_time: Annotated[Seconds, Meta(description="until a cold server is warm")] = default(Seconds(8.0))
    fall_multiple: Annotated[
        float,
        Meta(
            description="sent more than this many times what it can do, a cold server falls over",
            ge=1,
            le=100,
        ),
    ] = 2.5
    fall_time: Annotated[Seconds, Meta(description="after so long of that")] = default(Seconds(3.0))
    origin_kind: Annotated[str, Meta(description="the `model` that marks the origin in discovery's list")] = (
        "origin"
    )
    asks_origin: Annotated[
        bool, Meta(description="a miss comes back to the router, which asks the origin itself")
    ] = True
    may_cancel: Annotated[bool, Meta(description="closing a connection gives up the leg on it")] = True
    tick: Annotated[Seconds, Meta(description="grain of time")] = default(Seconds(0.005))
    beyond_share: Annotated[
        float, Meta(description="part of the payoff beyond a tenant's share", ge=0, le=1)
    ] = 1.0
    payoff_by_work: Annotated[bool, Meta(description="payoffs count for the work, not each operation")] = (
        False
    )
    weights: Annotated[
        bool, Meta(description="the list's `capacity_hint` tells what each server bears beside the others")
    ] = False
    reports: Annotated[
        bool, Meta(description="answers hold `active`, the operations that the server holds")
    ] = False
    connection_price: Annotated[
        float, Meta(description="of a new connection, in payoffs; over 0, walks prefer idle ones", ge=0)
    ] = 0.0
    crossing_price: Annotated[
        float, Meta(description="of a leg to another zone; from 0.05, walks start in `tier.zone`", ge=0)
    ] = 0.0
    one_leg_a_connection: Annotated[
        bool, Meta(description="servers take one operation at a time on a connection")
    ] = False

    def __post_init__(self) -> None:
        above("tick", self.tick)
        above("cold_time", self.cold_time)


class TenantEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant, label `t`."""

    name: Annotated[str, Meta(description="as in the label", min_length=1, max_length=200)]
    share: Annotated[float, Meta(description="its weight against the others", ge=0)] = 1.0
    allowance: Annotated[
        Rate, Meta(description="operations a second over all routers that are inside its share")
    ] = default(Rate(0))


class TrafficEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A traffic type, label `c`."""

    name: Annotated[str, Meta(description="as in the label", min_length=1, max_length=200)]
    effect: Annotated[
        Literal["idempotent", "deduplicated", "unrepeatable"],
        Meta(description="what a repeat does: nothing, nothing while its mark is remembered, harm"),
    ]
    promised_time: Annotated[Seconds, Meta(description="answers after it earn `late_payoff` of the payoff")]
    abandon_time: Annotated[Seconds, Meta(description="longest wait of a client")] = default(Seconds(3.0))
    group: Annotated[
        Literal["all", "zone", "cell"], Meta(description="the servers that drop each other's repeats")
    ] = "cell"
    memory: Annotated[Seconds, Meta(description="how long marks are remembered")] = default(Seconds(0))
    payoff: Annotated[float, Meta(description="of one answer in time", ge=0)] = 1.0
    late_payoff: Annotated[float, Meta(description="part of it for a late one", ge=0, le=1)] = 0.0

    def __post_init__(self) -> None:
        above("promised_time", self.promised_time)
        above("abandon_time", self.abandon_time)
        if self.effect == "deduplicated":
            above("memory", self.memory)


class DoorEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The door: fair turns by tenant and client before anything is taken in hand (docs/door.md)."""

    on: Annotated[bool, Meta(description="off: what comes is taken in hand at once, to fixed limits")] = False
    client: Annotated[
        str,
        Meta(
            description="the label that names a client; empty: each connection is one",
            pattern="^[a-z0-9_]{0,32}$",
        ),
    ] = ""


class CommandEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A command that cluster clients may use (docs/cluster.md)."""

    name: Annotated[str, Meta(description="in any case", pattern="^[A-Za-z][A-Za-z0-9.]{0,31}$")]
    traffic: Annotated[str, Meta(description="its traffic type, which says what a repeat does")]
    write: Annotated[
        bool, Meta(description="it changes its key; needed true unless its type is idempotent")
    ] = False
    keys: Annotated[
        Literal["first", "all", "pairs"],
        Meta(description="where keys stand: the first word, all words, every second one before a value"),
    ] = "first"
    joined: Annotated[
        Literal["one", "list", "sum", "ok"],
        Meta(description="how the answers of several keys become one"),
    ] = "one"
    least: Annotated[int, Meta(description="words behind its name, at least", ge=1, le=4096)] = 1
    most: Annotated[int, Meta(description="and at most", ge=1, le=4096)] = 1

    def __post_init__(self) -> None:
        if self.most < self.least:
            raise BadField("most", f"under least, {self.least}")
        if self.keys != "first" and self.joined == "one":
            raise BadField("joined", "several keys have several answers")


class ClusterEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The cluster dialect of RESP, for clients and for servers (docs/cluster.md)."""

    listen: Annotated[str, Meta(description="address and port for its clients; empty: none are served")] = ""
    routers: Annotated[
        tuple[str, ...],
        Meta(description="where clients reach the routers of the tier, in the order of their numbers"),
    ] = ()
    servers: Annotated[
        bool, Meta(description="cache servers are cluster-mode servers: slots, redirections, plain commands")
    ] = False
    replicas: Annotated[bool, Meta(description="reads may go to replicas, which may be behind")] = False
    tenant: Annotated[str, Meta(description="the tenant of all who come this way")] = ""
    command: Annotated[tuple[CommandEntry, ...], Meta(max_length=256)] = ()

    def __post_init__(self) -> None:
        if self.listen:
            endpoint("listen", self.listen)
            if not self.routers:
                raise BadField("routers", "clients need to know at least this router")
        for i, each in enumerate(self.routers):
            endpoint(f"routers[{i}]", each)
        unique("command", [entry.name.upper() for entry in self.command])


class FollowEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Tenants, credentials and orders from a keeper, without a restart (docs/tenants.md)."""

    keeper: Annotated[
        str, Meta(description="address and port of the administration API; empty: tenants stand in this file")
    ] = ""
    secret_file: Annotated[str, Meta(description="file with the secret of role `router`")] = ""
    snapshot: Annotated[
        str, Meta(description="file for what was heard last: a start without the keeper serves by it")
    ] = ""
    most_tenants: Annotated[
        int, Meta(description="places for tenants, those that leave among them", ge=1, le=4096)
    ] = 256

    def __post_init__(self) -> None:
        if self.keeper:
            endpoint("keeper", self.keeper)
            if not self.secret_file:
                raise BadField("secret_file", "the keeper tells hashes to nobody without one")


class RecoveryEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Recovery of the whole fleet from a power loss (docs/recovery.md)."""

    on: Annotated[bool, Meta(description="off: a router starts as if it were alone")] = False
    key_file: Annotated[
        str, Meta(description="file with the key of the tier's messages, one for all routers, 16 bytes up")
    ] = ""
    snapshot: Annotated[
        str, Meta(description="file for what is kept over an end; made by the router, one for each")
    ] = ""
    every: Annotated[Seconds, Meta(description="between two writings of it")] = default(Seconds(1.0))
    decide: Annotated[
        Seconds, Meta(description="by then it is decided whether this is a lone restart or a loss of all")
    ] = default(Seconds(3.0))
    keeper_wait: Annotated[
        Seconds, Meta(description="longest wait of clients for the keeper, from the start")
    ] = default(Seconds(6.0))
    list_wait: Annotated[
        Seconds, Meta(description="the same for discovery; then the list kept from before serves reads")
    ] = default(Seconds(6.0))
    doubt: Annotated[
        Seconds,
        Meta(description="a keeper or a list from before what was heard is followed after so long only"),
    ] = default(Seconds(30.0))
    repeats: Annotated[
        Seconds, Meta(description="after a loss repeats of unrepeatable operations may come for so long")
    ] = default(Seconds(5.0))
    origin: Annotated[
        Rate, Meta(description="operations a second that the origin bears from all routers; 0: learnt")
    ] = default(Rate(0))
    cold_reads: Annotated[
        Rate, Meta(description="reads a second that one cold server bears from all routers; 0: learnt")
    ] = default(Rate(0))

    def __post_init__(self) -> None:
        if not self.on:
            return
        for name in ("key_file", "snapshot"):
            if not getattr(self, name):
                raise BadField(name, "missing")
        for name in ("every", "decide"):
            above(name, getattr(self, name))


class PlacementEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shards of tenants pinned to regions, as the keeper tells (docs/placement.md)."""

    on: Annotated[bool, Meta(description="off: every key may go to every server")] = False


class DrainsEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Connections to limited stores only as granted by the keeper (docs/drains.md)."""

    on: Annotated[bool, Meta(description="off: connections by this router's own limits alone")] = False
    file: Annotated[
        str, Meta(description="file by which this router is known over its runs; one for each, kept by it")
    ] = ""
    build: Annotated[str, Meta(description="of this router, as rolls name builds", max_length=200)] = ""
    labels: Annotated[
        tuple[str, ...], Meta(description="of this router, for rolls to choose by", max_length=64)
    ] = ()

    def __post_init__(self) -> None:
        if self.on and not self.file:
            raise BadField("file", "missing")


class Installation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One router of an installation."""

    listen: Listen
    discovery: DiscoveryAt
    traffic: Annotated[
        tuple[TrafficEntry, ...], Meta(description="the table of traffic types", min_length=1, max_length=256)
    ]
    name: Annotated[str, Meta(description="in its log", min_length=1, max_length=200)] = "router"
    seed: Annotated[int, Meta(description="of its draws; 0: new with every start", ge=0)] = 0
    tenants: Annotated[tuple[TenantEntry, ...], Meta(max_length=4096)] = ()
    tier: Tier = default(Tier())
    limits: Limits = default(Limits())
    rules: Rules = default(Rules())
    door: DoorEntry = default(DoorEntry())
    cluster: ClusterEntry = default(ClusterEntry())
    follow: FollowEntry = default(FollowEntry())
    recovery: RecoveryEntry = default(RecoveryEntry())
    placement: PlacementEntry = default(PlacementEntry())
    drains: DrainsEntry = default(DrainsEntry())

    def __post_init__(self) -> None:
        if self.follow.keeper and self.tenants:
            raise BadField("tenants", "they come from the keeper that is followed")
        if self.follow.keeper and self.cluster.tenant:
            raise BadField("cluster.tenant", "connections say which tenant they are of")
        for name in ("placement", "drains"):
            if getattr(self, name).on and not self.follow.keeper:
                raise BadField(f"{name}.on", "wants a keeper to follow (follow.keeper)")
        if self.placement.on and self.cluster.servers:
            raise BadField("placement.on", "cluster-mode servers say themselves who serves a key")
        if self.recovery.on and self.tier.routers > 1 and not self.tier.listen:
            raise BadField("recovery.on", "wants messages between the routers (tier.listen)")
        unique("traffic", [entry.name for entry in self.traffic])
        unique("tenants", [entry.name for entry in self.tenants])
        if self.tier.listen and len(self.tier.peers) != self.tier.routers:
            raise BadField("tier.peers", f"{len(self.tier.peers)} addresses for {self.tier.routers} routers")
        self._check_cluster()

    def _check_cluster(self) -> None:
        told = self.cluster
        types = {entry.name: entry for entry in self.traffic}
        if told.listen and len(told.routers) != self.tier.routers:
            counts = f"{len(told.routers)} addresses for {self.tier.routers} routers"
            raise BadField("cluster.routers", counts)
        if told.tenant and told.tenant not in {entry.name for entry in self.tenants}:
            raise BadField("cluster.tenant", f"no tenant {told.tenant!r}")
        for i, entry in enumerate(told.command):
            kind = types.get(entry.traffic)
            if kind is None:
                raise BadField(f"cluster.command[{i}].traffic", f"no traffic type {entry.traffic!r}")
            if kind.effect != "idempotent" and not entry.write:
                raise BadField(f"cluster.command[{i}].write", f"must be true for what is {kind.effect}")
            if kind.effect == "deduplicated":
                # Its commands carry no mark: repeats would be dropped by nobody, or by chance.
                raise BadField(f"cluster.command[{i}].traffic", "wants marks, which commands lack")
            if not told.servers and entry.name.upper() not in ("GET", "SET", "MGET", "MSET"):
                raise BadField(f"cluster.command[{i}].name", "only cluster-mode servers know it")
        if told.servers:
            if self.rules.asks_origin:
                raise BadField("rules.asks_origin", "must be false where cluster-mode servers are the store")
            for i, kind in enumerate(self.traffic):
                if kind.effect == "deduplicated":
                    raise BadField(f"traffic[{i}].effect", "cluster-mode servers drop no repeats")


REFERENCE = (
    "Installation file",
    "TOML, read by `gaugehinge serve FILE` and `gaugehinge check FILE`. "
    "Figures carry their units. An unknown field, "
    "a wrong type, a figure out of its bounds or two entries of one name: exit "
    "2 and one line with the field's path. "
    "Made by `gaugehinge schema --page`.",
)
