"""The store's keeper as a process: the API on a listener of its own, snapshots, tombstones that pass away."""

from __future__ import annotations

import signal
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated

import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from loguru import logger
from msgspec import Meta

from ..forms import toml
from ..forms.units import Rate, Seconds, default
from ..installation.form import BadField, endpoint
from ..store.async_store import AsyncStore
from ..store.errors import DiskFullError, RevisionConflictError, StoreOverloadedError
from ..store.records import Mutation, encode
from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import SecretHasher
from ..tenancy.lifecycle import ROUTER_TIMEOUT, TenantStage, finish_removal
from .app import MOST_BODY, Api
from .service import TOMBSTONE, Administration, Part
from .types import Kept

STONES_EVERY = 5.0  # seconds between two looks at tombstones
GRACE = 5.0  # for calls under way, once told to end


class LeasesEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Leases that routers get with each answer (tenancy/lease.py); placement and drains want them."""

    on: Annotated[bool, Meta(description="off: without the keeper routers serve on for ever")] = False
    time: Annotated[Seconds, Meta(description="of each lease, from when its router asked")] = default(
        Seconds(15.0)
    )


class KeepPlacement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shards of tenants pinned to regions (docs/placement.md)."""

    on: Annotated[bool, Meta(description="off: no such calls, nothing told to routers")] = False
    regions: Annotated[
        dict[
            Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,62}$")],
            Annotated[tuple[str, ...], Meta(min_length=1, max_length=64)],
        ],
        Meta(max_length=64, description="name to zones, as `az` in discovery's list"),
    ] = {}
    bears: Annotated[Rate, Meta(description="what a server of weight 1 bears")] = default(Rate(100.0))
    alone: Annotated[
        Seconds,
        Meta(description="a router without the keeper for longer serves no tenant; first pins wait for it"),
    ] = default(Seconds(300.0))
    flight: Annotated[Seconds, Meta(description="in which a leg that was sent has arrived or never will")] = (
        default(Seconds(1.0))
    )
    memory: Annotated[Seconds, Meta(description="longest for which servers remember marks")] = default(
        Seconds(60.0)
    )
    retention: Annotated[
        Seconds, Meta(description="longest for which servers keep a value; `0s`: until they start anew")
    ] = default(Seconds(0.0))
    shards: Annotated[int, Meta(description="of one tenant", ge=1, le=1024)] = 64
    changes: Annotated[int, Meta(description="of one tenant in an hour", ge=1, le=100_000)] = 60

    def __post_init__(self) -> None:
        if self.on and not self.regions:
            raise BadField("regions", "none is named")
        seen: dict[str, str] = {}
        for name, zones in self.regions.items():
            for zone in zones:
                if seen.setdefault(zone, name) != name or zones.count(zone) > 1:
                    raise BadField(f"regions.{name}", f"zone {zone!r} is in {seen[zone]!r} already")


