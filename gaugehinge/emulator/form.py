"""What is played: the forms of the `emulator` part of a script."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..forms.toml import BadField, above, unique
from ..forms.units import Rate, Seconds, Size, default
from ..installation.form import Rules, TrafficEntry

MOST_SERVERS = 2000  # each takes a listener a router


class Traffic(TrafficEntry, frozen=True, forbid_unknown_fields=True):
    """A traffic type, label `c`, and what its operations cost."""

    service: Annotated[Seconds, Meta(description="mean work at a warm cache server")] = default(
        Seconds(0.004)
    )
    origin: Annotated[Seconds, Meta(description="mean work at the origin")] = default(Seconds(0.04))
    spread: Annotated[
        float, Meta(description="of both: sigma of a lognormal draw; 0: always the mean", ge=0, le=3)
    ] = 0.3
    size: Annotated[Size, Meta(description="bytes of a value")] = default(Size(1024))
    write: Annotated[bool, Meta(description="it changes its key; needed true unless idempotent")] = False

    def __post_init__(self) -> None:
        TrafficEntry.__post_init__(self)
        above("service", self.service)
        above("origin", self.origin)
        if self.effect != "idempotent" and not self.write:
            raise BadField("write", f"must be true for what is {self.effect}")
        if not 1 <= self.size <= 64 * 1024:
            raise BadField("size", "not from 1B to 64KiB")


class Caches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cache servers that are alike."""

    name: Annotated[str, Meta(description="their ids are NAME-0, NAME-1 ...", pattern="^[a-z][a-z0-9]*$")] = (
        "c"
    )
    count: Annotated[int, Meta(ge=1, le=MOST_SERVERS)] = 3
    kind: Annotated[str, Meta(description="`model` in discovery's list")] = "std"
    zone: str = "a"
    cell: Annotated[int, Meta(ge=0)] = 0
    cores: Annotated[int, Meta(description="operations worked on at a time", ge=1, le=1024)] = 4
    speed: Annotated[float, Meta(description="against the stated service times", gt=0, le=1000)] = 1.0
    queue: Annotated[int, Meta(description="operations that wait at most; then `-BUSY`", ge=0)] = 64
    store: Annotated[Size, Meta(description="values held; the longest unused one goes first")] = default(
        Size(16 << 20)
    )
    filled: Annotated[
        float,
        Meta(
            description=(
                "part of all keys that a server holds at its first start, as if it had served for long"
            ),
            ge=0,
            le=1,
        ),
    ] = 0.95
    connections: Annotated[int, Meta(description="held at most; then `-BUSY` and the end", ge=1)] = 256
    idle_close: Annotated[Seconds, Meta(description="a connection idle for so long is closed")] = default(
        Seconds(10.0)
    )
    connect_work: Annotated[
        Seconds, Meta(description="work that the first operation of a connection costs more")
    ] = default(Seconds(0.001))
    down_time: Annotated[Seconds, Meta(description="a server that fell over is back after so long, cold")] = (
        default(Seconds(5.0))
    )
    reports: Annotated[bool, Meta(description="answers hold load reports")] = True


class OriginForm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The origin."""

    cores: Annotated[int, Meta(description="operations worked on at a time", ge=1, le=1024)] = 16
    queue: Annotated[int, Meta(description="operations that wait at most; then 503, turned away", ge=0)] = 128
    shared: Annotated[bool, Meta(description="reads of a key that is being read share its work")] = False
    overrun_multiple: Annotated[
        float, Meta(description="sent more than this many times what it can do,", gt=1)
    ] = 2.0
    overrun_time: Annotated[Seconds, Meta(description="for so long, it stops")] = default(Seconds(2.0))
    stop_time: Annotated[Seconds, Meta(description="for this long")] = default(Seconds(3.0))


class DiscoveryForm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Discovery."""

    lateness: Annotated[Seconds, Meta(description="until a change stands in its list")] = default(
        Seconds(0.1)
    )
    capacity: Annotated[Rate, Meta(description="calls a second; they are worked through in turn")] = default(
        Rate(500)
    )
    longest_wait: Annotated[Seconds, Meta(description="of a watch")] = default(Seconds(60.0))

    def __post_init__(self) -> None:
        above("capacity", self.capacity)


class Front(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Deals the clients' connections to the routers."""

    used: Annotated[bool, Meta(description="false: clients reach the routers directly")] = True
    check_every: Annotated[Seconds, Meta(description="how often each router is asked PING")] = default(
        Seconds(0.5)
    )
    notice: Annotated[Seconds, Meta(description="a router silent for so long gets no new connections")] = (
        default(Seconds(2.0))
    )

    def __post_init__(self) -> None:
        above("check_every", self.check_every)


class Emulator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The systems round the routers."""

    caches: Annotated[tuple[Caches, ...], Meta(min_length=1, max_length=200)] = default((Caches(),))
    origin: OriginForm = default(OriginForm())
    discovery: DiscoveryForm = default(DiscoveryForm())
    front: Front = default(Front())
    processes: Annotated[
        int,
        Meta(
            description=(
                "that play them; from two on, the first has "
                "origin and discovery, the others the cache servers"
            ),
            ge=1,
            le=64,
        ),
    ] = 1

    def __post_init__(self) -> None:
        unique("caches", [group.name for group in self.caches])
        if sum(group.count for group in self.caches) > MOST_SERVERS:
            raise BadField("caches", f"over {MOST_SERVERS} servers")


class World(msgspec.Struct, frozen=True):
    """All that one process of the emulator is told."""

    seed: int
    routers: int
    emulator: Emulator
    traffic: tuple[Traffic, ...]
    rules: Rules
    part: int
    record: str

    @property
    def parts(self) -> int:
        return self.emulator.processes


def servers(emulator: Emulator) -> list[tuple[str, Caches]]:
    """All cache servers by id, in their order."""
    return [(f"{group.name}-{i}", group) for group in emulator.caches for i in range(group.count)]


def part_of(number: int, processes: int) -> int:
    """The process that plays a cache server."""
    return 0 if processes == 1 else 1 + number % (processes - 1)
