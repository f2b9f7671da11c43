"""What the keeper tells routers, and they it: the forms of the feed, for both sides. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from .credentials import Credential

MOST_TENANTS = 4096  # standing at a time, those that leave among them
MOST_WAIT = 20.0  # seconds that a call waits for news; a router not heard of for longer than that has ended
WAIT = 5.0  # that routers ask for


class TenantRow(msgspec.Struct, frozen=True):
    """One incarnation as routers know it."""

    name: str
    incarnation: int
    place: int  # in the routers' tables, the same at all of them; free again once it is gone
    stage: str
    share: float
    allowance: float
    credentials: list[Credential] = []  # with hashes: they check secrets themselves
    traffic: dict[str, str] = {}  # its own names of traffic types, and the installation's; empty: those
    longest_wait: float = 0.0  # seconds that its clients may wait; 0: as long as the installation lets them
    most_value: int = 0  # bytes of a value that it may write; 0: as many as the protocol lets it


class Feed(msgspec.Struct, frozen=True):
    """Everything, or what changed behind a revision."""

    store: str  # which store this is: revisions of another one say nothing
    revision: int
    whole: bool
    tenants: list[TenantRow]
    gone: list[int] = []  # incarnations
    drained: list[str] = []  # all servers that operators told to drain, by the list's names
    lease: float = 0.0  # seconds, from when the router sent its call: tenancy/lease.py; 0: none is given
    keeper_run: str = ""  # new with each start of the keeper
    parts: dict[str, msgspec.Raw] = {}  # what each subsystem tells routers, by its name, in a form of its own
    mark: str = ""  # of this revision: one of the same number in another copy of the store has another


class Report(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a router says with each call for news."""

    router: Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,100}$")]
    run: Annotated[str, Meta(max_length=64, description="new with each start")]
    store: Annotated[str, Meta(max_length=64)] = ""  # empty: none is known
    since: Annotated[int, Meta(ge=0)] = 0  # the revision that it follows
    wait: Annotated[float, Meta(ge=0, le=MOST_WAIT)] = 0.0
    in_hand: Annotated[dict[str, int], Meta(max_length=MOST_TENANTS)] = {}  # operations by incarnation
    run_number: Annotated[int, Meta(ge=0)] = 0  # of the router's starts on its files, rising; 0: not known
    parts: Annotated[dict[str, msgspec.Raw], Meta(max_length=16)] = {}  # each subsystem's own report, by name
    mark: Annotated[str, Meta(max_length=64)] = ""  # of `since`, as it was told; empty: none was