class KeepDrains(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Grants of connections, and rolls of the fleet (docs/drains.md)."""

    on: Annotated[bool, Meta(description="off: no such calls, nothing told to routers")] = False
    origin: Annotated[int, Meta(description="connections that the origin bears in all", ge=0, le=10**6)] = 0
    servers: Annotated[int, Meta(description="that each cache server bears", ge=0, le=10**6)] = 0
    limits: Annotated[
        dict[str, int], Meta(description="that a server bears, by name, where it differs", max_length=64)
    ] = {}
    floor_origin: Annotated[
        int, Meta(description="connections to the origin of a router that is cut off", ge=0, le=10**6)
    ] = 1
    floor_servers: Annotated[int, Meta(description="and to each cache server", ge=0, le=10**6)] = 1
    most_nodes: Annotated[
        int, Meta(description="routers that may exist, those that are lost among them", ge=1, le=4096)
    ] = 16
    reserve: Annotated[
        float, Meta(description="part of each limit that need alone does not get", ge=0, le=0.9)
    ] = 0.1
    closing: Annotated[
        Seconds, Meta(description="within which a store closes what a silent router left open")
    ] = default(Seconds(15.0))
    most_busy: Annotated[float, Meta(description="part of its core that a router bears", gt=0, le=1)] = 0.8
    new_installation: Annotated[
        bool, Meta(description="an empty store is a first start: no node is there that it does not know")
    ] = False

    def __post_init__(self) -> None:
        if not self.on:
            return
        floors = {"origin": self.floor_origin, "servers": self.floor_servers}
        told = {"origin": self.origin, "servers": self.servers}
        named = {f"limits.{name}": most for name, most in self.limits.items()}
        for field, most in {**told, **named}.items():
            least = self.most_nodes * floors.get(field, self.floor_servers)
            if most < max(least, 1):
                raise BadField(field, f"{most} is under {max(least, 1)}, the floors of all nodes")


class KeepFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file of `gaugehinge keep`."""

    store: Annotated[str, Meta(description="path of the store's file", min_length=1)]
    listen: Annotated[str, Meta(description="address and port of the API", examples=["127.0.0.1:7400"])]
    keep_alive: Annotated[Seconds, Meta(description="a connection idle for so long ends")] = default(
        Seconds(30.0)
    )
    numbers_above: Annotated[
        int,
        Meta(description="new tenants' numbers are above; see docs/on-call.md", ge=0, le=1 << 40),
    ] = 0
    leases: LeasesEntry = default(LeasesEntry())
    placement: KeepPlacement = default(KeepPlacement())
    drains: KeepDrains = default(KeepDrains())

    def __post_init__(self) -> None:
        endpoint("listen", self.listen)
        if not self.leases.on and (self.placement.on or self.drains.on):
            raise BadField("leases.on", "placement and drains go by leases")
        if self.placement.on and self.placement.alone < self.leases.time:
            raise BadField("placement.alone", "under leases.time")


def read_keep(path: str | Path) -> KeepFile:
    """The file as a struct. Raises toml.BadFile."""
    return toml.read(path, KeepFile)


async def look_at_stones(administration: Administration) -> int:
    """Let tombstones pass away whose marks are forgotten; how many went."""
    keeper, gone = administration.keeper, 0
    stones = await keeper.run_sync(lambda: keeper.store.items(TOMBSTONE))
    for item in stones:
        kept = msgspec.json.decode(item.body, type=Kept)
        now = keeper.clock()
        reports = administration.reports(kept.incarnation, now)
        # From the first revision of its tombstone on they know that it leaves; later ones only say `clear`.
        after = kept.living(
            finish_removal(kept.tenancy, reports, kept.left_at or item.revision, kept.memory, now)
        )
        if after == kept:
            continue
        after = msgspec.structs.replace(after, left_at=kept.left_at or item.revision)
        body = None if after.stage == TenantStage.GONE.value else encode(after)
        try:
            await keeper.apply([Mutation(TOMBSTONE, item.item_id, body, item.revision)], "keeper")
        except RevisionConflictError:
            continue
        gone += body is None
    return gone


async def stones(administration: Administration) -> None:
    """Look at tombstones until cancelled.

    Not before every router that there may be has had the time to be heard of: a keeper that has just started
    knows of none, and what a router holds would count as forgotten.
    """
    await trio.sleep(ROUTER_TIMEOUT)
    while True:
        await trio.sleep(STONES_EVERY)
        try:
            gone = await look_at_stones(administration)
        except (StoreOverloadedError, DiskFullError) as bad:
            logger.warning("tombstones not looked at: {}", bad)
            continue
        if gone:
            logger.info("tombstones gone: {}", gone)


async def keep(
    told: KeepFile, hasher: SecretHasher | None = None, parts: Sequence[Callable[[Administration], Part]] = ()
) -> None:
    """Serve until told to end (SIGTERM, SIGINT), with the parts that the file switched on. Raises
    StoreUnusableError before anything is served."""
    keeper = AsyncStore(told.store)
    try:
        administration = Administration(keeper, hasher or SecretHasher(), AttemptLimiter(1, keeper.clock()))
        administration.numbers_above = told.numbers_above
        secret = await administration.first_operator()
        await administration.ready()
        if told.leases.on:
            administration.give_leases(float(told.leases.time))
        administration.parts = [part(administration) for part in parts]
        if secret is not None:
            print(f"operator root, shown this once: {secret}", flush=True)
        config = Config()
        config.bind = [told.listen]
        config.keep_alive_timeout = float(told.keep_alive)
        config.h11_max_incomplete_size = 16 * 1024
        config.h2_max_inbound_frame_size = 16 * 1024
        config.wsgi_max_body_size = MOST_BODY
        config.graceful_timeout = GRACE
        config.accesslog = config.errorlog = None
        end = trio.Event()
        async with trio.open_nursery() as nursery:
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

                async def hear() -> None:
                    async for number in signals:
                        logger.info("keeper ends by signal {}", number)
                        end.set()

                nursery.start_soon(hear)
                nursery.start_soon(keeper.run_maintenance)
                nursery.start_soon(stones, administration)
                for part in administration.parts:
                    nursery.start_soon(part.run)
                logger.info("keeper of {} at {}: revision {}", told.store, told.listen, keeper.revision)
                await serve(Api(administration).app(), config, shutdown_trigger=end.wait)
                nursery.cancel_scope.cancel()
        try:
            await keeper.take_snapshot()
        except (OSError, DiskFullError) as bad:  # an end as ordered: the store itself is whole
            logger.error("no snapshot: {}", bad)
    finally:
        keeper.close()
