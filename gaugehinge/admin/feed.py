"""The feed that routers poll: what changed since the revision they know, in return for their reports."""

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

MAX_CHANGES = 500  # sent one by one; a router that is further behind gets the full state


@dataclass(slots=True)
class Identity:
    """Which store and which run of the control plane answers."""

    store_id: str = ""  # set once the store is prepared
    run_id: str = field(default_factory=lambda: secrets.token_hex(8))


class RouterFeed:
    """Answers the calls of routers."""

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
        """The changes that a router does not know yet; waits for one as long as the router asked.

        Raises:
            ApiError: An extension's section of the report makes no sense.
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
            self._record(report)  # the call was open until now, so the router is alive
        feed = await self._store_writer.run_sync(self._compose, report, self._content(since, changes))
        # Here a lease counts from the response, at the router from its earlier request: it ends there first.
        lease = self._leases.grant(report.router, report.run, since)
        return msgspec.structs.replace(feed, lease_duration=lease)

    def _record(self, report: Report) -> None:
        self._routers.record(report, self._known_revision(report))

    def _known_revision(self, report: Report) -> int:
        """The revision that a router follows, 0 if it is another store's."""
        return report.known_revision if report.store_id == self._identity.store_id else 0

    async def _has_diverged(self, report: Report) -> bool:
        """Whether a router follows a revision that this copy of the store never had.

        Its number says nothing here then, though the store has gone on past it since it was restored.
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
        """What to send: the changes, or the full state if they are too many or no longer in the log."""
        if not since or changes is None or len(changes) > MAX_CHANGES:
            return self._full_state
        return lambda: self._incremental(since, changes)

    def _compose(self, report: Report, content: Callable[[], Feed]) -> Feed:
        """The feed with all sections, read on the store's thread so that they belong to one revision."""
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
        # Routers refuse a feed with a tenant that has no place; it would take all others with it.
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
