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


class TenantStage(Enum):
    """Where a tenant is in its life."""

    CREATED = "created"
    ACTIVE = "active"
    SUSPENDED = "suspended"
    LEAVING = "leaving"
    GONE = "gone"


class TenantAction(Enum):
    """What an operator wants of a tenant."""

    ACTIVATE = "activate"
    SUSPEND = "suspend"
    REMOVE = "remove"


TRANSITIONS = {
    (TenantStage.CREATED, TenantAction.ACTIVATE): TenantStage.ACTIVE,
    (TenantStage.SUSPENDED, TenantAction.ACTIVATE): TenantStage.ACTIVE,
    (TenantStage.ACTIVE, TenantAction.SUSPEND): TenantStage.SUSPENDED,
    (TenantStage.CREATED, TenantAction.REMOVE): TenantStage.LEAVING,
    (TenantStage.ACTIVE, TenantAction.REMOVE): TenantStage.LEAVING,
    (TenantStage.SUSPENDED, TenantAction.REMOVE): TenantStage.LEAVING,
}
MAX_CLOCK_SKEW = 2.0  # seconds by which the clocks of two machines may differ: a mark is kept so much longer
ROUTER_TIMEOUT = (
    30.0  # a router of which nothing was heard for so long has ended: what it had in hand was forfeited
)


class LifecycleError(Exception):
    """The order makes no sense for a tenant in this stage; the text says why."""


@dataclass(slots=True, frozen=True)
class TenantIncarnation:
    """One incarnation of a tenant."""

    name: str
    incarnation: int  # never used twice, whatever the name
    stage: TenantStage
    stage_since: float  # when it entered the stage
    deduplication_until: float = 0.0  # until then a mark of it may be remembered somewhere
    drained: bool = False  # while it leaves: no router takes of it or holds any, as far as was told last

    @property
    def accepts_operations(self) -> bool:
        """Whether operations of it are taken in hand."""
        return self.stage is TenantStage.ACTIVE


@dataclass(slots=True, frozen=True)
class RouterReport:
    """What one router says of one incarnation."""

    received_at: float
    in_flight: int
    revision: int  # up to which change it follows


def apply_action(
    tenancy: TenantIncarnation, action: TenantAction, deduplication_window: float, now: float
) -> TenantIncarnation:
    """Carry an order out. `deduplication_window`: the longest time that marks of its traffic types are
    remembered.

    The same order again changes nothing. Raises LifecycleError.
    """
    stage = TRANSITIONS.get((tenancy.stage, action))
    if stage is None:
        if _is_done(tenancy.stage, action):
            return tenancy
        raise LifecycleError(f"{tenancy.name} is {tenancy.stage.value}: it cannot be told to {action.value}")
    # A clock that was set back must not shorten what an earlier reading promised.
    until = tenancy.deduplication_until
    if stage is TenantStage.LEAVING:
        until = max(until, now + deduplication_window + MAX_CLOCK_SKEW)
    return replace(tenancy, stage=stage, stage_since=max(now, tenancy.stage_since), deduplication_until=until)


def _is_done(stage: TenantStage, action: TenantAction) -> bool:
    return stage is {
        TenantAction.ACTIVATE: TenantStage.ACTIVE,
        TenantAction.SUSPEND: TenantStage.SUSPENDED,
    }.get(action) or (action is TenantAction.REMOVE and stage in (TenantStage.LEAVING, TenantStage.GONE))


def finish_removal(
    tenancy: TenantIncarnation,
    reports: dict[str, RouterReport],
    revision: int,
    deduplication_window: float,
    now: float,
) -> TenantIncarnation:
    """A leaving tenant is gone once every router has heard that it leaves (`revision`), has nothing of it in
    hand, and its marks are forgotten; as it is, where one of these is not so yet.

    A router that did not hear of it yet goes on taking its operations. Marks are made up to the first look
    that finds nothing in hand: counted from the last one that did, one made between outlived its tenant.
    """
    if tenancy.stage is not TenantStage.LEAVING:
        return tenancy
    for report in reports.values():
        if now - report.received_at > ROUTER_TIMEOUT:
            continue
        if report.revision < revision or report.in_flight:
            return replace(tenancy, drained=False)
    if not tenancy.drained:
        until = max(tenancy.deduplication_until, now + deduplication_window + MAX_CLOCK_SKEW)
        return replace(tenancy, drained=True, deduplication_until=until)
    if now < tenancy.deduplication_until:
        return tenancy
    return replace(tenancy, stage=TenantStage.GONE, stage_since=now)


def name_is_available(name: str, existing: list[TenantIncarnation]) -> bool:
    """Whether a tenant of this name may be made: not while another of it is neither leaving nor gone."""
    return all(
        each.name != name or each.stage in (TenantStage.LEAVING, TenantStage.GONE) for each in existing
    )


def create_incarnation(
    name: str, existing: list[TenantIncarnation], last_incarnation: int, now: float
) -> TenantIncarnation:
    """A new tenant. `last_incarnation`: the highest number ever given. Raises LifecycleError."""
    if not name_is_available(name, existing):
        raise LifecycleError(f"{name} is there already")
    highest = max([last_incarnation, *(each.incarnation for each in existing)])
    return TenantIncarnation(name, highest + 1, TenantStage.CREATED, now)


def tenant_key(tenancy: TenantIncarnation, key: bytes) -> bytes:
    """A key in the tenant's own space, as cache servers and origin see it. Two incarnations never share one.

    A hash tag of the client's goes on to work: the incarnation stands before it, outside the braces.
    """
    return b"%x/%b" % (tenancy.incarnation, key)


def tenant_idempotency_key(tenancy: TenantIncarnation, idempotency_key: bytes) -> bytes:
    """A mark in the tenant's own space."""
    return b"%x.%b" % (tenancy.incarnation, idempotency_key)


def client_key(tenant_key: bytes) -> bytes:
    """The client's part of a key in a tenant's space. Raises ValueError on another one."""
    head, slash, key = tenant_key.partition(b"/")
    if not slash or not head or int(head, 16) < 0:
        raise ValueError("no key of a tenant")
    return key
