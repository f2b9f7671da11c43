"""Routers that follow the control plane: what each reported last."""

from __future__ import annotations

import time
from dataclasses import dataclass

from ..store.async_store import AsyncStore
from ..tenancy.feed import Report
from ..tenancy.lifecycle import ROUTER_TIMEOUT, RouterReport
from .records import all_tenant_records
from .types import RouterShown

MAX_ROUTERS = 1024  # remembered at a time; the one that reported longest ago goes first


@dataclass(slots=True, frozen=True)
class RouterStatus:
    """What a router reported last."""

    received_at: float  # seconds, by the monotonic clock
    run: str  # new with each start of the router
    revision: int  # that it follows
    in_flight: dict[int, int]  # operations by the tenant's incarnation


class RouterRegistry:
    """The last report of each router, in memory: a control plane that starts anew waits for new ones."""

    def __init__(self, store_writer: AsyncStore) -> None:
        self._store_writer = store_writer
        self.last_reports: dict[str, RouterStatus] = {}  # by name

    def record(self, report: Report, revision: int) -> None:
        """Note a report of a router that follows a revision of this store (0: of another one)."""
        reports = self.last_reports
        if report.router not in reports and len(reports) >= MAX_ROUTERS:
            del reports[min(reports, key=lambda name: reports[name].received_at)]
        in_flight = {int(number): count for number, count in report.in_flight.items() if number.isdigit()}
        reports[report.router] = RouterStatus(time.monotonic(), report.run, revision, in_flight)

    def reports_on(self, incarnation: int, now: float) -> dict[str, RouterReport]:
        """What routers reported last of one incarnation of a tenant; `now`: by the store's clock."""
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
        """Routers that reported lately, by name, each with its operations in flight by tenant."""
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
