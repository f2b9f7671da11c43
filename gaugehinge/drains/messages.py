"""Messages between routers and the control plane, carried as a part of the feed. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from .lease_types import ConnectionLease, NodeReport

NAME = "drains"  # of the part, as in Report.parts and Feed.parts
MAX_UPSTREAMS = 128  # of one report: the origin, all servers, and servers that are named
MAX_SERVERS = 1024  # of one list

Text = Annotated[str, Meta(max_length=200)]
Counts = Annotated[dict[Text, Annotated[int, Meta(ge=0, le=10**7)]], Meta(max_length=MAX_UPSTREAMS)]


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """A server as discovery listed it to a router."""

    uid: Text
    zone: Text
    kind: Text
    up: bool  # by discovery alone
    started_at: float


class RouterReport(
    msgspec.Struct,
    frozen=True,
    rename={
        "sequence": "turn",
        "issuer": "mark",
        "granted": "holds",
        "open_connections": "counted",
        "demand": "need",
        "admitted_by": "admitted",
        "draining": "leaving",
        "in_flight": "in_hand",
        "succeeded": "settled",
        "cpu_cores": "busy",
        "origin_connections": "used",
        "operation_rate": "rate",
        "draining_servers": "out",
        "cache_attempts": "legs",
        "restart_token": "rolled",
    },
):
    """A router's part of its report. One of another build may have further fields."""

    node: Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,100}@[0-9a-f]{8,32}$")]
    run_number: Annotated[int, Meta(ge=1, le=1 << 53)]
    sequence: Annotated[int, Meta(ge=1, le=1 << 53)]
    number: Annotated[int, Meta(ge=0, le=1 << 53)] = 0
    issuer: Text = ""
    granted: Counts = {}
    open_connections: Counts = {}
    demand: Counts = {}
    floors: Counts = {}
    admitted_by: Text = ""
    closed: bool = False
    zone: Text = ""
    build: Text = ""
    labels: Annotated[list[Text], Meta(max_length=64)] = []
    ready_for: Annotated[float, Meta(ge=0)] = 0.0  # seconds; 0: not ready
    draining: bool = False
    in_flight: Annotated[int, Meta(ge=0)] = 0
    succeeded: Annotated[int, Meta(ge=0)] = 0  # operations since its start
    lost: Annotated[int, Meta(ge=0)] = 0  # operations that were rejected or failed since its start
    cpu_cores: Annotated[float, Meta(ge=0, le=1024)] = 0.0  # recently used
    origin_connections: Annotated[float, Meta(ge=0)] = 0.0  # recent mean of those in use
    operation_rate: Annotated[float, Meta(ge=0)] = 0.0  # recent operations a second
    draining_servers: Annotated[dict[Text, int], Meta(max_length=MAX_SERVERS)] = {}  # connections to each
    cache_attempts: Annotated[int, Meta(ge=0)] = 0  # connections in use to cache servers
    servers: Annotated[list[ServerReport], Meta(max_length=MAX_SERVERS)] = []  # where it was asked for them
    restart_token: Text = ""  # of the rolling restart that ended a run of this node last

    def node_report(self, run: str) -> NodeReport:
        """The part of it that leases are decided by."""
        return NodeReport(
            self.node,
            run,
            self.run_number,
            self.sequence,
            self.number,
            self.issuer,
            dict(self.granted),
            dict(self.open_connections),
            dict(self.demand),
            dict(self.floors),
            self.admitted_by,
            self.closed,
            self.zone,
        )


class ControlPlaneReply(
    msgspec.Struct,
    frozen=True,
    rename={
        "incarnation": "life",
        "issuer": "mark",
        "granted": "values",
        "lease_duration": "lease",
        "predecessors_closed": "clear",
        "close_timeout": "closing",
        "run_number_above": "again",
        "restart_token": "leave",
        "immediate": "hard",
        "wants_servers": "servers",
        "rejection": "refused",
    },
):
    """The control plane's part of an answer."""

    incarnation: str  # of the store
    number: int = 0  # of the lease; 0: none is issued, and what the router holds runs out
    issuer: str = ""
    granted: dict[str, int] = {}
    floors: dict[str, int] = {}
    lease_duration: float = 0.0  # seconds, from when the router sent its report
    predecessors_closed: bool = False  # as in ConnectionLease
    close_timeout: float = 0.0  # seconds after an expired lease in which all above the floors is to be closed
    run_number_above: int = 0  # the state file is older than the node's last run: exceed this run number
    restart_token: str = ""  # of the rolling restart that tells this run to shut down
    immediate: bool = False  # without waiting for what is in flight
    wants_servers: bool = False  # the next report is to list the servers
    rejection: str = ""  # why the node is not admitted

    def lease(self) -> ConnectionLease | None:
        """The lease that it carries; None where it carries none."""
        if not self.number:
            return None
        return ConnectionLease(
            self.number,
            self.issuer,
            dict(self.granted),
            dict(self.floors),
            self.lease_duration,
            self.predecessors_closed,
        )
