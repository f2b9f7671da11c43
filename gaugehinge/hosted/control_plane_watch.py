"""Polls the control plane: applies its changes, saves a snapshot and reports the operations in flight.

While the control plane is unreachable, the router keeps serving by the last feed it received; after a crash
it does so by its snapshot. It misses the changes made in the meantime: a tenant that was removed is served
for as long as the router is cut off, but in its own key space, which is never given to another tenant.
"""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Iterator
from typing import cast
from zlib import crc32

import httpx
import msgspec
import trio
from loguru import logger

from ..net.endpoint_list import EndpointListUpdate
from ..net.service import Service
from ..tenancy.feed import POLL_WAIT, Feed, Report
from .control_plane_client import ControlPlaneClient
from .endpoint_overrides import EndpointOverrides
from .errors import ControlPlaneError, FeedError, SecretFileError
from .feed_parts import FeedPart
from .feed_snapshot import FeedSnapshot
from .interfaces import TenantAdmission
from .tenant_registry import RegistryChange, TenantRegistry

FIRST_BACKOFF, MAX_BACKOFF = 0.2, 0.8  # seconds after a failed call; doubled each time, with jitter. The
# maximum is low so that a router that was cut off learns within a second what it missed.
MAX_DOUBLINGS = 8
SLACK = 5.0  # seconds beyond the long-poll wait until a call counts as failed
SNAPSHOT_INTERVAL = 0.1  # seconds between two snapshots; of a burst of changes only the last is saved

CALL_ERRORS = (httpx.HTTPError, msgspec.MsgspecError, FeedError, SecretFileError, ControlPlaneError)


