"""What the keeper tells routers, and they it: the forms of the feed, for both sides. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from .credentials import Credential

MAX_TENANTS = 4096  # standing at a time, those that leave among them
MAX_POLL_WAIT = (
    20.0  # seconds that a call waits for news; a router not heard of for longer than that has ended
)
POLL_WAIT = 5.0  # that routers ask for


class TenantRow(
    msgspec.Struct,
    frozen=True,
    rename={
        "slot": "place",
        "quota": "share",
        "rate_limit": "allowance",
        "traffic_types": "traffic",
        "max_wait": "longest_wait",
        "max_value_size": "most_value",
    },
):
    """One incarnation as routers know it."""

    name: str
    incarnation: int
    slot: int  # in the routers' tables, the same at all of them; free again once it is gone
    stage: str
    quota: float
    rate_limit: float
    credentials: list[Credential] = []  # with hashes: they check secrets themselves
    traffic_types: dict[str, str] = {}  # its own names of traffic types, and the installation's; empty: those
    max_wait: float = 0.0  # seconds that its clients may wait; 0: as long as the installation lets them
    max_value_size: int = 0  # bytes of a value that it may write; 0: as many as the protocol lets it


class Feed(
    msgspec.Struct,
    frozen=True,
    rename={
        "store_id": "store",
        "complete": "whole",
        "removed_incarnations": "gone",
        "drained_servers": "drained",
        "lease_duration": "lease",
        "control_plane_run": "keeper_run",
        "revision_digest": "mark",
    },
):
    """Everything, or what changed behind a revision."""

    store_id: str  # which store this is: revisions of another one say nothing
    revision: int
    complete: bool
    tenants: list[TenantRow]
    removed_incarnations: list[int] = []  # incarnations
    drained_servers: list[str] = []  # all servers that operators told to drain, by the list's names
    lease_duration: float = (
        0.0  # seconds, from when the router sent its call: tenancy/lease.py; 0: none is given
    )
    control_plane_run: str = ""  # new with each start of the keeper
    parts: dict[str, msgspec.Raw] = {}  # what each subsystem tells routers, by its name, in a form of its own
    revision_digest: str = (
        ""  # of this revision: one of the same number in another copy of the store has another
    )


class Report(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "store_id": "store",
        "known_revision": "since",
        "max_wait": "wait",
        "in_flight": "in_hand",
        "revision_digest": "mark",
    },
):
    """What a router says with each call for news."""

    router: Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,100}$")]
    run: Annotated[str, Meta(max_length=64, description="new with each start")]
    store_id: Annotated[str, Meta(max_length=64)] = ""  # empty: none is known
    known_revision: Annotated[int, Meta(ge=0)] = 0  # the revision that it follows
    max_wait: Annotated[float, Meta(ge=0, le=MAX_POLL_WAIT)] = 0.0
    in_flight: Annotated[dict[str, int], Meta(max_length=MAX_TENANTS)] = {}  # operations by incarnation
    run_number: Annotated[int, Meta(ge=0)] = 0  # of the router's starts on its files, rising; 0: not known
    parts: Annotated[dict[str, msgspec.Raw], Meta(max_length=16)] = {}  # each subsystem's own report, by name
    revision_digest: Annotated[str, Meta(max_length=64)] = (
        ""  # of `known_revision`, as it was told; empty: none was
    )
