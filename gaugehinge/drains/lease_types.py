"""Records of connection leases: what a node reports, what it is granted, and what the store keeps of it.

A node is a router's state file; a run is one process on it. A node on another state file is another node.
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
    """A node that may exist, as the store has it. It is removed by an operator alone.

    `node` is the router's name and the identity of its state file.
    """

    node: str
    run: str = ""
    run_number: int = 0  # counts the starts on its state file, which a lock gives to one run at a time
    number: int = 0  # of its lease; rises with each change, never falls
    issuer: str = ""  # control plane run that issued the lease: a restored store uses numbers again
    granted: ConnectionCounts = {}  # issued under `number`
    ceilings: ConnectionCounts = {}  # most that this run may have open by any lease that it may follow
    lingering: ConnectionCounts = {}  # connections that earlier runs may still have open
    floors: ConnectionCounts = {}  # what it falls back to without a valid lease
    closed: bool = False  # this run reported that it closed everything and opens nothing more
    admission: int = 0  # ordinal of its admission
    zone: str = ""  # as last reported

    def worst_case(self, upstream: str) -> int:
        """Connections that this node may have open at most, those of its earlier runs included."""
        held = count_for(self.ceilings, upstream) + count_for(self.lingering, upstream)
        return max(count_for(self.floors, upstream), held)

    def reissued(self, issuer: str, granted: ConnectionCounts, ceilings: ConnectionCounts) -> NodeRecord:
        """The same node under the next lease number."""
        return msgspec.structs.replace(
            self, number=self.number + 1, issuer=issuer, granted=granted, ceilings=ceilings
        )


@dataclass(slots=True, frozen=True)
class NodeReport:
    """What a node reports. Its DEFAULT_SERVER counts are the highest of any server without its own entry."""

    node: str
    run: str
    run_number: int
    sequence: int  # rises with each report of a run
    number: int  # of the lease that it follows; 0: none
    issuer: str
    granted: ConnectionCounts  # by the lease that it follows; empty once that has expired
    open_connections: ConnectionCounts  # those being opened or closed included
    demand: ConnectionCounts  # recent peak of connections in use or waited for
    floors: ConnectionCounts  # by its state file
    admitted_by: str = ""  # incarnation of the store that admitted it, by its state file
    closed: bool = False
    zone: str = ""


@dataclass(slots=True, frozen=True)
class ConnectionLease:
    """The lease that a node is told. Its duration counts from when the node sent its report."""

    number: int
    issuer: str
    granted: ConnectionCounts
    floors: ConnectionCounts
    duration: float  # seconds
    predecessors_closed: bool = False  # no connection of an earlier run is left: floors are usable at once


class DurableState(
    msgspec.Struct,
    frozen=True,
    rename={
        "longest_lease": "longest",
        "longest_close_timeout": "closing",
        "suspension_reason": "doubt",
    },
):
    """What a control plane has to know of the runs before it, as the store has it."""

    longest_lease: float = 0.0  # seconds of the longest lease that may still be valid
    longest_close_timeout: float = 0.0  # seconds of the longest close timeout that was configured
    admissions: int = 0
    suspension_reason: str = ""  # why unknown nodes may exist; no new node is admitted until it is cleared
