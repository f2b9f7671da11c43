"""What routers and the keeper tell each other of drains, within the feed's parts. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from .lease_types import ConnectionLease, NodeReport

NAME = "drains"  # as in Report.parts and Feed.parts
MOST_STORES = 128  # of one report: the origin, all servers, and servers that are named
MOST_SERVERS = 1024  # of one list

Text = Annotated[str, Meta(max_length=200)]
Counts = Annotated[dict[Text, Annotated[int, Meta(ge=0, le=10**7)]], Meta(max_length=MOST_STORES)]


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """A server as discovery told it to a router."""

    uid: Text
    zone: Text
    kind: Text
    up: bool  # by discovery's word alone
    started: float


class RouterReport(msgspec.Struct, frozen=True):
    """A router's part of its report. Of another build it may have fields more: a fleet is rolled by it."""

    node: Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,100}@[0-9a-f]{8,32}$")]
    run_number: Annotated[int, Meta(ge=1, le=1 << 53)]
    turn: Annotated[int, Meta(ge=1, le=1 << 53)]
    number: Annotated[int, Meta(ge=0, le=1 << 53)] = 0
    mark: Text = ""
    holds: Counts = {}
    counted: Counts = {}
    need: Counts = {}
    floors: Counts = {}
    admitted: Text = ""
    closed: bool = False
    zone: Text = ""
    build: Text = ""
    labels: Annotated[list[Text], Meta(max_length=64)] = []
    ready_for: Annotated[float, Meta(ge=0)] = 0.0  # seconds; 0: not ready
    leaving: bool = False
    in_hand: Annotated[int, Meta(ge=0)] = 0
    settled: Annotated[int, Meta(ge=0)] = 0  # operations since its start
    lost: Annotated[int, Meta(ge=0)] = 0  # bounced or forfeited
    busy: Annotated[float, Meta(ge=0, le=1024)] = 0.0  # cores used of late
    used: Annotated[float, Meta(ge=0)] = 0.0  # mean connections in use to the origin of late
    rate: Annotated[float, Meta(ge=0)] = 0.0  # operations a second of late
    out: Annotated[dict[Text, int], Meta(max_length=MOST_SERVERS)] = {}  # connections to draining servers
    legs: Annotated[int, Meta(ge=0)] = 0  # connections in use to cache servers
    servers: Annotated[list[ServerReport], Meta(max_length=MOST_SERVERS)] = []  # where it was asked for them
    rolled: Text = ""  # what told a run on these files to end last

    def word(self, run: str) -> NodeReport:
        """What of it grants go by."""
        return NodeReport(
            self.node,
            run,
            self.run_number,
            self.turn,
            self.number,
            self.mark,
            dict(self.holds),
            dict(self.counted),
            dict(self.need),
            dict(self.floors),
            self.admitted,
            self.closed,
            self.zone,
        )


class ControlPlaneReply(msgspec.Struct, frozen=True):
    """The keeper's part of an answer."""

    life: str  # of the store
    number: int = 0  # of the grant; 0: none is told, and what the router holds runs out
    mark: str = ""
    values: dict[str, int] = {}
    floors: dict[str, int] = {}
    lease: float = 0.0  # seconds, from when the router asked
    clear: bool = False  # as in Grant
    closing: float = 0.0  # seconds within which all over its floor has to be closed once its lease is over
    again: int = 0  # its run number has to be over this: its files are older than its last run
    leave: str = ""  # the roll that tells this run to end
    hard: bool = False  # at once, with what is in hand
    servers: bool = False  # say the list
    refused: str = ""  # why it is not admitted

    def grant(self) -> ConnectionLease | None:
        """None where none is told."""
        if not self.number:
            return None
        return ConnectionLease(
            self.number, self.mark, dict(self.values), dict(self.floors), self.lease, self.clear
        )
