"""The feed that routers poll: each poll carries a report and returns the changes since a revision."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from ..store.async_store import AsyncStore
from ..store.records import Change
from ..tenancy.feed import Feed, Report, TenantRow
from .extension import Extension
from .leases import RouterLeases
from .records import (
    TENANT_KIND,
    TOMBSTONE_KIND,
    UNPLACED,
    TenantRecord,
    all_tenant_records,
    decode_tenant,
)
from .revision_digests import RevisionDigests
from .routers import RouterRegistry
from .servers import draining_servers

MAX_CHANGES = 500  # sent incrementally; a router that is further behind gets the full state


@dataclass(slots=True)
class Identity:
    """Identifies the store and the run of the control plane that answer a router."""

    store_id: str = ""  # set once the store is prepared
    run_id: str = field(default_factory=lambda: secrets.token_hex(8))


class RouterFeed:
    """Answers the polls of routers."""

    def __init__(
        self,
        store_writer: AsyncStore,
        identity: Identity,
        routers: RouterRegistry,
        leases: RouterLeases,
        extensions: Sequence[Extension],
    ) -> None:
        self._store_writer = store_writer
        self._identity = identity
        self._routers = routers
        self._leases = leases
        self._extensions = extensions
        self.digests = RevisionDigests(store_writer)

    async def poll(self, report: Report) -> Feed:
        """Return the changes that a router does not know yet; wait for one up to the report's `max_wait`.

        Raises:
            ApiError: An extension's section of the report is invalid.
        """
        self._record(report)
        if await self._has_diverged(report):
            report = msgspec.structs.replace(report, known_revision=0)
        since = self._known_revision(report)
        for extension in self._extensions:
            extension.on_report(report, time.monotonic())
        wait = report.max_wait if since else 0.0
        changes = await self._store_writer.changes(since, MAX_CHANGES + 1, wait)
        if report.router in self._routers.last_reports:
            self._record(report)  # its call stayed open during the wait, so the router is alive
        feed = await self._store_writer.run_sync(self._compose, report, self._content(since, changes))
        # The control plane counts a lease from its response, the router from its own earlier request, so the
        # lease ends at the router first.
        lease = self._leases.grant(report.router, report.run, since)
        return msgspec.structs.replace(feed, lease_duration=lease)

    def _record(self, report: Report) -> None:
        self._routers.record(report, self._known_revision(report))

    def _known_revision(self, report: Report) -> int:
        """Return the revision that a router follows, or 0 if it belongs to another store."""
        return report.known_revision if report.store_id == self._identity.store_id else 0

    async def _has_diverged(self, report: Report) -> bool:
        """Whether a router follows a revision that this copy of the store never had.

        The revision number is then meaningless for this copy, even if the copy has passed that number since
        it was restored.
        """
        if (
            not report.known_revision
            or not report.revision_digest
            or report.store_id != self._identity.store_id
        ):
            return False
        if self.digests.was_issued(report.known_revision, report.revision_digest):
            return False
        store = self._store_writer.store
        return (
            await self._store_writer.run_sync(lambda: store.revision_digest(report.known_revision))
            != report.revision_digest
        )

    def _content(self, since: int, changes: list[Change] | None) -> Callable[[], Feed]:
        """Choose the changes, or the full state if these are too many or no longer in the log."""
        if not since or changes is None or len(changes) > MAX_CHANGES:
            return self._full_state
        return lambda: self._incremental(since, changes)

    def _compose(self, report: Report, content: Callable[[], Feed]) -> Feed:
        """Build the feed with all sections, on the store's thread so that all belong to one revision."""
        feed = content()
        digest = self.digests.issue(feed.revision)
        store = self._store_writer.store
        sections = {each.name: each.feed_section(store, report) for each in self._extensions}
        parts = {name: msgspec.Raw(body) for name, body in sections.items() if body is not None}
        return msgspec.structs.replace(
            feed, revision_digest=digest, control_plane_run=self._identity.run_id, parts=parts
        )

    def _incremental(self, since: int, changes: list[Change]) -> Feed:
        rows: dict[int, TenantRow] = {}
        gone: list[int] = []
        for change in changes:
            if change.kind in (TENANT_KIND, TOMBSTONE_KIND) and change.body is not None:
                record = decode_tenant(change)
                if record.place != UNPLACED:
                    rows[record.incarnation] = _row_of(record)
            elif change.kind == TOMBSTONE_KIND:
                incarnation = int(change.item_id.rpartition("#")[2])
                rows.pop(incarnation, None)
                gone.append(incarnation)
        revision = changes[-1].revision if changes else since
        drained = draining_servers(self._store_writer.store)
        return Feed(self._identity.store_id, revision, False, list(rows.values()), gone, drained)

    def _full_state(self) -> Feed:
        store = self._store_writer.store
        # Tenants without a place are left out: routers refuse the whole feed, with all other tenants, if it
        # holds one.
        rows = [_row_of(record) for record in all_tenant_records(store) if record.place != UNPLACED]
        return Feed(self._identity.store_id, store.revision, True, rows, [], draining_servers(store))


def _row_of(record: TenantRecord) -> TenantRow:
    return TenantRow(
        record.name,
        record.incarnation,
        record.place,
        record.stage,
        record.share,
        record.allowance,
        record.credentials,
        record.traffic,
        record.longest_wait,
        record.most_value,
    )
