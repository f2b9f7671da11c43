"""Data types of connection leases: node reports, issued leases, and the records in the store.

A node is identified by a router's state file, and a run is one process that uses that file. The same router
with another state file is another node.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from .connection_counts import ConnectionCounts, count_for


class NodeRecord(
    msgspec.Struct,
    frozen=True,
    rename={"issuer": "mark", "granted": "values", "lingering": "remains"},
):
    """Stored record of a node that may exist. Only an operator removes it.

    `node` combines the router's name with the identity of its state file.
    """

    node: str
    run: str = ""
    run_number: int = 0  # number of starts on the state file; a file lock admits one run at a time
    number: int = 0  # of the lease; increases with each change and never decreases
    issuer: str = ""  # control plane run that issued the lease; a restored store may reuse numbers
    granted: ConnectionCounts = {}  # connections granted under lease `number`
    ceilings: ConnectionCounts = {}  # most that this run may have open under any lease it may still follow
    lingering: ConnectionCounts = {}  # connections that earlier runs may still have open
    floors: ConnectionCounts = {}  # connections allowed without a valid lease
    closed: bool = False  # this run reported that it closed all its connections and opens no more
    admission: int = 0  # ordinal number of its admission
    zone: str = ""  # as last reported

    def worst_case(self, upstream: str) -> int:
        """Return the most connections this node may have open, including those of its earlier runs."""
        held = count_for(self.ceilings, upstream) + count_for(self.lingering, upstream)
        return max(count_for(self.floors, upstream), held)

    def reissued(self, issuer: str, granted: ConnectionCounts, ceilings: ConnectionCounts) -> NodeRecord:
        """Return this record with a new grant under the next lease number."""
        return msgspec.structs.replace(
            self, number=self.number + 1, issuer=issuer, granted=granted, ceilings=ceilings
        )


@dataclass(slots=True, frozen=True)
class NodeReport:
    """A node's report. Its DEFAULT_SERVER counts are the highest of any server without its own entry."""

    node: str
    run: str
    run_number: int
    sequence: int  # increases with each report of a run
    number: int  # of the lease that the node follows; 0: none
    issuer: str
    granted: ConnectionCounts  # by the lease that the node follows; empty once it has expired
    open_connections: ConnectionCounts  # including those being opened or closed
    demand: ConnectionCounts  # recent peak of connections in use or waited for
    floors: ConnectionCounts  # as stored in its state file
    admitted_by: str = ""  # incarnation of the store that admitted it, as stored in its state file
    closed: bool = False
    zone: str = ""


@dataclass(slots=True, frozen=True)
class ConnectionLease:
    """A lease as sent to a node. Its duration starts when the node sent the report that it answers."""

    number: int
    issuer: str
    granted: ConnectionCounts
    floors: ConnectionCounts
    duration: float  # seconds
    predecessors_closed: bool = False  # no connection of an earlier run remains, so floors are usable at once


class DurableState(
    msgspec.Struct,
    frozen=True,
    rename={
        "longest_lease": "longest",
        "longest_close_timeout": "closing",
        "suspension_reason": "doubt",
    },
):
    """What the store keeps for later control plane runs about the runs before them."""

    longest_lease: float = 0.0  # seconds; longest lease that may still be valid
    longest_close_timeout: float = 0.0  # seconds; longest close timeout ever configured
    admissions: int = 0
    suspension_reason: str = ""  # why unknown nodes may exist; while set, no new node is admitted
