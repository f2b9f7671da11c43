"""The configuration file of the control plane.

Keys and sections are named as installations have them in their files, and error texts name them.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from ..forms import toml
from ..forms.units import Rate, Seconds, default
from ..installation.form import BadField, endpoint


class LeasesConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section `[leases]`: leases that routers get with each answer; placement and drains need them."""

    on: Annotated[bool, Meta(description="off: without the control plane routers serve on for ever")] = False
    time: Annotated[Seconds, Meta(description="of each lease, from when its router asked")] = default(
        Seconds(15.0)
    )


class PlacementConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section `[placement]`: shards of tenants pinned to regions (docs/placement.md)."""

    on: Annotated[bool, Meta(description="off: no such calls, nothing told to routers")] = False
    regions: Annotated[
        dict[
            Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,62}$")],
            Annotated[tuple[str, ...], Meta(min_length=1, max_length=64)],
        ],
        Meta(max_length=64, description="name to zones, as `az` in discovery's list"),
    ] = {}
    bears: Annotated[Rate, Meta(description="capacity of a server of weight 1")] = default(Rate(100.0))
    alone: Annotated[
        Seconds,
        Meta(description="a router that is cut off for longer serves no tenant; first pins wait for it"),
    ] = default(Seconds(300.0))
    flight: Annotated[
        Seconds, Meta(description="in which an attempt that was sent has arrived or never will")
    ] = default(Seconds(1.0))
    memory: Annotated[Seconds, Meta(description="longest for which servers remember deduplication marks")] = (
        default(Seconds(60.0))
    )
    retention: Annotated[
        Seconds, Meta(description="longest for which servers keep a value; `0s`: until they start anew")
    ] = default(Seconds(0.0))
    shards: Annotated[int, Meta(description="of one tenant", ge=1, le=1024)] = 64
    changes: Annotated[int, Meta(description="of one tenant in an hour", ge=1, le=100_000)] = 60

    def __post_init__(self) -> None:
        """Check the regions; raises BadField."""
        if self.on and not self.regions:
            raise BadField("regions", "none is named")
        region_of: dict[str, str] = {}
        for name, zones in self.regions.items():
            for zone in zones:
                if region_of.setdefault(zone, name) != name or zones.count(zone) > 1:
                    raise BadField(f"regions.{name}", f"zone {zone!r} is in {region_of[zone]!r} already")


class DrainsConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section `[drains]`: connection leases and rolling restarts (docs/drains.md)."""

    on: Annotated[bool, Meta(description="off: no such calls, nothing told to routers")] = False
    origin: Annotated[int, Meta(description="connections that the origin accepts in all", ge=0, le=10**6)] = 0
    servers: Annotated[
        int, Meta(description="connections that each cache server accepts", ge=0, le=10**6)
    ] = 0
    limits: Annotated[
        dict[str, int], Meta(description="the same for one server, by name, where it differs", max_length=64)
    ] = {}
    floor_origin: Annotated[
        int, Meta(description="connections to the origin of a router that is cut off", ge=0, le=10**6)
    ] = 1
    floor_servers: Annotated[int, Meta(description="and to each cache server", ge=0, le=10**6)] = 1
    most_nodes: Annotated[
        int, Meta(description="routers that may exist, those that are lost among them", ge=1, le=4096)
    ] = 16
    reserve: Annotated[
        float, Meta(description="part of each limit that is not granted by demand alone", ge=0, le=0.9)
    ] = 0.1
    closing: Annotated[
        Seconds, Meta(description="within which a store closes what a silent router left open")
    ] = default(Seconds(15.0))
    most_busy: Annotated[float, Meta(description="part of its core that a router may use", gt=0, le=1)] = 0.8
    new_installation: Annotated[
        bool, Meta(description="an empty store is a first start: no node is there that it does not know")
    ] = False

    def __post_init__(self) -> None:
        """Check that each limit covers the floors of all routers; raises BadField."""
        if not self.on:
            return
        floors = {"origin": self.floor_origin, "servers": self.floor_servers}
        limits = {
            "origin": self.origin,
            "servers": self.servers,
            **{f"limits.{name}": limit for name, limit in self.limits.items()},
        }
        for field, limit in limits.items():
            floor = self.most_nodes * floors.get(field, self.floor_servers)
            if limit < max(floor, 1):
                raise BadField(field, f"{limit} is under {max(floor, 1)}, the floors of all nodes")


class ControlPlaneConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration file of `gaugehinge control-plane`."""

    store: Annotated[str, Meta(description="path of the store's file", min_length=1)]
    listen: Annotated[str, Meta(description="address and port of the API", examples=["127.0.0.1:7400"])]
    keep_alive: Annotated[Seconds, Meta(description="a connection idle for so long ends")] = default(
        Seconds(30.0)
    )
    numbers_above: Annotated[
        int,
        Meta(description="new tenants' numbers are above; see docs/on-call.md", ge=0, le=1 << 40),
    ] = 0
    leases: LeasesConfig = default(LeasesConfig())
    placement: PlacementConfig = default(PlacementConfig())
    drains: DrainsConfig = default(DrainsConfig())

    def __post_init__(self) -> None:
        """Check what spans several sections; raises BadField."""
        endpoint("listen", self.listen)
        if not self.leases.on and (self.placement.on or self.drains.on):
            raise BadField("leases.on", "placement and drains go by leases")
        if self.placement.on and self.placement.alone < self.leases.time:
            raise BadField("placement.alone", "under leases.time")


def read_config(path: str | Path) -> ControlPlaneConfig:
    """Read and check a configuration file.

    Raises:
        toml.BadFile: It cannot be read, or a value in it is not allowed; the error names the field.
    """
    return toml.read(path, ControlPlaneConfig)
