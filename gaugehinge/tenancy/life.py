"""The life of a tenant. No I/O, no clock of its own.

    created -> active <-> suspended
        any of these -> leaving -> gone

A tenant that leaves takes nothing new. It is gone when no router has an operation of it in hand and no mark
of it is remembered any more: until then its incarnation stands as a tombstone, so that a repeat of one of its
writes cannot be taken for a first one. A new tenant of the same name is another incarnation with a key space
and marks of its own, and may be made as soon as the old one leaves.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class Stage(Enum):
    """Where a tenant is in its life."""

    CREATED = "created"
    ACTIVE = "active"
    SUSPENDED = "suspended"
    LEAVING = "leaving"
    GONE = "gone"


class Order(Enum):
    """What an operator wants of a tenant."""

    ACTIVATE = "activate"
    SUSPEND = "suspend"
    REMOVE = "remove"


NEXT = {
    (Stage.CREATED, Order.ACTIVATE): Stage.ACTIVE,
    (Stage.SUSPENDED, Order.ACTIVATE): Stage.ACTIVE,
    (Stage.ACTIVE, Order.SUSPEND): Stage.SUSPENDED,
    (Stage.CREATED, Order.REMOVE): Stage.LEAVING,
    (Stage.ACTIVE, Order.REMOVE): Stage.LEAVING,
    (Stage.SUSPENDED, Order.REMOVE): Stage.LEAVING,
}
CLOCKS_APART = 2.0  # seconds by which the clocks of two machines may differ: a mark is kept so much longer
UNHEARD = 30.0  # a router of which nothing was heard for so long has ended: what it had in hand was forfeited


class Refused(Exception):
    """The order makes no sense for a tenant in this stage; the text says why."""


@dataclass(slots=True, frozen=True)
class Tenancy:
    """One incarnation of a tenant."""

    name: str
    incarnation: int  # never used twice, whatever the name
    stage: Stage
    since: float  # when it entered the stage
    marks_until: float = 0.0  # until then a mark of it may be remembered somewhere
    clear: bool = False  # while it leaves: no router takes of it or holds any, as far as was told last

    @property
    def takes(self) -> bool:
        """Whether operations of it are taken in hand."""
        return self.stage is Stage.ACTIVE


@dataclass(slots=True, frozen=True)
class Report:
    """What one router says of one incarnation."""

    heard_at: float
    in_hand: int
    heard_revision: int  # up to which change it follows


def order(tenancy: Tenancy, wanted: Order, memory: float, now: float) -> Tenancy:
    """Carry an order out. `memory`: the longest time that marks of its traffic types are remembered.

    The same order again changes nothing. Raises Refused.
    """
    stage = NEXT.get((tenancy.stage, wanted))
    if stage is None:
        if _is_done(tenancy.stage, wanted):
            return tenancy
        raise Refused(f"{tenancy.name} is {tenancy.stage.value}: it cannot be told to {wanted.value}")
    # A clock that was set back must not shorten what an earlier reading promised.
    until = tenancy.marks_until
    if stage is Stage.LEAVING:
        until = max(until, now + memory + CLOCKS_APART)
    return replace(tenancy, stage=stage, since=max(now, tenancy.since), marks_until=until)


def _is_done(stage: Stage, wanted: Order) -> bool:
    return stage is {Order.ACTIVATE: Stage.ACTIVE, Order.SUSPEND: Stage.SUSPENDED}.get(wanted) or (
        wanted is Order.REMOVE and stage in (Stage.LEAVING, Stage.GONE)
    )


def pass_away(
    tenancy: Tenancy, reports: dict[str, Report], revision: int, memory: float, now: float
) -> Tenancy:
    """A leaving tenant is gone once every router has heard that it leaves (`revision`), has nothing of it in
    hand, and its marks are forgotten; as it is, where one of these is not so yet.

    A router that did not hear of it yet goes on taking its operations. Marks are made up to the first look
    that finds nothing in hand: counted from the last one that did, one made between outlived its tenant.
    """
    if tenancy.stage is not Stage.LEAVING:
        return tenancy
    for report in reports.values():
        if now - report.heard_at > UNHEARD:
            continue
        if report.heard_revision < revision or report.in_hand:
            return replace(tenancy, clear=False)
    if not tenancy.clear:
        until = max(tenancy.marks_until, now + memory + CLOCKS_APART)
        return replace(tenancy, clear=True, marks_until=until)
    if now < tenancy.marks_until:
        return tenancy
    return replace(tenancy, stage=Stage.GONE, since=now)


def may_create(name: str, standing: list[Tenancy]) -> bool:
    """Whether a tenant of this name may be made: not while another of it is neither leaving nor gone."""
    return all(each.name != name or each.stage in (Stage.LEAVING, Stage.GONE) for each in standing)


def create(name: str, standing: list[Tenancy], last_incarnation: int, now: float) -> Tenancy:
    """A new tenant. `last_incarnation`: the highest number ever given. Raises Refused."""
    if not may_create(name, standing):
        raise Refused(f"{name} is there already")
    highest = max([last_incarnation, *(each.incarnation for each in standing)])
    return Tenancy(name, highest + 1, Stage.CREATED, now)


def own_key(tenancy: Tenancy, key: bytes) -> bytes:
    """A key in the tenant's own space, as cache servers and origin see it. Two incarnations never share one.

    A hash tag of the client's goes on to work: the incarnation stands before it, outside the braces.
    """
    return b"%x/%b" % (tenancy.incarnation, key)


def own_mark(tenancy: Tenancy, mark: bytes) -> bytes:
    """A mark in the tenant's own space."""
    return b"%x.%b" % (tenancy.incarnation, mark)


def client_key(own: bytes) -> bytes:
    """The client's part of a key in a tenant's space. Raises ValueError on another one."""
    head, slash, key = own.partition(b"/")
    if not slash or not head or int(head, 16) < 0:
        raise ValueError("no key of a tenant")
    return key
