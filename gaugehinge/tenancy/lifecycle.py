"""The lifecycle of a tenant. Does no I/O and reads no clock.

    created -> active <-> suspended
        any of these -> leaving -> gone

A leaving tenant accepts no new operations. It is gone once no router has an operation of it in flight and
none of its idempotency keys is remembered anywhere. Until then its incarnation remains as a tombstone, so
that a retry of one of its writes cannot be mistaken for a first attempt. A new tenant of the same name is
another incarnation with a separate key space, and may be created as soon as the old one is leaving.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

MAX_CLOCK_SKEW = 2.0  # seconds between the clocks of two machines; added to the deduplication window
ROUTER_TIMEOUT = 30.0  # seconds without a report after which a router and its operations count as ended


class TenantStage(Enum):
    """A stage of the lifecycle; values are stored and sent."""

    CREATED = "created"
    ACTIVE = "active"
    SUSPENDED = "suspended"
    LEAVING = "leaving"
    GONE = "gone"

    @property
    def is_removed(self) -> bool:
        """Whether the tenant has been removed, so that its name is free."""
        return self in (TenantStage.LEAVING, TenantStage.GONE)


class TenantAction(Enum):
    """A request of an operator."""

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
NO_OP_STAGES = {  # stages in which an action changes nothing because it has been done
    TenantAction.ACTIVATE: (TenantStage.ACTIVE,),
    TenantAction.SUSPEND: (TenantStage.SUSPENDED,),
    TenantAction.REMOVE: (TenantStage.LEAVING, TenantStage.GONE),
}


class LifecycleError(Exception):
    """A request is not valid in the current stage of the tenant."""


class InvalidTransitionError(LifecycleError):
    """An action is not possible in the tenant's stage."""

    def __init__(self, name: str, stage: TenantStage, action: TenantAction) -> None:
        """Build the message."""
        super().__init__(f"{name} is {stage.value}: it cannot be told to {action.value}")


class TenantExistsError(LifecycleError):
    """A tenant of this name exists and has not been removed."""

    def __init__(self, name: str) -> None:
        """Build the message."""
        super().__init__(f"{name} is there already")


@dataclass(slots=True, frozen=True)
class TenantIncarnation:
    """The lifecycle state of one incarnation of a tenant. Times are Unix times."""

    name: str
    incarnation: int  # never used twice, whatever the name
    stage: TenantStage
    stage_since: float
    deduplication_until: float = 0.0  # until then any of its idempotency keys may still be remembered
    drained: bool = False  # while leaving: per the last reports no router accepts or holds its operations

    @property
    def accepts_operations(self) -> bool:
        """Whether routers accept operations of the tenant."""
        return self.stage is TenantStage.ACTIVE


@dataclass(slots=True, frozen=True)
class RouterReport:
    """What one router last reported about one incarnation."""

    received_at: float  # Unix time
    in_flight: int  # operations
    revision: int  # of the store; the router has applied all changes up to it


def apply_action(
    tenant: TenantIncarnation, action: TenantAction, deduplication_window: float, now: float
) -> TenantIncarnation:
    """Return the tenant after an action; repeating an action changes nothing.

    `deduplication_window` is the longest time in seconds for which idempotency keys of the tenant are
    remembered. Raises InvalidTransitionError.
    """
    if tenant.stage in NO_OP_STAGES[action]:
        return tenant
    stage = TRANSITIONS.get((tenant.stage, action))
    if stage is None:
        raise InvalidTransitionError(tenant.name, tenant.stage, action)
    # A clock that was set back must not shorten the deadline computed from an earlier reading.
    deduplication_until = tenant.deduplication_until
    if stage is TenantStage.LEAVING:
        deduplication_until = max(deduplication_until, _deduplication_end(deduplication_window, now))
    return replace(
        tenant,
        stage=stage,
        stage_since=max(now, tenant.stage_since),
        deduplication_until=deduplication_until,
    )


def _deduplication_end(deduplication_window: float, now: float) -> float:
    """Return the time from which no component remembers an idempotency key that is used now."""
    return now + deduplication_window + MAX_CLOCK_SKEW


def finish_removal(
    tenant: TenantIncarnation,
    reports: Mapping[str, RouterReport],
    removal_revision: int,
    deduplication_window: float,
    now: float,
) -> TenantIncarnation:
    """Return a leaving tenant as gone if its removal is complete, else with its removal progress updated.

    It is gone when every router (`reports`, by name) follows the store up to `removal_revision` and has none
    of its operations in flight, and its idempotency keys are forgotten.

    A router that does not follow that revision yet still accepts operations of the tenant. Idempotency keys
    may be used up to the first check that finds nothing in flight, so the deduplication window starts at that
    check. If it started at the last check that found something, a key used between the two checks would be
    remembered for longer than the tombstone exists.
    """
    if tenant.stage is not TenantStage.LEAVING:
        return tenant
    if _may_be_in_flight(reports.values(), removal_revision, now):
        return replace(tenant, drained=False)
    if not tenant.drained:
        deduplication_until = max(tenant.deduplication_until, _deduplication_end(deduplication_window, now))
        return replace(tenant, drained=True, deduplication_until=deduplication_until)
    if now < tenant.deduplication_until:
        return tenant
    return replace(tenant, stage=TenantStage.GONE, stage_since=now)


def _may_be_in_flight(reports: Iterable[RouterReport], removal_revision: int, now: float) -> bool:
    """Whether a router may still accept or hold operations of a tenant removed at a revision."""
    return any(
        report.revision < removal_revision or report.in_flight != 0
        for report in reports
        if now - report.received_at <= ROUTER_TIMEOUT
    )


def name_is_available(name: str, existing: Iterable[TenantIncarnation]) -> bool:
    """Whether every existing tenant of this name, if there is any, has been removed."""
    return all(tenant.name != name or tenant.stage.is_removed for tenant in existing)


def create_incarnation(
    name: str, existing: list[TenantIncarnation], last_incarnation: int, now: float
) -> TenantIncarnation:
    """Return a new tenant; `last_incarnation` is the highest number ever used. Raises TenantExistsError."""
    if not name_is_available(name, existing):
        raise TenantExistsError(name)
    highest = max([last_incarnation, *(tenant.incarnation for tenant in existing)])
    return TenantIncarnation(name, highest + 1, TenantStage.CREATED, now)
