"""Routers that follow the control plane, and the last report of each."""

from __future__ import annotations

import time
from dataclasses import dataclass

from ..store.async_store import AsyncStore
from ..tenancy.feed import Report
from ..tenancy.lifecycle import ROUTER_TIMEOUT, RouterReport
from .records import all_tenant_records
from .types import RouterShown

MAX_ROUTERS = 1024  # kept in memory; the one that reported least recently is evicted first


@dataclass(slots=True, frozen=True)
class RouterStatus:
    """The last report of a router."""

    received_at: float  # seconds by the monotonic clock
    run: str  # identifier of the router's run; new at each start
    revision: int  # of the store, that the router follows; 0: of another store
    in_flight: dict[int, int]  # number of operations by tenant incarnation


class RouterRegistry:
    """The last report of each router, in memory only: a restarted control plane waits for new reports."""

    def __init__(self, store_writer: AsyncStore) -> None:
        self._store_writer = store_writer
        self.last_reports: dict[str, RouterStatus] = {}  # by router name

    def record(self, report: Report, revision: int) -> None:
        """Record a router's report; `revision` is the one that it follows, 0 if of another store."""
        reports = self.last_reports
        if report.router not in reports and len(reports) >= MAX_ROUTERS:
            del reports[min(reports, key=lambda name: reports[name].received_at)]
        in_flight = {int(number): count for number, count in report.in_flight.items() if number.isdigit()}
        reports[report.router] = RouterStatus(time.monotonic(), report.run, revision, in_flight)

    def reports_on(self, incarnation: int, now: float) -> dict[str, RouterReport]:
        """Return the last reports, by router name, on one incarnation of a tenant.

        `now` and the times returned are in seconds by the store's wall clock.
        """
        monotonic_now = time.monotonic()
        return {
            name: RouterReport(
                now - (monotonic_now - report.received_at),
                report.in_flight.get(incarnation, 0),
                report.revision,
            )
            for name, report in self.last_reports.items()
        }

    async def list_all(self) -> list[RouterShown]:
        """Return the routers that reported within `ROUTER_TIMEOUT` seconds, sorted by name.

        Each comes with its operations in flight by tenant.
        """
        store = self._store_writer.store
        tenants = await self._store_writer.run_sync(lambda: all_tenant_records(store))
        tenant_names = {tenant.incarnation: tenant.name for tenant in tenants}
        now = time.monotonic()
        return [
            self._describe(name, report, tenant_names, now)
            for name, report in sorted(self.last_reports.items())
            if now - report.received_at <= ROUTER_TIMEOUT
        ]

    def _describe(
        self, name: str, report: RouterStatus, tenant_names: dict[int, str], now: float
    ) -> RouterShown:
        in_flight: dict[str, int] = {}
        for incarnation, count in report.in_flight.items():
            tenant = tenant_names.get(incarnation, f"#{incarnation}")
            in_flight[tenant] = in_flight.get(tenant, 0) + count
        behind = max(self._store_writer.revision - report.revision, 0)
        return RouterShown(name, round(now - report.received_at, 3), report.revision, behind, in_flight)
