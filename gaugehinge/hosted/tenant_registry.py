"""The tenants that a router knows from the control plane's feed. Does no I/O and has no clock of its own.

Each incarnation of a tenant has an index in the routers' tables, the same at all routers. An index is
reassigned only after every router reported that it has no operation of its tenant in flight; its table
entries are then reset.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..routing.types import Tenant
from ..tenancy.feed import Feed
from ..tenancy.lifecycle import TenantStage
from .errors import FeedError
from .principal import Principal, read_principal


@dataclass(slots=True, frozen=True)
class RegistryChange:
    """The changes of a feed that routing has to apply."""

    tenants: tuple[Tenant, ...]
    reset_indexes: set[int]  # table entries to reset, as another incarnation has the index now
    drained: frozenset[str] | None  # servers that operators drain; None: unchanged


@dataclass(slots=True, eq=False)
class TenantRegistry:
    """All principals, by incarnation, tenant index and credential."""

    revision: int = 0
    store: str = ""
    revision_digest: str = ""  # digest of the revision, as the control plane sent it
    control_plane_run: str | None = None  # the run that sent the revision; None: it is from a snapshot
    drained: frozenset[str] = frozenset()
    by_incarnation: dict[int, Principal] = field(default_factory=dict)
    by_index: dict[int, Principal] = field(default_factory=dict)
    by_credential: dict[str, Principal] = field(default_factory=dict)
    log: list[str] = field(default_factory=list)  # messages to be logged; the caller empties it

    @property
    def known(self) -> bool:
        """Whether any feed was ever applied."""
        return bool(self.store)

    def restore(self, snapshot: Feed) -> RegistryChange | None:
        """Apply a feed that `snapshot` returned in an earlier run of this router. Raises FeedError."""
        change = self.follow(snapshot)
        self.control_plane_run = None
        return change

    def reject_outdated(self, feed: Feed) -> None:
        """Raise FeedError for a feed that is older than the one applied last.

        Within one run of the control plane revisions never decrease, and a store is restored only between two
        runs. So such a feed is a copy of an earlier response, and its changes would be applied to a wrong
        state.
        """
        if feed.store_id != self.store or feed.revision >= self.revision:
            return
        if not feed.complete or feed.control_plane_run == self.control_plane_run:
            raise FeedError(f"revision {feed.revision} is older than revision {self.revision}")

    def follow(self, feed: Feed) -> RegistryChange | None:
        """Apply a feed; return the changes for routing, None if there are none.

        Raises FeedError, in which case nothing has changed.
        """
        self.reject_outdated(feed)
        principals = [read_principal(row) for row in feed.tenants]
        kept = self._kept_principals(feed, principals)
        by_index = _by_index(kept, principals)
        reset_indexes = {index for index, each in by_index.items() if self._is_new_at(index, each, feed)}
        drained = frozenset(feed.drained_servers)
        drains_changed = drained != self.drained or not self.known
        self._apply(feed, kept, by_index)
        if not (principals or feed.removed_incarnations or feed.complete or drains_changed):
            return None
        self.drained = drained
        return RegistryChange(self.tenants(), reset_indexes, drained if drains_changed else None)

    def tenants(self) -> tuple[Tenant, ...]:
        """Return the tenant table by index, for routing; tenants that are not active have no quota."""
        size = max(self.by_index, default=0) + 1
        table = [Tenant(0.0, 0.0)] * size
        for index, principal in self.by_index.items():
            if principal.stage is TenantStage.ACTIVE:
                table[index] = Tenant(principal.quota, principal.rate_limit)
        return tuple(table)

    def snapshot(self) -> Feed:
        """Return the whole state as a feed that `follow` accepts."""
        rows = [principal.row for principal in self.by_incarnation.values()]
        return Feed(
            self.store,
            self.revision,
            True,
            rows,
            [],
            sorted(self.drained),
            revision_digest=self.revision_digest,
        )

    def _kept_principals(self, feed: Feed, principals: list[Principal]) -> dict[int, Principal]:
        """Return the known principals that the feed keeps, without its own rows. Raises FeedError."""
        numbers = {principal.incarnation for principal in principals}
        if len(numbers) != len(principals) or not feed.store_id or feed.revision < 0:
            raise FeedError("duplicate incarnation, no store ID or negative revision")
        if feed.complete:
            return {}
        if feed.store_id != self.store:
            raise FeedError("changes are from another store")
        kept = dict(self.by_incarnation)
        for number in feed.removed_incarnations:
            kept.pop(number, None)
        return kept

    def _is_new_at(self, index: int, principal: Principal, feed: Feed) -> bool:
        former = self.by_index.get(index)
        if former is None or former.incarnation != principal.incarnation:
            return True
        return not self._is_same_tenant(former, principal, feed)

    def _apply(self, feed: Feed, kept: dict[int, Principal], by_index: dict[int, Principal]) -> None:
        for number, former in self.by_incarnation.items():
            newer = kept.get(number)
            if newer is None or not self._is_same_tenant(former, newer, feed):
                former.removed = True  # connections authenticated as this principal still refer to it
                self.log.append(f"tenant {former.name} #{number} removed at revision {feed.revision}")
            elif newer is not former:
                self._log_stage(former, newer, feed.revision)
                former.update(newer)
                kept[number] = by_index[newer.tenant_index] = former
        self.by_incarnation, self.by_index = kept, by_index
        self.by_credential = {
            ident: principal for principal in kept.values() for ident in principal.credentials
        }
        self.store, self.revision, self.revision_digest = feed.store_id, feed.revision, feed.revision_digest
        self.control_plane_run = feed.control_plane_run

    def _is_same_tenant(self, former: Principal, newer: Principal, feed: Feed) -> bool:
        """Whether an incarnation number still denotes the same tenant.

        Another store assigns the same numbers again, even to tenants of the same name. If the principal of
        the former tenant were updated then, connections of that tenant could access the keys of the new one.
        Across stores, only a shared credential proves that it is the same tenant, as its hash has a random
        salt.
        """
        if newer.name != former.name:
            return False
        return feed.store_id == self.store or bool(_secret_hashes(former) & _secret_hashes(newer))

    def _log_stage(self, former: Principal, newer: Principal, revision: int) -> None:
        if newer.stage is not former.stage:
            change = f"{former.stage.value} to {newer.stage.value} at revision {revision}"
            self.log.append(f"tenant {newer.name} #{newer.incarnation} {change}")


def _secret_hashes(principal: Principal) -> set[str]:
    return {credential.secret_hash for credential in principal.credentials.values()}


def _by_index(kept: dict[int, Principal], principals: list[Principal]) -> dict[int, Principal]:
    """Add `principals` to `kept`; return all by index. Raises FeedError if two have the same index."""
    numbers = {principal.incarnation for principal in principals}
    by_index = {each.tenant_index: each for each in kept.values() if each.incarnation not in numbers}
    for principal in principals:
        if principal.tenant_index in by_index:
            raise FeedError(f"tenant index {principal.tenant_index} is assigned twice")
        by_index[principal.tenant_index] = kept[principal.incarnation] = principal
    return by_index
