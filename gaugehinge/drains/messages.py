"""Messages of drains between routers and the control plane, carried as a part of the feed. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from .lease_types import ConnectionLease, NodeReport

NAME = "drains"  # of the part: its key in Report.parts and Feed.parts
MAX_UPSTREAMS = 128  # per report: ORIGIN, DEFAULT_SERVER, and servers with an entry of their own
MAX_SERVERS = 1024  # per list

Text = Annotated[str, Meta(max_length=200)]
Counts = Annotated[dict[Text, Annotated[int, Meta(ge=0, le=10**7)]], Meta(max_length=MAX_UPSTREAMS)]


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """A server as a router received it from discovery."""

    uid: Text
    zone: Text
    kind: Text
    up: bool  # according to discovery alone
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
    """The drains part of a router's report. A report of another build may have further fields."""

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
    succeeded: Annotated[int, Meta(ge=0)] = 0  # operations since the run started
    lost: Annotated[int, Meta(ge=0)] = 0  # rejected or failed operations since the run started
    cpu_cores: Annotated[float, Meta(ge=0, le=1024)] = 0.0  # recent mean of CPU cores used
    origin_connections: Annotated[float, Meta(ge=0)] = 0.0  # recent mean of those in use
    operation_rate: Annotated[float, Meta(ge=0)] = 0.0  # recent operations per second
    # By uid: connections to the server, and attempts that wait for one.
    draining_servers: Annotated[dict[Text, int], Meta(max_length=MAX_SERVERS)] = {}
    # Pending attempts at cache servers: each uses a connection or waits for one.
    cache_attempts: Annotated[int, Meta(ge=0)] = 0
    servers: Annotated[list[ServerReport], Meta(max_length=MAX_SERVERS)] = []  # only if it was asked for them
    restart_token: Text = ""  # of the rolling restart that last shut down a run of this node

    def node_report(self, run: str) -> NodeReport:
        """Return the part of the report that leases depend on."""
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
    """The drains part of the control plane's reply to a report."""

    incarnation: str  # of the store
    number: int = 0  # of the lease; 0: no lease is issued, and the one that the router holds expires
    issuer: str = ""
    granted: dict[str, int] = {}
    floors: dict[str, int] = {}
    lease_duration: float = 0.0  # seconds, counted from when the router sent its report
    predecessors_closed: bool = False  # as in ConnectionLease
    close_timeout: float = 0.0  # seconds after lease expiry to close all connections above the floors
    # Not 0: the state file is older than the node's last run; the router has to take a higher run number.
    run_number_above: int = 0
    restart_token: str = ""  # of the rolling restart that tells this run to shut down
    immediate: bool = False  # shut down without waiting for operations in flight
    wants_servers: bool = False  # the next report has to list the servers
    rejection: str = ""  # why the node is not admitted

    def lease(self) -> ConnectionLease | None:
        """Return the lease in this reply; None if there is none."""
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
