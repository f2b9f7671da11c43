"""What clients do: the forms of the `load` part of a script."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..emulator.form import Traffic
from ..forms.toml import BadField
from ..forms.units import Rate, Seconds, default
from ..installation.form import TenantEntry


class Sender(TenantEntry, frozen=True, forbid_unknown_fields=True):
    """A tenant, label `t`, and what it sends."""

    rate: Annotated[Rate, Meta(description="operations a second, first tries")] = default(Rate(50))
    mix: Annotated[
        dict[str, float], Meta(description="weights of its traffic types; without: `load.mix`")
    ] = {}


class Hot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Keys that are asked for far more than the others for a time."""

    start: Annotated[Seconds, Meta(description="from then on")] = default(Seconds(0))
    lasts: Annotated[Seconds, Meta(description="for so long")] = default(Seconds(3600))
    keys: Annotated[int, Meta(description="how many", ge=1)] = 1
    part: Annotated[float, Meta(description="of all operations that go to them", ge=0, le=1)] = 0.3


class Repeats(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What clients do after an answer that is no success."""

    most: Annotated[int, Meta(description="repeats of one operation; 0: none", ge=0, le=20)] = 2
    wait: Annotated[
        Seconds, Meta(description="before the first one, doubled with each, plus half of it by chance")
    ] = default(Seconds(0.3))
    heed: Annotated[bool, Meta(description="stay away for as long as a bounce tells")] = True
    mark: Annotated[bool, Meta(description="repeats carry `r=1`")] = True


class Surge(msgspec.Struct, frozen=True):
    """A tenant sends more, or less, for a time. Made from the steps of a script."""

    tenant: str
    start: float
    lasts: float
    factor: float


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The clients."""

    keys: Annotated[int, Meta(description="how many there are", ge=1, le=10_000_000)] = 5000
    zipf: Annotated[float, Meta(description="how uneven they are asked for; 0: evenly", ge=0, le=3)] = 0.9
    mix: Annotated[
        dict[str, float], Meta(description="weights of the traffic types; without: all alike")
    ] = {}
    hot: tuple[Hot, ...] = ()
    repeats: Repeats = default(Repeats())
    wait: Annotated[
        float, Meta(description="part of the abandon time that clients wait: label `d`", gt=0, le=1)
    ] = 1.0
    hang_up: Annotated[
        float, Meta(description="part of operations whose client leaves early", ge=0, le=1)
    ] = 0.0
    hang_up_after: Annotated[Seconds, Meta(description="at a time by chance up to this")] = default(
        Seconds(0.2)
    )
    fresh: Annotated[
        float, Meta(description="part of operations on a new connection that ends with them", ge=0, le=1)
    ] = 0.0
    ahead: Annotated[
        Seconds, Meta(description="such connections stand silent for so long before their operation is sent")
    ] = default(Seconds(0))
    idle: Annotated[
        int, Meta(description="connections that stand idle beside, opened again when closed", ge=0, le=50_000)
    ] = 0
    connections: Annotated[
        int, Meta(description="in use at most, all workers; above it operations are not sent", ge=1)
    ] = 4000
    workers: Annotated[int, Meta(description="processes", ge=1, le=64)] = 1


class Job(msgspec.Struct, frozen=True):
    """All that one worker is told."""

    load: Load
    senders: tuple[Sender, ...]
    traffic: tuple[Traffic, ...]
    surges: tuple[Surge, ...]
    lasts: float
    seed: int
    targets: tuple[tuple[str, int], ...]
    routers: bool  # the targets are routers, in the order of their numbers
    worker: int
    record: str
    replay: tuple[str, ...] = ()
    speed: float = 1.0


def check_mixes(load: Load, senders: tuple[Sender, ...], traffic: tuple[Traffic, ...]) -> None:
    """All traffic types in the mixes exist, with weights that add up to something. Raises BadField."""
    known = {entry.name for entry in traffic}
    for field, mix in [
        ("load.mix", load.mix),
        *((f"tenants[{i}].mix", s.mix) for i, s in enumerate(senders)),
    ]:
        for name, weight in mix.items():
            if name not in known:
                raise BadField(f"{field}.{name}", "no such traffic type")
            if not 0 <= weight < 1e9:
                raise BadField(f"{field}.{name}", "no weight")
        if mix and not sum(mix.values()):
            raise BadField(field, "all weights are 0")
