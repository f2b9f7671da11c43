"""A play of many processes: one keeper, routers, servers, discovery and origin as processes of their own,
with links between them that can be broken and histories that are checked afterwards.

The interface that plays of recovery, placement and drains are written against; `company` makes it.

    async with company(folder, seed=7, plan=Plan(routers=5, servers=6, zones=("a", "b", "c"))) as all_:
        await all_.ready()
        all_.load(rate=80.0, lasts=6.0)             # clients, in the background, recorded
        all_.link("router-0", "keeper", Fault(State.SILENT))
        all_.kill("router-1"); all_.start("router-1", files="older")
        all_.stop("router-2"); all_.go_on("router-2")
        all_.power_loss(); await all_.power_back(gaps=1.0)
        await all_.load_over()
    assert not check(list(read_history(folder)), all_.bounds())
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

import httpx

from ..emulator.link import Fault
from ..histories.checks import Bounds


@dataclass(slots=True, frozen=True)
class Plan:
    """What plays."""

    routers: int = 5
    servers: int = 6
    zones: tuple[str, ...] = ("a", "b", "c")  # servers and routers stand in them in turn
    tenants: tuple[str, ...] = ("acme", "bolt")
    asks_origin: bool = True  # servers only store, misses and writes go to the origin
    work: float = 0.002  # seconds of a hit at a server; the origin takes ten times as long
    origin_bears: int = 0  # connections that the origin bears; 0: not limited
    server_bears: int = 0  # that each server bears from all routers
    warm_up: float = 2.0  # seconds for which a server that has just started counts as cold
    lease: float = 1.5  # seconds that the keeper gives routers
    keep: dict[str, Any] = field(default_factory=dict)  # further tables of the keeper's file, as in TOML
    serve: dict[str, Any] = field(default_factory=dict)  # further tables of each router's file


class Company(Protocol):
    """All that plays. Names: `keeper`, `discovery`, `origin`, `router-N`, `server-N`."""

    folder: Path  # histories, logs and each party's files
    secrets: dict[str, str]  # by tenant

    async def ready(self) -> None:
        """Until every process is up, routers follow the keeper and answer PING."""

    def api(self, secret: str = "") -> httpx.AsyncClient:
        """The keeper's API, as the first operator or as the bearer of a secret; every call is on record."""

    def load(self, rate: float, lasts: float, **shape: Any) -> None:
        """Clients that send so many operations a second in all, each at a router, until it is over. Clients
        of a router that is gone go to another one. Those that are bounced come back when told to."""

    async def load_over(self) -> None:
        """Until all operations of the load have ended."""

    def link(self, one: str, other: str, fault: Fault) -> None:
        """Change a link; `Fault()` heals it."""

    def kill(self, *names: str) -> None:
        """SIGKILL, all at one instant."""

    def stop(self, name: str) -> None:
        """SIGSTOP."""

    def go_on(self, name: str) -> None:
        """SIGCONT."""

    def end(self, name: str) -> None:
        """SIGTERM."""

    def start(self, name: str, files: str = "same") -> None:
        """Start anew on its files: `same`, `older` (of `keep_copy`), `torn`, `empty`, `unwritable`."""

    def keep_copy(self, name: str) -> None:
        """Keep its files as they are now, for a later start with `older`."""

    async def up(self, *names: str) -> None:
        """Until these are ready."""

    def power_loss(self, zone: str = "") -> None:
        """Everything (of a zone) killed at one instant; marks and memories of servers are gone."""

    async def power_back(self, gaps: float = 0.5, order: tuple[str, ...] = ()) -> None:
        """Everything that is down started in an order and with gaps of up to `gaps` s drawn by the seed."""

    def bounds(self) -> Bounds:
        """What the checks allow in this play."""
