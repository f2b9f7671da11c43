"""Messages between the control plane and the routers that watch it. Does no I/O.

A router sends a `Report` and gets a `Feed`: the full state, or the changes since the revision that it knows.
Fields keep their wire names through `rename`; the class names appear in the API's OpenAPI description.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from .credentials import Credential

MAX_TENANTS = 4096  # at a time, tombstones included
MAX_POLL_WAIT = 20.0  # seconds that a call may wait for changes; less than `lifecycle.ROUTER_TIMEOUT`
POLL_WAIT = 5.0  # seconds that routers ask for


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
    """One incarnation of a tenant as routers know it."""

    name: str
    incarnation: int
    slot: int  # index in the tenant tables of all routers; reused once the incarnation is gone
    stage: str  # value of a `lifecycle.TenantStage`
    quota: float  # weight relative to other tenants
    rate_limit: float  # operations a second over all routers
    credentials: list[Credential] = []  # routers check secrets themselves against the hashes
    traffic_types: dict[str, str] = {}  # maps the tenant's names to the installation's; empty: same names
    max_wait: float = 0.0  # seconds that its clients may wait; 0: the installation's limit
    max_value_size: int = 0  # bytes; 0: the protocol's limit


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
    """The state as of a revision, or what changed since the revision that the router knew."""

    store_id: str  # revisions of another store cannot be compared with this one's
    revision: int
    complete: bool  # whether `tenants` lists all tenants
    tenants: list[TenantRow]
    removed_incarnations: list[int] = []
    drained_servers: list[str] = []  # all servers that operators drain, named as in the discovery list
    lease_duration: float = 0.0  # seconds from when the router sent its report (see `lease`); 0: no lease
    control_plane_run: str = ""  # new with each start of the control plane
    parts: dict[str, msgspec.Raw] = {}  # messages by subsystem name, each in the subsystem's format
    revision_digest: str = ""  # distinguishes the revision from the same number in another store copy


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
    """What a router reports with each call for changes."""

    router: Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,100}$")]
    run: Annotated[str, Meta(max_length=64, description="new with each start")]
    store_id: Annotated[str, Meta(max_length=64)] = ""  # empty: the router knows no store yet
    known_revision: Annotated[int, Meta(ge=0)] = 0  # the revision that the router follows
    max_wait: Annotated[float, Meta(ge=0, le=MAX_POLL_WAIT)] = 0.0  # seconds
    in_flight: Annotated[dict[str, int], Meta(max_length=MAX_TENANTS)] = {}  # operations by incarnation
    run_number: Annotated[int, Meta(ge=0)] = 0  # counts the starts on the router's files; 0: unknown
    parts: Annotated[dict[str, msgspec.Raw], Meta(max_length=16)] = {}  # reports by subsystem name
    revision_digest: Annotated[str, Meta(max_length=64)] = ""  # of `known_revision`, as received in the feed