class ControlPlaneWatch:
    """Follows the control plane for one router.

    It is also an `EndpointListTransformer`, as it applies the operators' drain orders to the endpoint list.
    """

    def __init__(
        self,
        service: Service,
        registry: TenantRegistry,
        overrides: EndpointOverrides,
        client: ControlPlaneClient,
        snapshot: FeedSnapshot | None,
        tenant_slots: int,
    ) -> None:
        """`tenant_slots`: the size of the tenant tables in admission control."""
        self.service = service
        self.registry = registry
        self.overrides = overrides
        self.client = client
        self.snapshot = snapshot
        self.tenant_slots = tenant_slots
        self.parts: tuple[FeedPart, ...] = ()  # in the order in which they process a feed; fixed before `run`
        self.run_id = os.urandom(8).hex()
        self.run_number = 0  # sent with each report; `recovery` counts it in the router's files
        self.unreachable_since = 0.0  # `trio.current_time` of the first failed call; 0: reachable
        self.answered = False  # whether the control plane has ever answered
        self.calls = 0
        self.wait = POLL_WAIT  # seconds for which a long-poll call may stay open; less where leases are short
        self.slack = SLACK  # seconds beyond `wait` until a call counts as failed; less where leases are short
        self._first_call_delay = 0.0  # seconds
        # No long polling until a call was answered: the first call only asks who is there.
        self._first_call_at_once = False
        self._failures = 0
        self._changed = trio.Event()

    # -- setup

    def add_part(self, part: FeedPart) -> None:
        """Append a part of the feed to those added before. To be called before `run` only."""
        self.parts = (*self.parts, part)

    def delay_first_call(self, seconds: float) -> None:
        """Delay the first call, and do not use long polling until a call was answered."""
        self._first_call_delay = seconds
        self._first_call_at_once = True

    def limit_wait(self, seconds: float) -> None:
        """Limit the time for which a long-poll call may stay open (seconds)."""
        self.wait = min(self.wait, seconds)

    def limit_slack(self, seconds: float) -> None:
        """Limit the time beyond `wait` after which a call counts as failed (seconds)."""
        self.slack = min(self.slack, seconds)

    def load_snapshot(self) -> None:
        """Apply the snapshot, if there is a valid one."""
        if self.snapshot is None:
            return
        try:
            feed = self.snapshot.load()
            if feed is not None:
                self._apply_change(self.registry.restore(feed))
                summary = f"revision {feed.revision}, {len(feed.tenants)} tenants"
                logger.info("tenants restored from the snapshot: {}", summary)
        except FeedError as error:
            logger.warning("snapshot not used: {}", error)

    # -- endpoint lists

    def transform(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate:
        """Apply the operators' drain orders to an endpoint list."""
        return self.overrides.on_endpoints_changed(update)

    # -- calls

    async def run(self) -> None:
        """Poll for changes until cancelled."""
        async with trio.open_nursery() as nursery:
            if self.snapshot is not None:
                nursery.start_soon(self._save, self.snapshot)
            await trio.sleep(self._first_call_delay)
            while True:
                revision = self.registry.revision
                try:
                    asked_at = trio.current_time()
                    self._apply_feed(await self._call(), asked_at)
                except CALL_ERRORS as error:
                    await trio.sleep(self._on_call_failed(error))
                    continue
                self._on_call_succeeded(revision)

    async def report_now(self) -> None:
        """Send one more report without long polling, and ignore the feed that answers it.

        Raises one of CALL_ERRORS.
        """
        self.wait = 0.0
        await self._call()

    def operations_in_flight(self) -> dict[str, int]:
        """Count the operations by tenant incarnation, including those queued for admission."""
        counts = Counter(key.partition(b"/")[0] for key in self._keys_in_flight())
        return {str(int(number, 16)): count for number, count in counts.items()}

    def _keys_in_flight(self) -> Iterator[bytes]:
        for pending in self.service.dispatcher.pending_operations:
            yield pending.payload.key
        admission_control = self._admission_control()
        if admission_control is not None:
            for queued in admission_control.queued_operations():
                yield queued.item.payload.key

    async def _call(self) -> Feed:
        reports = {part.name: part.report() for part in self.parts}
        at_once = self._first_call_at_once and not self.answered
        report = Report(
            router=self.service.configuration.name,
            run=self.run_id,
            store_id=self.registry.store,
            known_revision=self.registry.revision,
            max_wait=0.0 if at_once else self.wait,
            in_flight=self.operations_in_flight(),
            run_number=self.run_number,
            parts={name: msgspec.Raw(body) for name, body in reports.items() if body is not None},
            revision_digest=self.registry.revision_digest,
        )
        self.calls += 1
        return await self.client.fetch_feed(report, self.slack)

    def _apply_feed(self, feed: Feed, asked_at: float) -> None:
        """Apply a feed. Raises FeedError."""
        self.registry.reject_outdated(feed)  # before any part sees it
        for part in self.parts:
            feed = part.filter_feed(feed)
        self._apply_change(self.registry.follow(feed))
        for part in self.parts:
            part.hear(feed, asked_at)

    def _on_call_failed(self, error: Exception) -> float:
        """Record a failed call; return the delay until the next one (seconds)."""
        for part in self.parts:
            part.away()
        if not self.unreachable_since:
            self.unreachable_since = trio.current_time()
            what = str(error) or type(error).__name__
            state = f"revision {self.registry.revision}, {len(self.registry.by_incarnation)} tenants"
            logger.warning("control plane unreachable: {}; still serving by {}", what, state)
        self._failures += 1
        chance = crc32(f"{self.run_id} {self._failures}".encode()) / 0x100000000
        backoff = FIRST_BACKOFF * 2.0 ** min(self._failures - 1, MAX_DOUBLINGS)
        return min(backoff, MAX_BACKOFF) * (0.5 + 0.5 * chance)

    def _on_call_succeeded(self, former_revision: int) -> None:
        revision = self.registry.revision
        if self.unreachable_since:
            outage = trio.current_time() - self.unreachable_since
            logger.info(
                "control plane reachable after {:.1f} s: revision {} to {}", outage, former_revision, revision
            )
        self.unreachable_since, self._failures, self.answered = 0.0, 0, True
        if revision != former_revision:
            self._changed.set()

    # -- changes

    def _apply_change(self, change: RegistryChange | None) -> None:
        self._flush_logs()
        if change is None:
            return
        self.service.dispatcher.router.on_tenants_changed(change.tenants, change.reset_indexes)
        self._set_shares(change)
        if change.drained is not None:
            update = self.overrides.set_drained(change.drained)
            if update is not None:
                self.service.dispatcher.on_endpoints_changed(update, after=self)
            self._flush_logs()

    def _set_shares(self, change: RegistryChange) -> None:
        admission_control = self._admission_control()
        if admission_control is not None:
            shares = [tenant.quota for tenant in change.tenants[: self.tenant_slots]]
            admission_control.set_shares([*shares, *[0.0] * (self.tenant_slots - len(shares))])

    def _admission_control(self) -> TenantAdmission | None:
        return cast("TenantAdmission | None", self.service.clients.admission_control)

    def _flush_logs(self) -> None:
        for log in (self.registry.log, self.overrides.log):
            for text in log:
                logger.info(text)
            log.clear()

    async def _save(self, snapshot: FeedSnapshot) -> None:
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            try:
                await trio.to_thread.run_sync(snapshot.save, self.registry.snapshot())
            except OSError as error:  # a disk fault affects only the snapshot; the router keeps serving
                logger.warning("snapshot not written: {}", error)
            await trio.sleep(SNAPSHOT_INTERVAL)
